//! Whether a request that failed without a response from the backend server may have run.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Whether the backend server may have run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExecutionStatus {
    /// The request has not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Progress of a request towards the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// No byte of the request has been sent to the backend server.
    NotSent,
    /// Some bytes of the request may have been sent to the backend server.
    PossiblySent,
    /// The backend server has stated that it didn't run the request.
    ConfirmedNotRun,
}

/// Answer to a request that failed without a response from the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub execution: ExecutionStatus,
    /// Delay before a retry; `None` if a retry isn't useful.
    pub retry_after: Option<Duration>,
}

/// Error returned when a text is neither `no` nor `unknown`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseExecutionStatusError;

impl Stage {
    /// Returns whether a request that is abandoned at this stage may have run.
    #[must_use]
    pub const fn execution(self) -> ExecutionStatus {
        match self {
            Self::NotSent | Self::ConfirmedNotRun => ExecutionStatus::NotRun,
            Self::PossiblySent => ExecutionStatus::Unknown,
        }
    }
}

impl Refusal {
    /// Creates a refusal of a request that was abandoned at `stage`.
    #[must_use]
    pub const fn new(stage: Stage) -> Self {
        Self {
            execution: stage.execution(),
            retry_after: None,
        }
    }

    /// Creates a refusal with the time after which the caller may retry.
    #[must_use]
    pub const fn with_retry_after(stage: Stage, retry_after: Duration) -> Self {
        Self {
            execution: stage.execution(),
            retry_after: Some(retry_after),
        }
    }
}

impl fmt::Display for ExecutionStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotRun => "no",
            Self::Unknown => "unknown",
        })
    }
}

impl FromStr for ExecutionStatus {
    type Err = ParseExecutionStatusError;

    fn from_str(text: &str) -> Result<Self, ParseExecutionStatusError> {
        match text {
            "no" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(ParseExecutionStatusError),
        }
    }
}

impl fmt::Display for ParseExecutionStatusError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("must be \"no\" or \"unknown\"")
    }
}

impl std::error::Error for ParseExecutionStatusError {}
