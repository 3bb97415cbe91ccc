//! Subcommands that run one stand-in process each.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use lavenderseam_bench::Error;
use lavenderseam_bench::stand_ins::{backend, fabric, hashing, load_settings, platform};

/// Run the stand-in for the network fabric.
#[derive(FromArgs)]
#[argh(subcommand, name = "fabric")]
pub(crate) struct Fabric {
    /// settings file of the stand-in
    #[argh(option)]
    settings: PathBuf,
}

/// Run the stand-in for the VM platform.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
pub(crate) struct Platform {
    /// settings file of the stand-in
    #[argh(option)]
    settings: PathBuf,
}

/// Run a stand-in for one backend server.
#[derive(FromArgs)]
#[argh(subcommand, name = "backend")]
pub(crate) struct Backend {
    /// settings file of the stand-in
    #[argh(option)]
    settings: PathBuf,
}

/// Run the baseline that balances by hashing.
#[derive(FromArgs)]
#[argh(subcommand, name = "hashing")]
pub(crate) struct Hashing {
    /// settings file of the stand-in
    #[argh(option)]
    settings: PathBuf,
}

impl Hashing {
    pub(crate) async fn execute(self) -> Result<ExitCode, Error> {
        hashing::run(load_settings(&self.settings)?).await?;
        Ok(ExitCode::SUCCESS)
    }
}

impl Fabric {
    pub(crate) async fn execute(self) -> Result<ExitCode, Error> {
        fabric::run(load_settings(&self.settings)?).await?;
        Ok(ExitCode::SUCCESS)
    }
}

impl Platform {
    pub(crate) async fn execute(self) -> Result<ExitCode, Error> {
        platform::run(load_settings(&self.settings)?).await?;
        Ok(ExitCode::SUCCESS)
    }
}

impl Backend {
    pub(crate) async fn execute(self) -> Result<ExitCode, Error> {
        backend::run(load_settings(&self.settings)?).await?;
        Ok(ExitCode::SUCCESS)
    }
}
