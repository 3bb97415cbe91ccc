//! Slots that failed requests keep for a while.
//!
//! The pattern answered: a backend server that breaks off every request gives its slots back at
//! once, so it seems idle and is given most of the flows. A request that ended without an answer
//! keeps its slot for a penalty instead, which doubles with each failure in a row. So the backend
//! server gets few flows while it fails, and its load tells balancers to prefer others. One that
//! fails now and then loses little.

use std::time::Duration;

use lavenderseam_core::time::Instant;

/// Penalty of a failure after an answer: a few times as long as a request takes.
const SHORTEST: Duration = Duration::from_millis(200);
/// Longest penalty: a backend server that has recovered waits no longer for its next flow.
const LONGEST: Duration = Duration::from_millis(1_600);

/// The penalties that run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Penalties {
    ends: Vec<Instant>,
    /// Failures since the last answer.
    failures: u32,
}

impl Penalties {
    /// Notes a request that was answered.
    pub(crate) fn answered(&mut self) {
        self.failures = 0;
    }

    /// Notes a request that ended without an answer; returns its penalty.
    pub(crate) fn failed(&mut self, now: Instant) -> Duration {
        let factor = 1 << self.failures.min(8);
        let penalty = (SHORTEST * factor).min(LONGEST);
        self.failures = self.failures.saturating_add(1);
        self.ends.push(now + penalty);
        penalty
    }

    /// Slots that are kept.
    pub(crate) fn slots(&mut self, now: Instant) -> u16 {
        self.ends.retain(|end| now < *end);
        u16::try_from(self.ends.len()).unwrap_or(u16::MAX)
    }
}
