//! Settings file of the command line.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

/// Settings of the command line; arguments take precedence over them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Address of the object API of the platform.
    pub store: Option<SocketAddr>,
    /// File with the shared key as 64 hexadecimal digits; required by `explain`.
    pub key_file: Option<PathBuf>,
    /// RPC addresses of processes that `status` queries in addition to the announced ones, also
    /// while the store is unavailable.
    pub processes: Vec<SocketAddr>,
}

/// Error returned when the settings, or a file that they name, can't be used.
#[derive(Debug)]
pub enum Error {
    /// The file can't be read.
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Underlying I/O error.
        cause: io::Error,
    },
    /// The file isn't valid TOML, or a key or value is not allowed.
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Error of the TOML parser, with the key, the value and the allowed values.
        cause: Box<toml::de::Error>,
    },
    /// The key file doesn't hold 64 hexadecimal digits; holds its path.
    InvalidKey(PathBuf),
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the file can't be read or parsed, or has a key or value that is not
    /// allowed.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = read_file(path)?;
        toml::from_str(&text).map_err(|cause| Error::Parse {
            path: path.to_owned(),
            cause: Box::new(cause),
        })
    }
}

/// Returns the content of a text file.
pub(crate) fn read_file(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|cause| Error::Read {
        path: path.to_owned(),
        cause,
    })
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read { path, cause } => write!(formatter, "{}: {cause}", path.display()),
            Self::Parse { path, cause } => {
                write!(
                    formatter,
                    "{}: {cause}allowed keys: store (an address), key_file (a path), processes (a \
                     list of addresses)",
                    path.display()
                )
            }
            Self::InvalidKey(path) => {
                write!(
                    formatter,
                    "key_file {} doesn't hold a valid key; allowed: 64 hexadecimal digits",
                    path.display()
                )
            }
        }
    }
}

impl std::error::Error for Error {}
