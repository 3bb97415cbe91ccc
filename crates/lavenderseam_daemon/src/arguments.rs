//! Command-line arguments of a daemon.

use std::path::PathBuf;

use argh::{EarlyExit, FromArgs};

/// Runs a daemon of lavenderseam until a planned stop, begun by SIGTERM or SIGINT. Exit codes: 0
/// after a planned stop, 1 after a failure, 2 for invalid settings or arguments.
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
    /// Parses the arguments of the process. Help and usage texts show `program` if the process has
    /// no name of its own.
    pub(crate) fn from_process(program: &str) -> Result<Self, EarlyExit> {
        let arguments: Vec<String> = std::env::args().collect();
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let (name, rest) = arguments.split_first().unwrap_or((&program, &[]));
        Self::from_args(&[name], rest)
    }
}
