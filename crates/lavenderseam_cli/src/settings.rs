//! The command line's settings file.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

/// Settings of the command line; arguments go before them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Address of the platform's object API.
    pub store: Option<SocketAddr>,
    /// File with the shared key, 64 hexadecimal digits; `explain` needs it.
    pub key_file: Option<PathBuf>,
    /// Addresses for remote calls that `status` asks while the store is away.
    pub processes: Vec<SocketAddr>,
}

/// Why settings can't be used.
#[derive(Debug)]
pub enum Error {
    /// A file can't be read.
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        cause: io::Error,
    },
    /// The file isn't TOML, or a key or value isn't allowed.
    Malformed {
        /// The file.
        path: PathBuf,
        /// The key, the value and what is allowed.
        cause: Box<toml::de::Error>,
    },
    /// The key file doesn't hold 64 hexadecimal digits.
    Key(PathBuf),
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the file can't be read or holds something that isn't allowed.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = read(path)?;
        toml::from_str(&text).map_err(|cause| Error::Malformed {
            path: path.to_owned(),
            cause: Box::new(cause),
        })
    }
}

/// Reads a text file.
pub(crate) fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|cause| Error::File {
        path: path.to_owned(),
        cause,
    })
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, cause } => write!(formatter, "{}: {cause}", path.display()),
            Self::Malformed { path, cause } => {
                write!(
                    formatter,
                    "{}: {cause}allowed keys: store (an address), key_file (a path), processes (a \
                     list of addresses)",
                    path.display()
                )
            }
            Self::Key(path) => {
                write!(
                    formatter,
                    "key_file {} doesn't hold a key; allowed: 64 hexadecimal digits",
                    path.display()
                )
            }
        }
    }
}

impl std::error::Error for Error {}
