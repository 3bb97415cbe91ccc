//! Why a caller can't be made, and why an attempt failed.

use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

use lavenderseam_core::request::Ran;
use rustls_pki_types::pem;

/// Why a caller can't be made.
#[derive(Debug)]
pub enum Error {
    /// The root certificates can't be read.
    Roots(PathBuf, pem::Error),
    /// The root certificates can't be used.
    Tls(rustls::Error),
    /// The library lacks the cipher that QUIC starts with.
    Cipher(quinn::crypto::rustls::NoInitialCipherSuite),
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened.
    Connect,
    /// The agent rejected the request before it looked at it.
    Rejected,
    /// The connection or the stream broke before the answer was whole.
    Broken,
    /// The answer ended before it was whole.
    Cut,
    /// The answer belongs to another request.
    Crossed,
    /// The content isn't what its hash says.
    Content,
    /// The agent or the backend server refused the request.
    Refused {
        /// Whether it may have run.
        ran: Ran,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// The deadline passed.
    Late,
}

impl Failure {
    /// Whether the request may have run.
    #[must_use]
    pub const fn ran(self) -> Ran {
        match self {
            Self::Connect | Self::Rejected => Ran::No,
            Self::Refused { ran, .. } => ran,
            Self::Broken | Self::Cut | Self::Crossed | Self::Content | Self::Late => Ran::Unknown,
        }
    }

    /// When to come back, if the refusal names it.
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
            Self::Roots(path, error) => write!(formatter, "{}: {error}", path.display()),
            Self::Tls(error) => error.fmt(formatter),
            Self::Cipher(error) => error.fmt(formatter),
        }
    }
}

impl std::error::Error for Error {}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect => formatter.write_str("no connection could be opened"),
            Self::Rejected => formatter.write_str("request was rejected unread"),
            Self::Broken => formatter.write_str("connection broke before the answer was whole"),
            Self::Cut => formatter.write_str("answer was cut"),
            Self::Crossed => formatter.write_str("answer belongs to another request"),
            Self::Content => formatter.write_str("content doesn't match its hash"),
            Self::Refused { ran, .. } => write!(formatter, "request was refused, ran: {ran}"),
            Self::Late => formatter.write_str("deadline passed"),
        }
    }
}

impl std::error::Error for Failure {}
