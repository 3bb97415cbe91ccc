//! Why a call to the object API failed.

use std::fmt;
use std::time::Duration;

use lavenderseam_core::catalog::Revision;

/// Why a call to the object API failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The condition doesn't hold; nothing was written. Holds the present revision, if any.
    Conflict(Option<Revision>),
    /// The platform refused the call for its rate; nothing was written.
    Throttled {
        /// When to come back.
        retry_after: Duration,
    },
    /// The platform can't be reached; nothing was written.
    Unreachable,
    /// The call was sent and no answer came: a write may have taken effect.
    Unanswered,
    /// The value exceeds the platform's limit; nothing was written.
    Oversized,
    /// The platform no longer keeps the writes after the revision of a watch: list anew.
    Gone,
    /// The platform rejected the call or answered something that can't be read.
    Protocol(String),
}

impl Error {
    /// Whether a write that failed so surely did not take effect.
    #[must_use]
    pub const fn surely_not_written(&self) -> bool {
        !matches!(self, Self::Unanswered | Self::Protocol(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(Some(held)) => write!(formatter, "the record is at revision {held}"),
            Self::Conflict(None) => formatter.write_str("the record doesn't exist"),
            Self::Throttled { retry_after } => {
                write!(
                    formatter,
                    "the platform is at its rate limit, retry after {retry_after:?}"
                )
            }
            Self::Unreachable => formatter.write_str("the platform can't be reached"),
            Self::Unanswered => formatter.write_str("the platform didn't answer"),
            Self::Oversized => formatter.write_str("the record exceeds the platform's limit"),
            Self::Gone => formatter.write_str("the platform no longer keeps these writes"),
            Self::Protocol(detail) => write!(formatter, "the platform answered oddly: {detail}"),
        }
    }
}

impl std::error::Error for Error {}
