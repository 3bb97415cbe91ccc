//! Monotonic timestamps in microseconds, which the driver of the core supplies.

use std::ops::{Add, Sub};
use std::time::Duration;

number! {
    /// A point in time, in microseconds since an origin that the driver of the core chooses.
    pub struct Instant(u64);
}

impl Instant {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` lies after `self`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(saturating_micros(duration)))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(saturating_micros(duration)))
    }
}

fn saturating_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
