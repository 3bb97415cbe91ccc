//! Errors when creating a caller, and failures of attempts.

use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

use lavenderseam_core::request::ExecutionStatus;
use rustls_pki_types::pem;

/// Error returned when a [`Caller`](crate::Caller) can't be created.
#[derive(Debug)]
pub enum Error {
    /// The file with the root certificates can't be read.
    RootCertificates(PathBuf, pem::Error),
    /// The TLS library rejected a root certificate or the configuration.
    Tls(rustls::Error),
    /// The TLS library doesn't support the cipher suite of QUIC initial packets.
    NoInitialCipherSuite(quinn::crypto::rustls::NoInitialCipherSuite),
}

/// Reason why an attempt at a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened.
    ConnectFailed,
    /// The agent rejected the request without processing it.
    Rejected,
    /// The connection or stream ended with an error before the response was complete.
    ConnectionLost,
    /// The response body is shorter or longer than its content length.
    LengthMismatch,
    /// The response has the id of another request.
    RequestIdMismatch,
    /// The response body doesn't match its hash.
    HashMismatch,
    /// The agent or the backend server refused the request.
    Refused {
        /// Whether the request may have run.
        execution: ExecutionStatus,
        /// Time after which the request may be retried.
        retry_after: Option<Duration>,
    },
    /// The deadline passed.
    DeadlineExceeded,
}

impl Failure {
    /// Returns whether the request may have run.
    #[must_use]
    pub const fn execution(self) -> ExecutionStatus {
        match self {
            Self::ConnectFailed | Self::Rejected => ExecutionStatus::NotRun,
            Self::Refused { execution, .. } => execution,
            Self::ConnectionLost
            | Self::LengthMismatch
            | Self::RequestIdMismatch
            | Self::HashMismatch
            | Self::DeadlineExceeded => ExecutionStatus::Unknown,
        }
    }

    /// Returns the time after which the request may be retried, if it was refused with one.
    #[must_use]
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Refused { retry_after, .. } => retry_after,
            _ => None,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RootCertificates(path, error) => write!(formatter, "{}: {error}", path.display()),
            Self::Tls(error) => error.fmt(formatter),
            Self::NoInitialCipherSuite(error) => error.fmt(formatter),
        }
    }
}

impl std::error::Error for Error {}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConnectFailed => formatter.write_str("no connection could be opened"),
            Self::Rejected => formatter.write_str("agent rejected the request unprocessed"),
            Self::ConnectionLost => formatter.write_str("the connection or stream was lost"),
            Self::LengthMismatch => formatter.write_str("response body has the wrong length"),
            Self::RequestIdMismatch => formatter.write_str("response belongs to another request"),
            Self::HashMismatch => formatter.write_str("response body doesn't match its hash"),
            Self::Refused { execution, .. } => {
                write!(formatter, "request was refused, ran: {execution}")
            }
            Self::DeadlineExceeded => formatter.write_str("deadline passed"),
        }
    }
}

impl std::error::Error for Failure {}
