//! Call rates.

use std::time::Duration;

/// A token bucket that holds at most one second's worth of calls.
#[derive(Clone, Debug)]
pub struct Quota {
    rate: f64,
    tokens: f64,
    filled: Duration,
}

impl Quota {
    /// A full bucket for a number of calls a second.
    #[must_use]
    pub fn new(calls_per_second: u32) -> Self {
        Self {
            rate: f64::from(calls_per_second),
            tokens: f64::from(calls_per_second),
            filled: Duration::ZERO,
        }
    }

    /// Takes one call at a time since the start.
    ///
    /// # Errors
    ///
    /// Returns the time to wait if the rate is used up.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        let elapsed = now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = elapsed.mul_add(self.rate, self.tokens).min(self.rate);
        self.filled = self.filled.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate))
    }
}
