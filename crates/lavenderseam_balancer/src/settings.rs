//! Settings of the balancer, read from a TOML file.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::str::FromStr;

use lavenderseam_core::id;
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

/// Where metrics go.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Metrics {
    /// Address of a statsd collector (UDP); nowhere if absent.
    pub collector: Option<SocketAddr>,
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

/// Why settings can't be used.
#[derive(Debug)]
pub enum Error {
    /// The file can't be read.
    Read {
        /// The file.
        file: PathBuf,
        /// The system's error.
        cause: std::io::Error,
    },
    /// A key is unknown or missing, or its value can't be read; names the line.
    Parse(toml::de::Error),
    /// A value isn't allowed.
    Value {
        /// The setting's key.
        key: &'static str,
        /// Its value.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] naming the file, the line or the setting.
    pub fn load(file: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(file).map_err(|cause| Error::Read {
            file: file.to_owned(),
            cause,
        })?;
        text.parse()
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

impl Error {
    fn value(key: &'static str, value: impl fmt::Display, allowed: &'static str) -> Self {
        Self::Value {
            key,
            value: value.to_string(),
            allowed,
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
        let settings: Self = toml::from_str(text).map_err(Error::Parse)?;
        settings.check()?;
        Ok(settings)
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

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read { file, cause } => {
                write!(formatter, "can't read {}: {cause}", file.display())
            }
            Self::Parse(cause) => cause.fmt(formatter),
            Self::Value {
                key,
                value,
                allowed,
            } => write!(formatter, "setting {key} is {value}; allowed: {allowed}"),
        }
    }
}

impl std::error::Error for Error {}
