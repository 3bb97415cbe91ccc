//! Error type for starting a deployment, generating its load and measuring it.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Error that aborts a command of the test bench.
#[derive(Debug)]
pub enum Error {
    /// A file could not be read or written.
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error from the operating system.
        source: io::Error,
    },
    /// A socket could not be bound to its address.
    Bind {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Error from the operating system.
        source: io::Error,
    },
    /// A process could not be started.
    SpawnProcess {
        /// Name of the process.
        process: String,
        /// Error from the operating system.
        source: io::Error,
    },
    /// A process that should keep running has exited; holds the name of the process.
    UnexpectedExit(String),
    /// No process of the deployment has this name.
    UnknownProcess(String),
    /// A value in a settings file, an experiment file or on the command line is invalid.
    InvalidSetting {
        /// Full key of the value, or the line number if the file could not be parsed.
        key: String,
        /// Value that was found.
        value: String,
        /// Description of the values that are allowed.
        allowed: String,
    },
    /// An HTTP request to a stand-in failed.
    HttpRequest {
        /// Address of the stand-in.
        address: SocketAddr,
        /// Path of the request.
        path: String,
        /// Reason for the failure.
        reason: String,
    },
    /// A certificate could not be generated.
    GenerateCertificate(rcgen::Error),
    /// The deployment was not ready before the timeout; holds what was still missing.
    DeploymentNotReady(String),
    /// The bench received a signal to terminate.
    Interrupted,
    /// A system call failed.
    SystemCall(io::Error),
}

impl Error {
    /// Returns an error for a file that could not be read or written.
    pub fn file(path: impl Into<PathBuf>, source: io::Error) -> Self {
        Self::File {
            path: path.into(),
            source,
        }
    }

    /// Returns an error for an invalid value of a setting.
    pub fn setting(
        key: impl fmt::Display,
        value: impl fmt::Display,
        allowed: impl fmt::Display,
    ) -> Self {
        Self::InvalidSetting {
            key: key.to_string(),
            value: value.to_string(),
            allowed: allowed.to_string(),
        }
    }

    /// Returns an error for a failed HTTP request to a stand-in.
    pub(crate) fn http(address: SocketAddr, path: &str, reason: impl fmt::Display) -> Self {
        Self::HttpRequest {
            address,
            path: path.to_owned(),
            reason: reason.to_string(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, source } => write!(formatter, "file {}: {source}", path.display()),
            Self::Bind { address, source } => {
                write!(formatter, "can't bind to {address}: {source}")
            }
            Self::SpawnProcess { process, source } => {
                write!(formatter, "can't start {process}: {source}")
            }
            Self::UnexpectedExit(process) => write!(formatter, "{process} exited unexpectedly"),
            Self::UnknownProcess(name) => write!(formatter, "no process is named {name}"),
            Self::InvalidSetting {
                key,
                value,
                allowed,
            } => write!(
                formatter,
                "invalid setting: {key} is {value}; allowed: {allowed}"
            ),
            Self::HttpRequest {
                address,
                path,
                reason,
            } => write!(
                formatter,
                "request for {path} to {address} failed: {reason}"
            ),
            Self::GenerateCertificate(source) => {
                write!(formatter, "can't generate a certificate: {source}")
            }
            Self::DeploymentNotReady(missing) => {
                write!(
                    formatter,
                    "deployment not ready in time: still missing {missing}"
                )
            }
            Self::Interrupted => formatter.write_str("interrupted"),
            Self::SystemCall(source) => write!(formatter, "system call failed: {source}"),
        }
    }
}

impl std::error::Error for Error {}
