//! Monotonic clock that supplies the core's time values.

use lavenderseam_core::time::Instant;

/// Monotonic clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    created_at: tokio::time::Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            created_at: tokio::time::Instant::now(),
        }
    }

    /// Returns the time since the clock's creation.
    pub(crate) fn now(&self) -> Instant {
        Instant::default() + self.created_at.elapsed()
    }
}
