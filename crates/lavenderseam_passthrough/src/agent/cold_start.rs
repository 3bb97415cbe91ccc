//! Rate limit for the new flows of a cold backend server.
//!
//! A backend server that restarts while its service is under load has no flows, so every balancer
//! would choose it as the least loaded target. Only its own agent sees all of its new flows, so the
//! agent counts them over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use lavenderseam_core::time::Instant;

/// Length of the sliding window.
const WINDOW: Duration = Duration::from_secs(1);

/// Times of the flows admitted within the window.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdStartLimiter {
    admitted: VecDeque<Instant>,
    /// End of the window in which flows may have been admitted that aren't recorded.
    unrecorded_until: Instant,
}

impl ColdStartLimiter {
    /// Returns the number of flows that may still be admitted within the window.
    ///
    /// Without a rate limit the backend server is slower while it is cold, but accepts any number
    /// of flows.
    pub(crate) fn remaining(&mut self, flows_per_second: Option<f64>, now: Instant) -> u16 {
        self.evict_expired(now);
        let Some(flows_per_second) = flows_per_second else {
            return u16::MAX;
        };
        if now < self.unrecorded_until {
            return 0;
        }
        let limit = flows_per_second.clamp(1.0, f64::from(u16::MAX)) as u16;
        let admitted = u16::try_from(self.admitted.len()).unwrap_or(u16::MAX);
        limit.saturating_sub(admitted)
    }

    /// Records an admitted flow.
    pub(crate) fn record(&mut self, now: Instant) {
        self.evict_expired(now);
        self.admitted.push_back(now);
    }

    /// Removes all recorded flows, for a backend server that has just started.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Admits no flow within one window, because a previous run of the agent may have admitted as many
    /// as the backend server can bear.
    pub(crate) fn wait_for_window(&mut self, now: Instant) {
        self.unrecorded_until = now + WINDOW;
    }

    /// Ends that wait, because no previous run of the agent has admitted flows.
    pub(crate) fn end_wait(&mut self) {
        self.unrecorded_until = Instant::default();
    }

    fn evict_expired(&mut self, now: Instant) {
        while self
            .admitted
            .front()
            .is_some_and(|at| now.since(*at) >= WINDOW)
        {
            self.admitted.pop_front();
        }
    }
}
