//! Monotonic clock of a process.

use std::time::Duration;

use lavenderseam_core::time::Instant;

/// Reading of a new [`Clock`].
///
/// It exceeds every timeout of the state machines, so that an event that never happened, stored as
/// instant 0, counts as longer ago than any timeout.
const INITIAL_READING: Duration = Duration::from_secs(3_600);

/// Monotonic clock that starts with the process and includes time in system suspend.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Time since boot at which the clock was created.
    started_at: Duration,
}

impl Clock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            started_at: time_since_boot(),
        }
    }

    /// Returns the current instant.
    #[must_use]
    pub fn now(&self) -> Instant {
        let elapsed = time_since_boot().saturating_sub(self.started_at) + INITIAL_READING;
        Instant(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the time since boot, including system suspend (`CLOCK_BOOTTIME`).
fn time_since_boot() -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the pointer is to one live `timespec`. Every supported Linux has `CLOCK_BOOTTIME`, so
    // the call can't fail; if it did, the clock would stand still rather than jump.
    unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &raw mut time) };
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
