//! Paths of the programs of a deployment.

use std::path::{Path, PathBuf};

use crate::Error;

/// Subdirectory of a Cargo profile's directory that holds test binaries.
const TEST_BINARIES_DIR: &str = "deps";

/// Directory that holds all programs of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Programs {
    directory: PathBuf,
}

impl Programs {
    /// Locates the programs in the directory of the running one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::SystemCall`] if the running program's path is unknown.
    pub fn new() -> Result<Self, Error> {
        let program = std::env::current_exe().map_err(Error::SystemCall)?;
        let mut directory = program.parent().unwrap_or(Path::new(".")).to_owned();
        if directory.ends_with(TEST_BINARIES_DIR) {
            directory.pop();
        }
        Ok(Self { directory })
    }

    /// Returns the path of the balancer.
    #[must_use]
    pub fn balancer(&self) -> PathBuf {
        self.directory.join("lavenderseam-balancer")
    }

    /// Returns the path of the agent.
    #[must_use]
    pub fn agent(&self) -> PathBuf {
        self.directory.join("lavenderseam-agent")
    }

    /// Returns the path of the bench, which contains the stand-ins.
    #[must_use]
    pub fn bench(&self) -> PathBuf {
        self.directory.join("lavenderseam_bench")
    }
}
