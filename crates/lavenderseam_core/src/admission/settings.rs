//! How a window reacts.

use std::time::Duration;

/// How a window reacts to outcomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Shortest time from turning cold to the first growth.
    pub hold: Duration,
    /// Shortest time between two growths while warming.
    pub warming_round: Duration,
    /// Shortest time between two growths once warm.
    pub round: Duration,
    /// Longest time between two growths, reached by repeated failures.
    pub round_limit: Duration,
    /// Failures within [`Settings::burst`] that make the window cold.
    pub burst_count: u32,
    /// Span in which failures count as one burst.
    pub burst: Duration,
    /// Idle time after which the backend server counts as cold.
    pub idle: Duration,
    /// Time without a sign of life, while requests are running, after which it counts as cold.
    pub stall: Duration,
    /// A latency of more than this many times the usual one is a jump.
    pub latency_factor: u32,
    /// A latency up to this much above the usual one is no jump.
    pub latency_slack: Duration,
    /// How long reported load is heeded while the outcomes contradict it.
    pub patience: Duration,
    /// Time for which an unreachable backend server is given no new flows.
    pub unreachable: Duration,
    /// Shortest time to come back that a refusal names.
    pub retry_floor: Duration,
    /// Longest time to come back that a refusal names.
    pub retry_limit: Duration,
}

impl Settings {
    /// Whether a latency is far above the usual one.
    pub(super) fn is_jump(&self, latency: Duration, usual: Duration) -> bool {
        latency > usual * self.latency_factor && latency > usual + self.latency_slack
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(5),
            warming_round: Duration::from_millis(2500),
            round: Duration::from_millis(500),
            round_limit: Duration::from_secs(20),
            burst_count: 2,
            burst: Duration::from_secs(1),
            idle: Duration::from_secs(60),
            stall: Duration::from_secs(3),
            latency_factor: 4,
            latency_slack: Duration::from_millis(50),
            patience: Duration::from_secs(10),
            unreachable: Duration::from_secs(1),
            retry_floor: Duration::from_millis(10),
            retry_limit: Duration::from_secs(5),
        }
    }
}
