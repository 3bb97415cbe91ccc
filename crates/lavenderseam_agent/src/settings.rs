//! Settings of the agent.

use std::net::SocketAddr;
use std::path::PathBuf;

use lavenderseam_core::id;
use lavenderseam_daemon::settings::{self, Error, Metrics, validate_port, validate_readable_file};
use lavenderseam_telemetry::log;
use serde::{Deserialize, Serialize};

/// Settings of the agent, read from a TOML file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the target that this agent serves.
    pub name: id::Target,
    /// Backend group that the target belongs to.
    pub group: id::Group,
    /// UDP address of the fabric that forwards packets to callers.
    pub egress: SocketAddr,
    /// HTTP address of the backend server.
    pub backend: SocketAddr,
    /// PEM file with the certificate chain that is presented to callers.
    pub certificate_file: PathBuf,
    /// PEM file with the certificate's private key.
    pub private_key_file: PathBuf,
    /// Settings of the control plane, as balancers have them too.
    pub control: lavenderseam_control::Settings,
    /// Settings of the log.
    #[serde(default)]
    pub log: log::Settings,
    /// Settings of the metrics.
    #[serde(default)]
    pub metrics: Metrics,
}

impl settings::Settings for Settings {
    fn control(&self) -> &lavenderseam_control::Settings {
        &self.control
    }

    fn log(&self) -> &log::Settings {
        &self.log
    }

    fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    fn validate(&self) -> Result<(), Error> {
        validate_port("egress", self.egress)?;
        validate_port("backend", self.backend)?;
        validate_readable_file("certificate_file", &self.certificate_file)?;
        validate_readable_file("private_key_file", &self.private_key_file)?;
        validate_readable_file("control.key_file", &self.control.key_file)
    }
}
