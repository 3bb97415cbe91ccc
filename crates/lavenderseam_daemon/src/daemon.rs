//! Startup of a daemon from its command line and settings, and its exit code.

use std::process::ExitCode;

use argh::EarlyExit;
use lavenderseam_app::{App, Error};
use lavenderseam_control::{ControlPlugin, Role};
use lavenderseam_telemetry::{Log, Metrics, log};

use crate::arguments::Arguments;
use crate::settings::{self, Settings};

/// Exit code after a failure at startup or while running.
const EXIT_FAILURE: u8 = 1;
/// Exit code for invalid settings or command-line arguments.
const EXIT_USAGE: u8 = 2;

/// Program that runs as a daemon.
pub trait Daemon {
    /// Name of the program in its help text.
    const PROGRAM_NAME: &'static str;
    /// Prefix of the names of all metrics.
    const METRICS_PREFIX: &'static str;
    /// Log that startup and task errors are written to.
    const LOG: Log;
    /// Contents of the settings file.
    type Settings: Settings;

    /// Returns the role under which the process registers in the store.
    fn role(settings: &Self::Settings) -> Role;

    /// Adds the plugins of the daemon; the control plane has already been added.
    ///
    /// # Errors
    ///
    /// Returns the error of a plugin that can't start.
    fn add_plugins(settings: Self::Settings, app: &mut App) -> Result<(), Error>;
}

/// Runs a daemon until its planned stop and returns the exit code.
#[must_use]
pub fn run<D: Daemon>() -> ExitCode {
    let arguments = match Arguments::from_process(D::PROGRAM_NAME) {
        Ok(arguments) => arguments,
        Err(exit) => return report_early_exit(&exit),
    };
    let settings = match settings::load::<D::Settings>(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    log::init(*settings.log());
    match run_app::<D>(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            D::LOG.error(error);
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Prints the help text or the usage error and returns the exit code.
fn report_early_exit(exit: &EarlyExit) -> ExitCode {
    if exit.status.is_ok() {
        println!("{}", exit.output);
        ExitCode::SUCCESS
    } else {
        eprintln!("{}", exit.output);
        ExitCode::from(EXIT_USAGE)
    }
}

/// Assembles the app and runs it until its planned stop.
#[tokio::main]
async fn run_app<D: Daemon>(settings: D::Settings) -> Result<(), Error> {
    let mut app = App::new();
    let control = ControlPlugin::new(settings.control().clone(), D::role(&settings));
    app.add_plugin(&control.with_metrics(create_metrics::<D>(&settings)?))?;
    D::add_plugins(settings, &mut app)?;
    app.run().await
}

/// Returns metrics that are sent to the collector, or discarded if there is none.
fn create_metrics<D: Daemon>(settings: &D::Settings) -> Result<Metrics, Error> {
    match settings.metrics().collector {
        Some(collector) => Metrics::with_collector(D::METRICS_PREFIX, collector)
            .map_err(|cause| Error::plugin("metrics", cause)),
        None => Ok(Metrics::disabled(D::METRICS_PREFIX)),
    }
}
