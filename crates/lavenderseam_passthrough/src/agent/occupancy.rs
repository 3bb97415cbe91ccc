//! Mean number of requests at the backend server, by Little's law.
//!
//! The number of pending requests is counted from the packets of each flow. The sum of the response
//! times of all requests that are answered within a second is an independent estimate of its mean.
//! If the count stays well above the estimate, it includes requests that no answer will come to.

use std::time::Duration;

use lavenderseam_core::time::Instant;

/// Time constant of the exponentially weighted mean, as of the counted requests.
const TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Estimate of the number of requests at the backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Occupancy {
    mean: f32,
    updated_at: Instant,
}

impl Occupancy {
    /// Adds the response time of an answered request.
    pub(crate) fn record(&mut self, response_time: Duration, now: Instant) {
        self.mean = self.mean(now) + response_time.as_secs_f32() / TIME_CONSTANT.as_secs_f32();
        self.updated_at = now;
    }

    /// Returns the mean number of requests over about the last second.
    pub(crate) fn mean(&self, now: Instant) -> f32 {
        let elapsed = now.since(self.updated_at).as_secs_f32() / TIME_CONSTANT.as_secs_f32();
        self.mean * (-elapsed).exp()
    }
}
