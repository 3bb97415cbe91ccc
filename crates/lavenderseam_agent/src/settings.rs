//! Settings of the agent.

use std::net::SocketAddr;
use std::path::PathBuf;

use lavenderseam_core::id;
use lavenderseam_daemon::settings::{self, Error, Metrics, check_file, check_port};
use lavenderseam_telemetry::log;
use serde::{Deserialize, Serialize};

/// Settings of the agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the target.
    pub name: id::Target,
    /// Group that the target belongs to.
    pub group: id::Group,
    /// Address of the fabric that takes packets to callers (UDP).
    pub egress: SocketAddr,
    /// Address of the backend server (HTTP).
    pub backend: SocketAddr,
    /// File with the certificate chain that callers see, PEM.
    pub certificate_file: PathBuf,
    /// File with the certificate's private key, PEM.
    pub private_key_file: PathBuf,
    /// Settings shared with balancers.
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

    fn check(&self) -> Result<(), Error> {
        check_port("egress", self.egress)?;
        check_port("backend", self.backend)?;
        check_file("certificate_file", &self.certificate_file)?;
        check_file("private_key_file", &self.private_key_file)?;
        check_file("control.key_file", &self.control.key_file)
    }
}
