//! How fresh a process' records are.

use std::time::Duration;

use super::MemberId;
use crate::time::Instant;

/// When the store was last known to hold nothing newer, and who asked it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Freshness {
    pub(crate) at: Instant,
    pub(crate) origin: MemberId,
}

impl Freshness {
    /// Freshness that another process told of.
    pub(crate) fn new(age_ms: u64, origin: MemberId, now: Instant) -> Self {
        Self {
            at: now - Duration::from_millis(age_ms),
            origin,
        }
    }

    /// Age in milliseconds.
    pub(crate) fn age_ms(&self, now: Instant) -> u64 {
        u64::try_from(now.since(self.at).as_millis()).unwrap_or(u64::MAX)
    }
}
