//! The balancer daemon: forwards callers' packets to the agents of a service's targets.

use std::process::ExitCode;

use lavenderseam_app::{App, Error};
use lavenderseam_balancer::{BalancerPlugin, Settings};
use lavenderseam_control::Role;
use lavenderseam_daemon::Daemon;
use lavenderseam_telemetry::Log;

struct BalancerDaemon;

impl Daemon for BalancerDaemon {
    const PROGRAM_NAME: &'static str = "lavenderseam-balancer";
    const METRICS_PREFIX: &'static str = "lavenderseam.balancer";
    const LOG: Log = Log::new("balancer");
    type Settings = Settings;

    fn role(settings: &Settings) -> Role {
        Role::Balancer(settings.name.clone())
    }

    fn add_plugins(settings: Settings, app: &mut App) -> Result<(), Error> {
        app.add_plugin(&BalancerPlugin::new(settings))?;
        Ok(())
    }
}

fn main() -> ExitCode {
    lavenderseam_daemon::run::<BalancerDaemon>()
}
