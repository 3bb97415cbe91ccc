//! The life of a daemon.

use std::process::ExitCode;

use argh::EarlyExit;
use lavenderseam_app::{App, Error};
use lavenderseam_control::{ControlPlugin, Role};
use lavenderseam_telemetry::{Log, Metrics, log};

use crate::arguments::Arguments;
use crate::settings::{self, Settings};

/// Exit code after a failure while running.
const FAILED: u8 = 1;
/// Exit code for bad settings or arguments.
const MISUSED: u8 = 2;

/// A daemon.
pub trait Daemon {
    /// Name of the program.
    const PROGRAM: &'static str;
    /// Precedes the name of every metric.
    const METRICS: &'static str;
    /// The daemon's log.
    const LOG: Log;
    /// What its settings file holds.
    type Settings: Settings;

    /// What the process is to others.
    fn role(settings: &Self::Settings) -> Role;

    /// Adds the daemon's own plugins, after the control plane's.
    ///
    /// # Errors
    ///
    /// Returns what a plugin returns.
    fn assemble(settings: Self::Settings, app: &mut App) -> Result<(), Error>;
}

/// Runs a daemon until its planned stop.
#[must_use]
pub fn run<D: Daemon>() -> ExitCode {
    let arguments = match Arguments::read(D::PROGRAM) {
        Ok(arguments) => arguments,
        Err(exit) => return explain(&exit),
    };
    let settings = match settings::load::<D::Settings>(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(MISUSED);
        }
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    log::start(*settings.log());
    match serve::<D>(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            D::LOG.error(error);
            ExitCode::from(FAILED)
        }
    }
}

fn explain(exit: &EarlyExit) -> ExitCode {
    if exit.status.is_ok() {
        println!("{}", exit.output);
        ExitCode::SUCCESS
    } else {
        eprintln!("{}", exit.output);
        ExitCode::from(MISUSED)
    }
}

#[tokio::main]
async fn serve<D: Daemon>(settings: D::Settings) -> Result<(), Error> {
    let mut app = App::new();
    let control = ControlPlugin::new(settings.control().clone(), D::role(&settings));
    app.add(&control.with_metrics(metrics::<D>(&settings)?))?;
    D::assemble(settings, &mut app)?;
    app.run().await
}

fn metrics<D: Daemon>(settings: &D::Settings) -> Result<Metrics, Error> {
    match settings.metrics().collector {
        Some(collector) => Metrics::with_collector(D::METRICS, collector)
            .map_err(|cause| Error::plugin("metrics", cause)),
        None => Ok(Metrics::new(D::METRICS)),
    }
}
