//! Why the bench can't go on.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why the bench can't go on.
#[derive(Debug)]
pub enum Error {
    /// A file can't be read or written.
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        cause: io::Error,
    },
    /// An address can't be bound.
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        cause: io::Error,
    },
    /// A program can't be started.
    Start {
        /// The process's name.
        process: String,
        /// The cause.
        cause: io::Error,
    },
    /// A process ended although it should run; holds its name.
    Ended(String),
    /// No process has the name.
    UnknownProcess(String),
    /// A file of settings or an experiment can't be used.
    Setting {
        /// The key, or the line if the file can't be parsed.
        key: String,
        /// The value found.
        value: String,
        /// What is allowed.
        allowed: String,
    },
    /// A call to a stand-in failed.
    Call {
        /// The stand-in.
        address: SocketAddr,
        /// The path called.
        path: String,
        /// What went wrong.
        detail: String,
    },
    /// A certificate can't be made.
    Certificate(rcgen::Error),
    /// The deployment was not ready in time; holds what was still missing.
    NotReady(String),
    /// The user or the system asked the bench to end.
    Interrupted,
    /// The system refused a call to it.
    System(io::Error),
}

impl Error {
    /// An error about a file.
    pub fn file(path: impl Into<PathBuf>, cause: io::Error) -> Self {
        Self::File {
            path: path.into(),
            cause,
        }
    }

    /// An error about a setting.
    pub fn setting(
        key: impl fmt::Display,
        value: impl fmt::Display,
        allowed: impl fmt::Display,
    ) -> Self {
        Self::Setting {
            key: key.to_string(),
            value: value.to_string(),
            allowed: allowed.to_string(),
        }
    }

    /// An error about a call to a stand-in.
    pub(crate) fn call(address: SocketAddr, path: &str, detail: impl fmt::Display) -> Self {
        Self::Call {
            address,
            path: path.to_owned(),
            detail: detail.to_string(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, cause } => write!(formatter, "{}: {cause}", path.display()),
            Self::Bind { address, cause } => write!(formatter, "can't bind {address}: {cause}"),
            Self::Start { process, cause } => write!(formatter, "can't start {process}: {cause}"),
            Self::Ended(process) => write!(formatter, "{process} ended unexpectedly"),
            Self::UnknownProcess(name) => write!(formatter, "no process is named {name}"),
            Self::Setting {
                key,
                value,
                allowed,
            } => write!(formatter, "{key} is {value}; allowed: {allowed}"),
            Self::Call {
                address,
                path,
                detail,
            } => write!(formatter, "call of {path} at {address} failed: {detail}"),
            Self::Certificate(cause) => write!(formatter, "can't make a certificate: {cause}"),
            Self::NotReady(missing) => write!(formatter, "not ready in time: {missing}"),
            Self::Interrupted => formatter.write_str("interrupted"),
            Self::System(cause) => write!(formatter, "system call failed: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
