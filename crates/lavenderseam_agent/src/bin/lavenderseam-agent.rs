//! The agent daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use lavenderseam_agent::{AgentPlugin, Settings};
use lavenderseam_app::{App, Error};
use lavenderseam_control::{ControlPlugin, Role};
use lavenderseam_telemetry::{Log, Metrics, log};

const LOG: Log = Log::new("agent");

/// Precedes the name of every metric.
const METRICS_PREFIX: &str = "lavenderseam.agent";
/// Exit code after a failure at run time.
const FAILED: u8 = 1;
/// Exit code for bad settings or arguments.
const MISUSED: u8 = 2;

/// Ends the callers' transport beside a backend server and gives it what it bears.
#[derive(FromArgs)]
struct Arguments {
    /// settings file (TOML)
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = match parse() {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let settings = match Settings::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(MISUSED);
        }
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    log::start(settings.log);
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            LOG.error(error);
            ExitCode::from(FAILED)
        }
    }
}

fn parse() -> Result<Arguments, ExitCode> {
    let arguments: Vec<String> = std::env::args().collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let (name, rest) = arguments
        .split_first()
        .unwrap_or((&"lavenderseam-agent", &[]));
    Arguments::from_args(&[name], rest).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}", exit.output);
            ExitCode::from(MISUSED)
        }
    })
}

#[tokio::main]
async fn run(settings: Settings) -> Result<(), Error> {
    let mut app = App::new();
    let role = Role::Agent {
        target: settings.name.clone(),
        group: settings.group.clone(),
    };
    let control = ControlPlugin::new(settings.control.clone(), role);
    app.add(&control.with_metrics(metrics(&settings)?))?
        .add(&AgentPlugin::new(settings))?;
    app.run().await
}

fn metrics(settings: &Settings) -> Result<Metrics, Error> {
    match settings.metrics.collector {
        Some(collector) => Metrics::with_collector(METRICS_PREFIX, collector)
            .map_err(|cause| Error::plugin("metrics", cause)),
        None => Ok(Metrics::new(METRICS_PREFIX)),
    }
}
