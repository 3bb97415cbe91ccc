//! The programs of a deployment.

use std::path::{Path, PathBuf};

use crate::Error;

/// Directory within a profile's directory that holds test programs.
const DEPS: &str = "deps";

/// Where the programs are: all in one directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Programs {
    directory: PathBuf,
}

impl Programs {
    /// The programs beside the running one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::System`] if the running program's path is unknown.
    pub fn new() -> Result<Self, Error> {
        let program = std::env::current_exe().map_err(Error::System)?;
        let mut directory = program.parent().unwrap_or(Path::new(".")).to_owned();
        if directory.ends_with(DEPS) {
            directory.pop();
        }
        Ok(Self { directory })
    }

    /// The balancer.
    #[must_use]
    pub fn balancer(&self) -> PathBuf {
        self.directory.join("lavenderseam-balancer")
    }

    /// The agent.
    #[must_use]
    pub fn agent(&self) -> PathBuf {
        self.directory.join("lavenderseam-agent")
    }

    /// The bench itself, which holds the stand-ins.
    #[must_use]
    pub fn bench(&self) -> PathBuf {
        self.directory.join("lavenderseam_bench")
    }
}
