//! Settings of a caller.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of a caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address of the service.
    pub service: SocketAddr,
    /// Name of the service, as its certificate has it.
    pub server_name: String,
    /// File with the root certificates to trust, PEM.
    pub root_file: PathBuf,
    /// Address to send from.
    #[serde(default = "unspecified")]
    pub local: IpAddr,
    /// Connections kept at most.
    #[serde(default = "connections")]
    pub connections: usize,
    /// Time for a request that names none.
    #[serde(default = "deadline")]
    pub deadline: Duration,
}

impl Settings {
    /// Settings for a service, with defaults for the rest.
    #[must_use]
    pub fn new(service: SocketAddr, server_name: &str, root_file: PathBuf) -> Self {
        Self {
            service,
            server_name: server_name.to_owned(),
            root_file,
            local: unspecified(),
            connections: connections(),
            deadline: deadline(),
        }
    }
}

const fn unspecified() -> IpAddr {
    IpAddr::V4(Ipv4Addr::UNSPECIFIED)
}

const fn connections() -> usize {
    4
}

const fn deadline() -> Duration {
    Duration::from_secs(10)
}
