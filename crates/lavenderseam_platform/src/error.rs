//! Errors of calls to the object API.

use std::fmt;
use std::time::Duration;

use lavenderseam_core::catalog::Revision;

/// Error of a call to the object API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The condition of a write doesn't hold, so nothing was written. Holds the current revision of
    /// the record; `None` if the record doesn't exist.
    Conflict(Option<Revision>),
    /// The platform rejected the call by its rate limit, or was overloaded; nothing was written.
    Throttled {
        /// Time to wait before the next call.
        retry_after: Duration,
    },
    /// No connection to the platform could be opened, so nothing was written.
    Unreachable,
    /// The request was sent but no complete response arrived: a write may have taken effect.
    NoResponse,
    /// The record exceeds the platform's size limit; nothing was written.
    TooLarge,
    /// The platform no longer holds the writes since the revision of a watch: list the records
    /// again.
    RevisionExpired,
    /// The response has an unexpected status or can't be parsed, or the request couldn't be built.
    /// A write may have taken effect.
    Protocol(String),
}

impl Error {
    /// Returns `true` if a write that failed with this error can't have taken effect.
    #[must_use]
    pub const fn guarantees_not_written(&self) -> bool {
        !matches!(self, Self::NoResponse | Self::Protocol(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(Some(revision)) => {
                write!(formatter, "conflict: record at revision {revision}")
            }
            Self::Conflict(None) => formatter.write_str("conflict: record doesn't exist"),
            Self::Throttled { retry_after } => {
                write!(
                    formatter,
                    "the platform rejected the call by its rate limit, retry after {retry_after:?}"
                )
            }
            Self::Unreachable => formatter.write_str("can't connect to the platform"),
            Self::NoResponse => formatter.write_str("no complete response from the platform"),
            Self::TooLarge => formatter.write_str("the record exceeds the platform's size limit"),
            Self::RevisionExpired => {
                formatter.write_str("writes since this revision are no longer stored")
            }
            Self::Protocol(detail) => write!(formatter, "the platform responded oddly: {detail}"),
        }
    }
}

impl std::error::Error for Error {}
