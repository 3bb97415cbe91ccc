//! Entry point that the daemons share: command line, settings file, exit codes.
//!
//! A program implements [`Daemon`] with its type of settings and its plugins; [`run`] does the
//! rest.

mod arguments;
mod daemon;
pub mod settings;

pub use daemon::{Daemon, run};
