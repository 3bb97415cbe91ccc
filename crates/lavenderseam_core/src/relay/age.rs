//! Conversion between instants and the ages that messages carry, since processes share no clock.

use std::time::Duration;

use crate::time::Instant;

/// Returns the instant that was `age_ms` milliseconds ago.
pub(crate) fn instant(age_ms: u64, now: Instant) -> Instant {
    now - Duration::from_millis(age_ms)
}

/// Returns the age of an instant in milliseconds.
pub(crate) fn age_ms(instant: Instant, now: Instant) -> u64 {
    u64::try_from(now.since(instant).as_millis()).unwrap_or(u64::MAX)
}
