//! Why settings can't be used.

use std::fmt;
use std::path::PathBuf;

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
    Parse(Box<toml::de::Error>),
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

impl Error {
    /// A value that isn't allowed.
    pub fn value(key: &'static str, value: impl fmt::Display, allowed: &'static str) -> Self {
        Self::Value {
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
