//! The process' clock, as the core sees it.

use std::time::{Duration, Instant as Monotonic, SystemTime};

use lavenderseam_core::relay::PAUSE_LIMIT;
use lavenderseam_core::time::Instant;
use parking_lot::Mutex;

/// A clock that also moves on while the machine is suspended.
///
/// The monotonic clock may stand still during a suspension. When the wall clock has moved on much
/// further than the monotonic one since the last look, the difference is taken in as a pause.
pub(crate) struct Clock {
    origin: Monotonic,
    state: Mutex<State>,
}

struct State {
    seen: Monotonic,
    wall: SystemTime,
    suspended: Duration,
}

impl Clock {
    /// A clock that starts now; it never reads zero.
    pub(crate) fn new() -> Self {
        let now = Monotonic::now();
        Self {
            origin: now,
            state: Mutex::new(State {
                seen: now,
                wall: SystemTime::now(),
                suspended: Duration::from_secs(1),
            }),
        }
    }

    /// The present instant.
    pub(crate) fn now(&self) -> Instant {
        let suspended = self.state.lock().suspended;
        Instant(0) + self.origin.elapsed() + suspended
    }

    /// Looks for a suspension since the last look.
    pub(crate) fn look(&self) {
        let (now, wall) = (Monotonic::now(), SystemTime::now());
        let mut state = self.state.lock();
        let ran = now.duration_since(state.seen);
        let passed = wall.duration_since(state.wall).unwrap_or_default();
        let missing = passed.saturating_sub(ran);
        if missing > PAUSE_LIMIT {
            state.suspended += missing;
        }
        state.seen = now;
        state.wall = wall;
    }
}
