//! The clock of one process.

use lavenderseam_core::time::Instant;

/// A steady clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: std::time::Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: std::time::Instant::now(),
        }
    }

    /// The present instant.
    #[must_use]
    pub fn now(&self) -> Instant {
        // Spans since an instant that never was must exceed every bound.
        let passed = self.origin.elapsed() + START;
        Instant(u64::try_from(passed.as_micros()).unwrap_or(u64::MAX))
    }
}

/// What the clock shows at its start: longer than any span that decisions look back.
const START: std::time::Duration = std::time::Duration::from_secs(3_600);

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
