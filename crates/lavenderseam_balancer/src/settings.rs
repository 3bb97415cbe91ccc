//! Settings of the balancer, read from a TOML file.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use lavenderseam_core::id;
use lavenderseam_daemon::settings::{self, Error, Metrics};
use lavenderseam_telemetry::log;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Most receive threads that may be asked for.
const THREADS_LIMIT: usize = 64;
/// Most flows that the cache may be asked to hold.
const CACHE_LIMIT: usize = 1 << 24;

/// Settings of the balancer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this balancer.
    pub name: id::Balancer,
    /// Address that the fabric sends packets to (UDP).
    pub fabric: SocketAddr,
    /// Sources that packets of the fabric come from; any if empty.
    #[serde(default)]
    pub fabric_sources: Vec<Source>,
    /// Threads that receive from the fabric.
    #[serde(default = "threads_default")]
    pub threads: usize,
    /// Flows without token that are cached.
    #[serde(default = "cached_flows_default")]
    pub cached_flows: usize,
    /// Settings of the control plane.
    pub control: lavenderseam_control::Settings,
    /// Settings of the log.
    #[serde(default)]
    pub log: log::Settings,
    /// Where metrics go.
    #[serde(default)]
    pub metrics: Metrics,
}

/// A source of packets: an IP number, or an IP number with a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DeserializeFromStr, SerializeDisplay)]
pub enum Source {
    /// Any port of a host.
    Host(IpAddr),
    /// One port of a host.
    Port(SocketAddr),
}

/// A text that names no source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownSource;

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
        let bounds = [
            ("threads", self.threads, THREADS_LIMIT, "1 to 64"),
            (
                "cached_flows",
                self.cached_flows,
                CACHE_LIMIT,
                "1 to 16777216",
            ),
        ];
        for (key, value, limit, allowed) in bounds {
            if value == 0 || value > limit {
                return Err(Error::value(key, value, allowed));
            }
        }
        if self.fabric == self.control.peer {
            let allowed = "an address other than control.peer";
            return Err(Error::value("fabric", self.fabric, allowed));
        }
        Ok(())
    }
}

impl Source {
    /// Whether a datagram came from this source.
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

impl FromStr for Source {
    type Err = UnknownSource;

    fn from_str(text: &str) -> Result<Self, UnknownSource> {
        let host = text.parse().map(Self::Host);
        host.or_else(|_| text.parse().map(Self::Port))
            .map_err(|_| UnknownSource)
    }
}

impl fmt::Display for Source {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Host(host) => host.fmt(formatter),
            Self::Port(port) => port.fmt(formatter),
        }
    }
}

impl fmt::Display for UnknownSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a source is \"192.0.2.1\" or \"192.0.2.1:4000\"")
    }
}

impl std::error::Error for UnknownSource {}
