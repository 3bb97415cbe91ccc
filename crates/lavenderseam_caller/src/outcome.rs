//! What became of a request.

use std::time::Duration;

use lavenderseam_core::request::Ran;

use crate::Failure;

/// What became of a request after all attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// Answered in whole.
    Answered(T),
    /// Refused; it surely did not run.
    Refused {
        /// When to come back, if the refusal names it.
        retry_after: Option<Duration>,
        /// The last attempt's failure.
        failure: Failure,
    },
    /// It may have run, but there is no answer.
    Unknown(Failure),
}

impl<T> Outcome<T> {
    /// The outcome of a request whose last attempt failed.
    pub(crate) fn failed(failure: Failure, ran: Ran) -> Self {
        match ran {
            Ran::No => Self::Refused {
                retry_after: failure.retry_after(),
                failure,
            },
            Ran::Unknown => Self::Unknown(failure),
        }
    }

    /// The answer, if there is one.
    pub fn answered(self) -> Option<T> {
        match self {
            Self::Answered(answer) => Some(answer),
            Self::Refused { .. } | Self::Unknown(_) => None,
        }
    }
}
