//! Errors when loading settings.

use std::fmt;
use std::path::PathBuf;

/// Error when loading a settings file.
#[derive(Debug)]
pub enum Error {
    /// The file can't be read.
    Read {
        /// Path of the settings file.
        file: PathBuf,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The text isn't valid TOML, a key is unknown or missing, or a value has the wrong form. The
    /// error names the line.
    Parse(Box<toml::de::Error>),
    /// A value is outside the allowed ones.
    InvalidValue {
        /// Key of the setting.
        key: &'static str,
        /// Value in the file.
        value: String,
        /// Description of the allowed values.
        allowed: &'static str,
    },
}

impl Error {
    /// Creates the error for a value outside the allowed ones.
    pub fn invalid_value(
        key: &'static str,
        value: impl fmt::Display,
        allowed: &'static str,
    ) -> Self {
        Self::InvalidValue {
            key,
            value: value.to_string(),
            allowed,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read { file, cause } => {
                write!(
                    formatter,
                    "can't read settings file {}: {cause}",
                    file.display()
                )
            }
            Self::Parse(cause) => cause.fmt(formatter),
            Self::InvalidValue {
                key,
                value,
                allowed,
            } => write!(formatter, "setting {key} is {value}; allowed: {allowed}"),
        }
    }
}

impl std::error::Error for Error {}
