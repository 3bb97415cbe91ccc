//! Trait of the units that an app is assembled from.

use crate::{App, Error};

/// One unit of a daemon, such as its control plane or data path.
pub trait Plugin {
    /// Inserts the plugin's resources into the app and registers its tasks.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if a resource of an earlier plugin is missing or the plugin can't start.
    fn build(&self, app: &mut App) -> Result<(), Error>;
}
