//! Monotonic clock that counts the time during which the machine was suspended.

use std::time::{Duration, Instant as Monotonic, SystemTime};

use lavenderseam_core::relay::PAUSE_THRESHOLD;
use lavenderseam_core::time::Instant;
use parking_lot::Mutex;

/// Monotonic clock that also counts the time during which the machine was suspended.
///
/// The monotonic clock of the system may stop during a suspension. When the wall clock has advanced
/// by more than [`PAUSE_THRESHOLD`] beyond the monotonic one since the last check, the difference
/// is added to this clock as suspended time.
pub(crate) struct Clock {
    started: Monotonic,
    state: Mutex<ClockState>,
}

/// Readings of the last check and the suspended time.
struct ClockState {
    /// Monotonic time of the last check.
    checked: Monotonic,
    /// Wall-clock time of the last check.
    checked_wall: SystemTime,
    /// Suspended time found so far, plus the offset that keeps the clock above zero.
    suspended: Duration,
}

impl Clock {
    /// Creates a clock that starts now, at one second: its readings are never zero.
    pub(crate) fn new() -> Self {
        let now = Monotonic::now();
        Self {
            started: now,
            state: Mutex::new(ClockState {
                checked: now,
                checked_wall: SystemTime::now(),
                suspended: Duration::from_secs(1),
            }),
        }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Instant {
        let suspended = self.state.lock().suspended;
        Instant(0) + self.started.elapsed() + suspended
    }

    /// Compares the system clocks and adds the time of a suspension since the last check.
    pub(crate) fn detect_suspension(&self) {
        let (now, wall) = (Monotonic::now(), SystemTime::now());
        let mut state = self.state.lock();
        let monotonic_elapsed = now.duration_since(state.checked);
        let wall_elapsed = wall.duration_since(state.checked_wall).unwrap_or_default();
        let excess = wall_elapsed.saturating_sub(monotonic_elapsed);
        if excess > PAUSE_THRESHOLD {
            state.suspended += excess;
        }
        state.checked = now;
        state.checked_wall = wall;
    }
}
