//! How much a caller retries.

use std::time::Duration;

/// Multiple of the slowest attempt so far that another one is expected to take at most.
const SLOWER: u32 = 2;
/// Least time that an attempt is expected to need: a handshake and two round trips in a region.
const LEAST: Duration = Duration::from_millis(50);
/// Credit is counted in these parts of one retry.
const PARTS: u32 = 100;

/// Retries that a caller may make: a share of its successes.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    credit: u32,
    deposit: u32,
    limit: u32,
}

impl Budget {
    /// A budget that earns `percent` of a retry by each success and saves up to `saved` retries;
    /// it starts full.
    #[must_use]
    pub const fn new(percent: u32, saved: u32) -> Self {
        Self {
            credit: saved * PARTS,
            deposit: percent,
            limit: saved * PARTS,
        }
    }

    /// Notes a success.
    pub fn succeeded(&mut self) {
        self.credit = (self.credit + self.deposit).min(self.limit);
    }

    /// Takes a retry; false if the budget is spent.
    pub fn take(&mut self) -> bool {
        let Some(left) = self.credit.checked_sub(PARTS) else {
            return false;
        };
        self.credit = left;
        true
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(20, 10)
    }
}

/// How long the attempts at one request took.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempts {
    slowest: Duration,
}

impl Attempts {
    /// Notes an attempt that has ended.
    pub fn ended(&mut self, took: Duration) {
        self.slowest = self.slowest.max(took);
    }

    /// Whether another attempt can be expected to end within a time. One that can't would turn a
    /// request that surely hasn't run into one that may have.
    #[must_use]
    pub fn fits(&self, left: Duration) -> bool {
        left >= LEAST.max(self.slowest * SLOWER)
    }
}

/// Time before a retry: drawn evenly from the second half of a span that doubles with each
/// attempt, so that callers refused together don't come back together. `random` is any word.
#[must_use]
pub fn backoff(attempt: u32, base: Duration, limit: Duration, random: u64) -> Duration {
    let span = base.saturating_mul(1 << attempt.min(16)).min(limit);
    let half = span / 2;
    let micros = u64::try_from(half.as_micros()).unwrap_or(u64::MAX);
    half + Duration::from_micros(random % micros.max(1))
}
