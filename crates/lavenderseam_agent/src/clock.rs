//! The process's monotonic clock as the core sees it.

use lavenderseam_core::time::Instant;

/// Counts from its creation.
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
