//! Rate limit for calls to the simulated object API.

use std::time::Duration;

/// Token bucket whose burst is the calls of one second.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    calls_per_second: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `calls_per_second`.
    #[must_use]
    pub fn new(calls_per_second: u32) -> Self {
        Self {
            calls_per_second: f64::from(calls_per_second),
            tokens: f64::from(calls_per_second),
            refilled_at: Duration::ZERO,
        }
    }

    /// Takes a token for one call; `now` is the time since the start of the process.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token if the bucket is empty.
    pub fn try_acquire(&mut self, now: Duration) -> Result<(), Duration> {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = elapsed
            .mul_add(self.calls_per_second, self.tokens)
            .min(self.calls_per_second);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64(
            (1.0 - self.tokens) / self.calls_per_second,
        ))
    }
}
