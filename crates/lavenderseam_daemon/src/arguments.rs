//! The command line of a daemon.

use std::path::PathBuf;

use argh::{EarlyExit, FromArgs};

/// Runs a daemon of lavenderseam until SIGTERM, the planned stop. Exit codes: 0 after a planned
/// stop, 1 after a failure while running, 2 for bad settings or arguments.
#[derive(FromArgs)]
pub(crate) struct Arguments {
    /// settings file (TOML)
    #[argh(option)]
    pub(crate) settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    pub(crate) check: bool,
}

impl Arguments {
    /// Reads the process' arguments; `program` is the name shown if it has none.
    pub(crate) fn read(program: &str) -> Result<Self, EarlyExit> {
        let arguments: Vec<String> = std::env::args().collect();
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let (name, rest) = arguments.split_first().unwrap_or((&program, &[]));
        Self::from_args(&[name], rest)
    }
}
