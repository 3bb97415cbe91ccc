//! Whether a request that got no answer of its own may have run.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Whether a request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ran {
    /// It has not run and will not.
    No,
    /// It may have run.
    Unknown,
}

/// How far a request has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// No byte of it has gone to the backend server.
    Held,
    /// Some of it may have gone to the backend server.
    Sent,
    /// The backend server has said that it didn't run it.
    Disproved,
}

/// A request given up without an answer of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether it may have run.
    pub ran: Ran,
    /// When to come back; none if coming back doesn't help.
    pub retry_after: Option<Duration>,
}

/// A text other than `no` and `unknown`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownRan;

impl Stage {
    /// What may be said of a request that is given up at this stage.
    #[must_use]
    pub const fn ran(self) -> Ran {
        match self {
            Self::Held | Self::Disproved => Ran::No,
            Self::Sent => Ran::Unknown,
        }
    }
}

impl Refusal {
    /// A refusal of a request at a stage.
    #[must_use]
    pub const fn new(stage: Stage) -> Self {
        Self {
            ran: stage.ran(),
            retry_after: None,
        }
    }

    /// A refusal that names a time to come back.
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
    type Err = UnknownRan;

    fn from_str(text: &str) -> Result<Self, UnknownRan> {
        match text {
            "no" => Ok(Self::No),
            "unknown" => Ok(Self::Unknown),
            _ => Err(UnknownRan),
        }
    }
}

impl fmt::Display for UnknownRan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("must be \"no\" or \"unknown\"")
    }
}

impl std::error::Error for UnknownRan {}
