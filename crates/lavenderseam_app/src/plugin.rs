//! The unit that apps are assembled from.

use crate::{App, Error};

/// One part of a daemon; registers its resources and tasks.
pub trait Plugin {
    /// Registers the plugin's resources and tasks.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if a resource of an earlier plugin is missing or the part can't start.
    fn build(&self, app: &mut App) -> Result<(), Error>;
}
