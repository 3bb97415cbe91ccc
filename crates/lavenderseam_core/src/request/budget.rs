//! Limits on the retries of a caller: retry budget, deadline check and backoff.

use std::time::Duration;

/// Multiple of the slowest attempt so far that the next attempt is expected not to exceed.
const SLOWDOWN_FACTOR: u32 = 2;
/// Minimum time that an attempt needs: a handshake and two round trips within a region.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);
/// Credit that one retry costs.
const CREDIT_PER_RETRY: u32 = 100;

/// Retry budget of a caller: limits retries to a percentage of its successful requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    credit: u32,
    credit_per_success: u32,
    max_credit: u32,
}

impl RetryBudget {
    /// Creates a full budget of `max_retries`, to which each successful request adds `percent` of a
    /// retry.
    #[must_use]
    pub const fn new(percent: u32, max_retries: u32) -> Self {
        Self {
            credit: max_retries * CREDIT_PER_RETRY,
            credit_per_success: percent,
            max_credit: max_retries * CREDIT_PER_RETRY,
        }
    }

    /// Records a successful request.
    pub fn record_success(&mut self) {
        self.credit = (self.credit + self.credit_per_success).min(self.max_credit);
    }

    /// Withdraws one retry; returns `false` if the budget is exhausted.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(remaining) = self.credit.checked_sub(CREDIT_PER_RETRY) else {
            return false;
        };
        self.credit = remaining;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(20, 10)
    }
}

/// Durations of the attempts of one request, to decide whether another one fits its deadline.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptTimes {
    slowest: Duration,
}

impl AttemptTimes {
    /// Records the duration of a completed attempt.
    pub fn record_attempt(&mut self, duration: Duration) {
        self.slowest = self.slowest.max(duration);
    }

    /// Returns `true` if another attempt is expected to complete within the remaining time.
    ///
    /// An attempt that is cut off by the deadline would leave the outcome unknown for a request
    /// that is known not to have run.
    #[must_use]
    pub fn fits_within(&self, remaining: Duration) -> bool {
        remaining >= MIN_ATTEMPT_TIME.max(self.slowest * SLOWDOWN_FACTOR)
    }
}

/// Returns the delay before a retry: exponential backoff with jitter.
///
/// The delay is drawn uniformly from the upper half of a range that doubles with each attempt, so
/// that callers refused at the same time don't retry at the same time. `random` is a uniformly
/// distributed random number.
#[must_use]
pub fn backoff_delay(attempt: u32, base: Duration, limit: Duration, random: u64) -> Duration {
    let max_delay = base.saturating_mul(1 << attempt.min(16)).min(limit);
    let half = max_delay / 2;
    let micros = u64::try_from(half.as_micros()).unwrap_or(u64::MAX);
    half + Duration::from_micros(random % micros.max(1))
}
