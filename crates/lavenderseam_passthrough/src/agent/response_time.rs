//! Mean response time of the backend server.

use std::time::Duration;

/// Samples that are needed before the mean is reported.
const MIN_SAMPLES: u32 = 16;
/// Weight of one sample in the mean, which then follows a change within about ten samples.
const SAMPLE_WEIGHT: f32 = 1.0 / 8.0;

/// Exponentially weighted mean response time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResponseTime {
    /// Mean in tenths of a millisecond.
    mean_tenths_ms: f32,
    samples: u32,
}

impl ResponseTime {
    /// Adds the response time of one request.
    pub(crate) fn record(&mut self, response_time: Duration) {
        let response_time = response_time.as_secs_f32() * 10_000.0;
        if self.samples == 0 {
            self.mean_tenths_ms = response_time;
        }
        self.mean_tenths_ms += (response_time - self.mean_tenths_ms) * SAMPLE_WEIGHT;
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the mean in tenths of a millisecond, or `None` if there are too few samples.
    pub(crate) fn mean_tenths_ms(&self) -> Option<u16> {
        let mean = self.mean_tenths_ms.clamp(0.0, f32::from(u16::MAX)) as u16;
        (self.samples >= MIN_SAMPLES).then_some(mean)
    }
}
