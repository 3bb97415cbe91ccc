//! Whether a request that failed without a response from the backend server may have run.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Whether the backend server may have run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ran {
    /// The request has not run and will not run.
    No,
    /// The request may have run.
    Unknown,
}

/// Progress of a request towards the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// No byte of the request has been sent to the backend server.
    Held,
    /// Some bytes of the request may have been sent to the backend server.
    Sent,
    /// The backend server has stated that it didn't run the request.
    ConfirmedNotRun,
}

/// Answer to a request that failed without a response from the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub ran: Ran,
    /// Delay before a retry; `None` if a retry isn't useful.
    pub retry_after: Option<Duration>,
}

/// Error returned when a text is neither `no` nor `unknown`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseRanError;

impl Stage {
    /// Returns whether a request that is abandoned at this stage may have run.
    #[must_use]
    pub const fn ran(self) -> Ran {
        match self {
            Self::Held | Self::ConfirmedNotRun => Ran::No,
            Self::Sent => Ran::Unknown,
        }
    }
}

impl Refusal {
    /// Creates a refusal of a request that was abandoned at `stage`.
    #[must_use]
    pub const fn new(stage: Stage) -> Self {
        Self {
            ran: stage.ran(),
            retry_after: None,
        }
    }

    /// Creates a refusal that tells the caller when to retry.
    #[must_use]
    pub const fn with_retry_after(stage: Stage, retry_after: Duration) -> Self {
        Self {
            ran: stage.ran(),
            retry_after: Some(retry_after),
        }
    }
}

impl fmt::Display for Ran {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::No => "no",
            Self::Unknown => "unknown",
        })
    }
}

impl FromStr for Ran {
    type Err = ParseRanError;

    fn from_str(text: &str) -> Result<Self, ParseRanError> {
        match text {
            "no" => Ok(Self::No),
            "unknown" => Ok(Self::Unknown),
            _ => Err(ParseRanError),
        }
    }
}

impl fmt::Display for ParseRanError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("must be \"no\" or \"unknown\"")
    }
}

impl std::error::Error for ParseRanError {}
