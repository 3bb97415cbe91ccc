//! Settings of the balancer, read from a TOML file.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use lavenderseam_core::id;
use lavenderseam_daemon::settings::{self, Error, Metrics};
use lavenderseam_telemetry::log;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Maximum number of receive threads.
const THREADS_LIMIT: usize = 64;
/// Maximum number of cached flows.
const CACHED_FLOWS_LIMIT: usize = 1 << 24;

/// Settings of the balancer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the balancer.
    pub name: id::Balancer,
    /// UDP address that the fabric sends packets to.
    pub fabric: SocketAddr,
    /// Accepted sources of the fabric's packets; empty accepts all.
    #[serde(default)]
    pub fabric_sources: Vec<FabricSource>,
    /// Number of threads that receive from the fabric.
    #[serde(default = "threads_default")]
    pub threads: usize,
    /// Maximum number of cached flows whose packets carry no token.
    #[serde(default = "cached_flows_default")]
    pub cached_flows: usize,
    /// Settings of the control plane.
    pub control: lavenderseam_control::Settings,
    /// Settings of the log.
    #[serde(default)]
    pub log: log::Settings,
    /// Settings of the metrics.
    #[serde(default)]
    pub metrics: Metrics,
}

/// Filter for the source addresses of the fabric's packets: an IP address with or without a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DeserializeFromStr, SerializeDisplay)]
pub enum FabricSource {
    /// Matches any port of an IP address.
    Host(IpAddr),
    /// Matches one port of an IP address.
    Port(SocketAddr),
}

/// Error when parsing a [`FabricSource`] from a text that is no address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidSource;

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
        let bounds = [
            ("threads", self.threads, THREADS_LIMIT, "1 to 64"),
            (
                "cached_flows",
                self.cached_flows,
                CACHED_FLOWS_LIMIT,
                "1 to 16777216",
            ),
        ];
        for (key, value, limit, allowed) in bounds {
            if value == 0 || value > limit {
                return Err(Error::invalid_value(key, value, allowed));
            }
        }
        if self.fabric == self.control.peer {
            let allowed = "an address other than control.peer";
            return Err(Error::invalid_value("fabric", self.fabric, allowed));
        }
        Ok(())
    }
}

impl FabricSource {
    /// Returns `true` if the filter matches a datagram's source address.
    #[must_use]
    pub fn matches(self, address: SocketAddr) -> bool {
        match self {
            Self::Host(host) => host == address.ip(),
            Self::Port(port) => port == address,
        }
    }
}

fn threads_default() -> usize {
    2
}

fn cached_flows_default() -> usize {
    1 << 19
}

impl FromStr for Settings {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        settings::parse(text)
    }
}

impl FromStr for FabricSource {
    type Err = InvalidSource;

    fn from_str(text: &str) -> Result<Self, InvalidSource> {
        let host = text.parse().map(Self::Host);
        host.or_else(|_| text.parse().map(Self::Port))
            .map_err(|_| InvalidSource)
    }
}

impl fmt::Display for FabricSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Host(host) => host.fmt(formatter),
            Self::Port(port) => port.fmt(formatter),
        }
    }
}

impl fmt::Display for InvalidSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(
            "invalid source; expected an address like \"192.0.2.1\" or \"192.0.2.1:4000\"",
        )
    }
}

impl std::error::Error for InvalidSource {}
