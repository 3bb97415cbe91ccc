//! The clock of one process.

use std::time::Duration;

use lavenderseam_core::time::Instant;

/// What the clock shows at its start: longer than any span that decisions look back, so that a
/// span since an instant that never was exceeds every bound.
const START: Duration = Duration::from_secs(3_600);

/// A steady clock that starts with the process and goes on while the machine sleeps.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self { origin: read() }
    }

    /// The present instant.
    #[must_use]
    pub fn now(&self) -> Instant {
        let passed = read().saturating_sub(self.origin) + START;
        Instant(u64::try_from(passed.as_micros()).unwrap_or(u64::MAX))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Time since the machine started, sleep included.
fn read() -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the pointer is to one live `timespec`. The clock exists on every Linux, so the call
    // can't fail; if it did, time would stand still rather than jump.
    unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &raw mut time) };
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
