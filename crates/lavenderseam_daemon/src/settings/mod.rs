//! Settings files: read, checked, and every bad value named with its key and what is allowed.

mod error;
mod metrics;

use std::net::SocketAddr;
use std::path::Path;

use lavenderseam_telemetry::log;
use serde::de::DeserializeOwned;

pub use error::Error;
pub use metrics::Metrics;

/// What a daemon's settings file holds.
pub trait Settings: DeserializeOwned {
    /// Settings of the control plane.
    fn control(&self) -> &lavenderseam_control::Settings;

    /// Settings of the log.
    fn log(&self) -> &log::Settings;

    /// Settings of the metrics.
    fn metrics(&self) -> &Metrics;

    /// Checks values that only make sense together or outside the file.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Value`].
    fn check(&self) -> Result<(), Error>;
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns [`Error`] naming the file, and the line or the key with its value and what is allowed.
pub fn load<S: Settings>(file: &Path) -> Result<S, Error> {
    let text = std::fs::read_to_string(file).map_err(|cause| Error::Read {
        file: file.to_owned(),
        cause,
    })?;
    parse(&text)
}

/// Reads and checks the text of a settings file.
///
/// # Errors
///
/// Returns [`Error`] naming the line, or the key with its value and what is allowed.
pub fn parse<S: Settings>(text: &str) -> Result<S, Error> {
    let settings: S = toml::from_str(text).map_err(|cause| Error::Parse(Box::new(cause)))?;
    settings.check()?;
    Ok(settings)
}

/// Checks that an address has a port.
///
/// # Errors
///
/// Returns [`Error::Value`] for port 0.
pub fn check_port(key: &'static str, address: SocketAddr) -> Result<(), Error> {
    if address.port() != 0 {
        return Ok(());
    }
    Err(Error::value(
        key,
        address,
        "an address with a port other than 0",
    ))
}

/// Checks that a file can be read.
///
/// # Errors
///
/// Returns [`Error::Value`] if it can't.
pub fn check_file(key: &'static str, file: &Path) -> Result<(), Error> {
    if std::fs::File::open(file).is_ok() {
        return Ok(());
    }
    Err(Error::value(key, file.display(), "a file that can be read"))
}
