//! The kernel that the daemons are assembled with.
//!
//! An [`App`] only assembles [`Plugin`]s: each plugin's `build` registers all that its part needs,
//! resources that other plugins share and tasks that run until the app stops. Reading a daemon's
//! list of plugins is reading its architecture.
//!
//! A planned stop has two steps, see [`Phase`]: first every plugin drains what it has taken on,
//! and only when all have done so do the tasks that they depended on end.
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
//!         app.insert(Greeting("hello"));
//!         Ok(())
//!     }
//! }
//!
//! let mut app = App::new();
//! app.add(&Greeter)?;
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
pub use shutdown::{Guard, Phase, Shutdown, Stopper};
