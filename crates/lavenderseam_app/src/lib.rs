//! Plugin framework that the daemons are built on.
//!
//! An [`App`] is assembled from [`Plugin`]s: the `build` method of each inserts the resources that
//! it shares with other plugins, and registers the tasks that run until the app stops. The list of
//! its plugins thus shows the architecture of a daemon.
//!
//! A planned stop has two phases, see [`ShutdownPhase`]: first every plugin finishes its work in
//! progress, and only when all have done so, the tasks that this work depends on end.
//!
//! ```
//! use lavenderseam_app::{App, Error, Plugin};
//!
//! struct Greeting(&'static str);
//!
//! struct Greeter;
//!
//! impl Plugin for Greeter {
//!     fn build(&self, app: &mut App) -> Result<(), Error> {
//!         app.insert_resource(Greeting("hello"));
//!         Ok(())
//!     }
//! }
//!
//! let mut app = App::new();
//! app.add_plugin(&Greeter)?;
//! assert_eq!(app.resource::<Greeting>()?.0, "hello");
//! # Ok::<(), Error>(())
//! ```

mod app;
mod error;
mod plugin;
mod resources;
mod shutdown;

pub use app::App;
pub use error::Error;
pub use plugin::Plugin;
pub use shutdown::{DrainGuard, Shutdown, ShutdownPhase, StopHandle};
