//! Loading and validation of settings files. Errors name the key, its value and the allowed values.

mod error;
mod metrics;

use std::net::SocketAddr;
use std::path::Path;

use lavenderseam_telemetry::log;
use serde::de::DeserializeOwned;

pub use error::Error;
pub use metrics::Metrics;

/// Contents of the settings file of a daemon.
pub trait Settings: DeserializeOwned {
    /// Returns the settings of the control plane.
    fn control(&self) -> &lavenderseam_control::Settings;

    /// Returns the settings of the log.
    fn log(&self) -> &log::Settings;

    /// Returns the settings of the metrics.
    fn metrics(&self) -> &Metrics;

    /// Validates what parsing can't: values that depend on each other, and files and addresses that
    /// they refer to.
    ///
    /// # Errors
    ///
    /// Returns [`Error::InvalidValue`] for the first invalid value.
    fn validate(&self) -> Result<(), Error>;
}

/// Reads, parses and validates a settings file.
///
/// # Errors
///
/// Returns [`Error::Read`] if the file can't be read, and the errors of [`parse`].
pub fn load<S: Settings>(file: &Path) -> Result<S, Error> {
    let text = std::fs::read_to_string(file).map_err(|cause| Error::Read {
        file: file.to_owned(),
        cause,
    })?;
    parse(&text)
}

/// Parses and validates the text of a settings file.
///
/// # Errors
///
/// Returns [`Error::Parse`] with the line of the text, or [`Error::InvalidValue`] with the key, its
/// value and the allowed values.
pub fn parse<S: Settings>(text: &str) -> Result<S, Error> {
    let settings: S = toml::from_str(text).map_err(|cause| Error::Parse(Box::new(cause)))?;
    settings.validate()?;
    Ok(settings)
}

/// Validates that the port of an address isn't 0.
///
/// # Errors
///
/// Returns [`Error::InvalidValue`] for port 0.
pub fn validate_port(key: &'static str, address: SocketAddr) -> Result<(), Error> {
    if address.port() != 0 {
        return Ok(());
    }
    Err(Error::invalid_value(
        key,
        address,
        "an address with a port other than 0",
    ))
}

/// Validates that a file can be opened for reading.
///
/// # Errors
///
/// Returns [`Error::InvalidValue`] if it can't be opened.
pub fn validate_readable_file(key: &'static str, file: &Path) -> Result<(), Error> {
    if std::fs::File::open(file).is_ok() {
        return Ok(());
    }
    Err(Error::invalid_value(
        key,
        file.display(),
        "a file that can be read",
    ))
}
