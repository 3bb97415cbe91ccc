//! Subcommands of the command line.

mod catalogue;
mod measure;
mod mixed;
mod report;
mod run;
mod slope;
mod stand_in;
mod up;

use std::process::ExitCode;

use argh::FromArgs;
use lavenderseam_bench::Error;

/// Subcommand chosen on the command line.
#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Run(run::Run),
    List(catalogue::List),
    Ci(catalogue::Ci),
    Measure(measure::Measure),
    Mixed(mixed::Mixed),
    Report(report::Report),
    Slope(slope::Slope),
    Up(up::Up),
    Fabric(stand_in::Fabric),
    Platform(stand_in::Platform),
    Backend(stand_in::Backend),
    Hashing(stand_in::Hashing),
}

impl Command {
    /// Executes the chosen subcommand and returns the exit code of the process.
    pub(crate) async fn execute(self) -> Result<ExitCode, Error> {
        match self {
            Self::Run(run) => run.execute().await,
            Self::List(list) => list.execute(),
            Self::Ci(ci) => ci.execute().await,
            Self::Measure(measure) => measure.execute().await,
            Self::Mixed(mixed) => mixed.execute().await,
            Self::Report(report) => report.execute(),
            Self::Slope(slope) => slope.execute(),
            Self::Up(up) => up.execute().await,
            Self::Fabric(fabric) => fabric.execute().await,
            Self::Platform(platform) => platform.execute().await,
            Self::Backend(backend) => backend.execute().await,
            Self::Hashing(hashing) => hashing.execute().await,
        }
    }
}

/// Waits for `SIGTERM` or Ctrl-C; returns at once if the signal handler can't be installed.
pub(crate) async fn wait_for_interrupt() {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
