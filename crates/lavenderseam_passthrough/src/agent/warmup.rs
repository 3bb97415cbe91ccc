//! How many openers a cold backend server is given.
//!
//! The pattern answered: a backend server returns empty while its service is loaded, and every
//! balancer sees the least busy target in it. Only its own agent sees all openers, so the agent
//! counts them over a sliding second.

use std::collections::VecDeque;
use std::time::Duration;

use lavenderseam_core::time::Instant;

/// Span over which openers are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Openers of the last second.
#[derive(Clone, Debug, Default)]
pub(crate) struct Warmup {
    taken: VecDeque<Instant>,
}

impl Warmup {
    /// Openers that may still be taken in this second.
    ///
    /// Without a rate the backend server is slow while it is cold, but bears any number.
    pub(crate) fn left(&mut self, rate: Option<f64>, now: Instant) -> u16 {
        self.forget(now);
        let Some(rate) = rate else {
            return u16::MAX;
        };
        let limit = rate.clamp(1.0, f64::from(u16::MAX)) as u16;
        let taken = u16::try_from(self.taken.len()).unwrap_or(u16::MAX);
        limit.saturating_sub(taken)
    }

    /// Notes an opener that was taken.
    pub(crate) fn take(&mut self, now: Instant) {
        self.forget(now);
        self.taken.push_back(now);
    }

    /// Forgets all openers.
    pub(crate) fn clear(&mut self) {
        self.taken.clear();
    }

    fn forget(&mut self, now: Instant) {
        while self.taken.front().is_some_and(|at| now.since(*at) >= SPAN) {
            self.taken.pop_front();
        }
    }
}
