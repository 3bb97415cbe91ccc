//! Outcome of a request, which states whether the request may have run.

use std::time::Duration;

use lavenderseam_core::request::ExecutionStatus;

use crate::Failure;

/// Outcome of a request after all attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The complete response was received.
    Answered(T),
    /// The request failed and did not run.
    Refused {
        /// Time after which the request may be retried, according to the latest refusal that had
        /// one.
        retry_after: Option<Duration>,
        /// Failure of the last attempt.
        failure: Failure,
    },
    /// The request may have run, but no response was received; holds the failure of the last
    /// attempt.
    Unknown(Failure),
}

impl<T> Outcome<T> {
    /// Returns the outcome of a request whose last attempt failed; `retry_after` is the time of the
    /// latest refusal of any attempt.
    pub(crate) const fn from_failure(
        failure: Failure,
        execution: ExecutionStatus,
        retry_after: Option<Duration>,
    ) -> Self {
        match execution {
            ExecutionStatus::NotRun => Self::Refused {
                retry_after,
                failure,
            },
            ExecutionStatus::Unknown => Self::Unknown(failure),
        }
    }

    /// Returns the response, if one was received.
    pub fn ok(self) -> Option<T> {
        match self {
            Self::Answered(response) => Some(response),
            Self::Refused { .. } | Self::Unknown(_) => None,
        }
    }
}
