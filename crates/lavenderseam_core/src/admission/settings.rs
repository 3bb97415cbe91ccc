//! Parameters of the adaptive request window.

use std::time::Duration;

/// Thresholds and timings by which a [`Window`](super::Window) adapts its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Minimum time from a reset to the cold limit until the first increase.
    pub cold_hold: Duration,
    /// Minimum time between two increases of the limit while the backend server is warming up.
    pub warming_growth_interval: Duration,
    /// Minimum time between two increases of the limit once the backend server has been warm.
    pub growth_interval: Duration,
    /// Upper bound of the interval between increases, which doubles with each decrease.
    pub max_growth_interval: Duration,
    /// Number of failures within [`Settings::burst_window`] that resets the limit to the cold one.
    pub burst_failures: u32,
    /// Sliding time window over which failures are counted as one burst.
    pub burst_window: Duration,
    /// Time without requests after which the backend server is assumed to be cold.
    pub idle_timeout: Duration,
    /// Time without any response activity, while requests are in flight, after which the backend
    /// server is assumed to be cold.
    pub stall_timeout: Duration,
    /// Multiple of the mean latency above which a latency can be a jump.
    pub jump_factor: u32,
    /// Amount by which a latency must also exceed the mean to be a jump; it keeps small absolute
    /// variations of short latencies from counting.
    pub jump_margin: Duration,
    /// How long an unchanged load report can lower the limit or hold it down.
    pub report_timeout: Duration,
    /// How long no new flows are admitted after the backend server was found unreachable.
    pub unreachable_backoff: Duration,
    /// Lower bound of the retry delay returned to rejected callers.
    pub min_retry_after: Duration,
    /// Upper bound of the retry delay returned to rejected callers.
    pub max_retry_after: Duration,
}

impl Settings {
    /// Returns `true` if a latency exceeds the baseline by both the factor and the margin.
    pub(super) fn is_jump(&self, latency: Duration, baseline: Duration) -> bool {
        latency > baseline * self.jump_factor && latency > baseline + self.jump_margin
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            cold_hold: Duration::from_secs(5),
            warming_growth_interval: Duration::from_millis(2500),
            growth_interval: Duration::from_millis(500),
            max_growth_interval: Duration::from_secs(20),
            burst_failures: 2,
            burst_window: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(60),
            stall_timeout: Duration::from_secs(3),
            jump_factor: 4,
            jump_margin: Duration::from_millis(50),
            report_timeout: Duration::from_secs(10),
            unreachable_backoff: Duration::from_secs(1),
            min_retry_after: Duration::from_millis(10),
            max_retry_after: Duration::from_secs(5),
        }
    }
}
