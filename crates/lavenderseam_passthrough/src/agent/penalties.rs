//! Slots that failed requests keep reserved for some time.
//!
//! A backend server that fails every request frees its slots at once, so it appears idle and would
//! attract most of the flows. To prevent this, a request that ends without a response keeps its
//! slot reserved for a penalty time, which doubles with each consecutive failure. The backend
//! server then gets few flows while it fails, and its load makes balancers prefer other targets. A
//! backend server with occasional failures loses little capacity.

use std::time::Duration;

use lavenderseam_core::time::Instant;

/// Penalty for the first failure after a response, for which the slot of the failed request stays
/// reserved: a few times the duration of a request.
const MIN_PENALTY: Duration = Duration::from_millis(200);
/// Upper bound of the penalty, so that a backend server that has recovered gets its next flow
/// within this time.
const MAX_PENALTY: Duration = Duration::from_millis(1_600);

/// Penalties that are in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailurePenalties {
    expirations: Vec<Instant>,
    /// Failures since the last response.
    consecutive_failures: u32,
}

impl FailurePenalties {
    /// Records a request that was answered.
    pub(crate) fn on_response(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a request that ended without a response; returns its penalty.
    pub(crate) fn on_failure(&mut self, now: Instant) -> Duration {
        let factor = 1 << self.consecutive_failures.min(8);
        let penalty = (MIN_PENALTY * factor).min(MAX_PENALTY);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.expirations.push(now + penalty);
        penalty
    }

    /// Returns the number of slots that are reserved by penalties.
    pub(crate) fn reserved_slots(&mut self, now: Instant) -> u16 {
        self.expirations.retain(|expiration| now < *expiration);
        u16::try_from(self.expirations.len()).unwrap_or(u16::MAX)
    }
}
