//! The agent daemon: terminates callers' QUIC connections beside a backend server and forwards
//! their requests to it, limited to the concurrency that the backend server sustains.

use std::process::ExitCode;

use lavenderseam_agent::{AgentPlugin, Settings};
use lavenderseam_app::{App, Error};
use lavenderseam_control::Role;
use lavenderseam_daemon::Daemon;
use lavenderseam_telemetry::Log;

struct AgentDaemon;

impl Daemon for AgentDaemon {
    const PROGRAM_NAME: &'static str = "lavenderseam-agent";
    const METRICS_PREFIX: &'static str = "lavenderseam.agent";
    const LOG: Log = Log::new("agent");
    type Settings = Settings;

    fn role(settings: &Settings) -> Role {
        Role::Agent {
            target: settings.name.clone(),
            group: settings.group.clone(),
        }
    }

    fn add_plugins(settings: Settings, app: &mut App) -> Result<(), Error> {
        app.add_plugin(&AgentPlugin::new(settings))?;
        Ok(())
    }
}

fn main() -> ExitCode {
    lavenderseam_daemon::run::<AgentDaemon>()
}
