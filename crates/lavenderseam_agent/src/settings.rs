//! Settings of the agent.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use lavenderseam_core::id;
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

/// Settings of the metrics.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Metrics {
    /// Address of a statsd collector (UDP); none sends no metrics.
    pub collector: Option<SocketAddr>,
}

/// Why settings can't be used.
#[derive(Debug)]
pub enum Error {
    /// The file can't be read.
    Read(PathBuf, std::io::Error),
    /// The text is not TOML, or a key is unknown, missing or has a value that is not allowed.
    Malformed(PathBuf, Box<toml::de::Error>),
    /// A value is well-formed but can't be used.
    Value {
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

impl Settings {
    /// Reads settings from a TOML file and checks them.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] naming the key that can't be used, its value and what is allowed.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text =
            std::fs::read_to_string(path).map_err(|error| Error::Read(path.to_owned(), error))?;
        let settings: Self = toml::from_str(&text)
            .map_err(|error| Error::Malformed(path.to_owned(), Box::new(error)))?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks values that only make sense together or outside the file.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Value`].
    pub fn check(&self) -> Result<(), Error> {
        port("egress", self.egress)?;
        port("backend", self.backend)?;
        file("certificate_file", &self.certificate_file)?;
        file("private_key_file", &self.private_key_file)?;
        file("control.key_file", &self.control.key_file)
    }
}

fn port(key: &'static str, address: SocketAddr) -> Result<(), Error> {
    if address.port() != 0 {
        return Ok(());
    }
    Err(Error::Value {
        key,
        value: address.to_string(),
        allowed: "an address with a port other than 0",
    })
}

fn file(key: &'static str, path: &Path) -> Result<(), Error> {
    if std::fs::File::open(path).is_ok() {
        return Ok(());
    }
    Err(Error::Value {
        key,
        value: path.display().to_string(),
        allowed: "a file that can be read",
    })
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(path, error) => write!(formatter, "{}: {error}", path.display()),
            Self::Malformed(path, error) => write!(formatter, "{}: {error}", path.display()),
            Self::Value {
                key,
                value,
                allowed,
            } => write!(formatter, "{key} = {value:?}: must be {allowed}"),
        }
    }
}

impl std::error::Error for Error {}
