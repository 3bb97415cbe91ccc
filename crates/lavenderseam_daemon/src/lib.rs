//! What the daemons have in common: arguments, checked settings, exit codes.
//!
//! A daemon is a [`Daemon`] that names its settings and adds its plugins; [`run`] does the rest.

mod arguments;
mod daemon;
pub mod settings;

pub use daemon::{Daemon, run};
