//! Timeouts and retry delays of the reads without which a balancer can't serve.
//!
//! A balancer that starts while the store is silent has nothing to serve by, and learns of the store's
//! return only from a read that it sends afterwards. So its first reads are given up and repeated soon.
//! Later ones wait for longer, because a store that is slow or overloaded must get the time to answer,
//! and many balancers may wait for it.

use std::time::Duration;

/// Timeout of the first reads: several times the slowest answer of a store that works.
const MIN_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum timeout of a read.
const MAX_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after the first failed reads.
const MIN_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay after a failed read; records must take effect within seconds after an outage of the
/// store.
const MAX_DELAY: Duration = Duration::from_secs(1);
/// Failed reads after which timeout and delay double.
const READS_PER_STEP: u32 = 4;
/// Steps after which both have reached their maximum.
const MAX_STEPS: u32 = 8;

/// Reads that have failed since the last answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadSchedule {
    failures: u32,
}

impl ReadSchedule {
    /// Creates the schedule of a balancer that starts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the timeout of the next read.
    #[must_use]
    pub fn timeout(self) -> Duration {
        self.grown(MIN_TIMEOUT).min(MAX_TIMEOUT)
    }

    /// Records a failed read, and returns the delay before the next one.
    pub fn on_failure(&mut self) -> Duration {
        let delay = self.grown(MIN_DELAY).min(MAX_DELAY);
        self.failures = self.failures.saturating_add(1);
        delay
    }

    fn grown(self, initial: Duration) -> Duration {
        let steps = (self.failures / READS_PER_STEP).min(MAX_STEPS);
        initial * 2_u32.pow(steps)
    }
}
