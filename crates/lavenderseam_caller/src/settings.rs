//! Settings of a caller: the service, its certificates, and the limits and timeout of its requests.

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
    /// Server name of the service, which its certificate must be valid for.
    pub server_name: String,
    /// PEM file with the trusted root certificates.
    pub root_file: PathBuf,
    /// Local address of connections.
    #[serde(default = "unspecified")]
    #[serde(rename = "local")]
    pub local_address: IpAddr,
    /// Limit of open connections.
    #[serde(default = "connections")]
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Timeout of requests that are sent without one.
    #[serde(default = "deadline")]
    #[serde(rename = "deadline")]
    pub request_timeout: Duration,
}

impl Settings {
    /// Returns settings for a service, with defaults for the other fields.
    #[must_use]
    pub fn new(service: SocketAddr, server_name: &str, root_file: PathBuf) -> Self {
        Self {
            service,
            server_name: server_name.to_owned(),
            root_file,
            local_address: unspecified(),
            max_connections: connections(),
            request_timeout: deadline(),
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
