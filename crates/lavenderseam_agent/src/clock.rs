//! Monotonic clock that supplies the core's time values.

use lavenderseam_core::time::Instant;

/// Monotonic clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: tokio::time::Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            origin: tokio::time::Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        Instant::default() + self.origin.elapsed()
    }
}
