//! Points in time as messages carry them: by their age, as processes share no clock.

use std::time::Duration;

use crate::time::Instant;

/// The point in time of an age that a message told.
pub(crate) fn at(age_ms: u64, now: Instant) -> Instant {
    now - Duration::from_millis(age_ms)
}

/// The age of a point in time, in milliseconds.
pub(crate) fn age_ms(at: Instant, now: Instant) -> u64 {
    u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX)
}
