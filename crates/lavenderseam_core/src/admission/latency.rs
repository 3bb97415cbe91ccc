//! Running mean of request durations and detection of latency jumps.

use std::time::Duration;

use super::Settings;

/// Inverse weight of a new sample in the exponentially weighted moving average (1/8).
const INVERSE_SAMPLE_WEIGHT: u32 = 8;
/// Number of samples required before a latency can be classified as a jump.
const MIN_SAMPLES: u32 = 8;

/// Exponentially weighted moving average of a duration.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MovingAverage {
    mean: Duration,
    samples: u32,
}

impl MovingAverage {
    pub(super) fn add(&mut self, sample: Duration) {
        self.mean = if self.samples == 0 {
            sample
        } else {
            (self.mean * (INVERSE_SAMPLE_WEIGHT - 1) + sample) / INVERSE_SAMPLE_WEIGHT
        };
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the mean, or `default` if there are no samples.
    pub(super) fn mean_or(&self, default: Duration) -> Duration {
        if self.samples == 0 {
            default
        } else {
            self.mean
        }
    }

    /// Adds a sample and returns `true` if it is a latency jump.
    ///
    /// Once enough samples exist, each is capped at twice the mean, so that an outlier can't
    /// distort the baseline.
    pub(super) fn add_and_detect_jump(&mut self, sample: Duration, settings: &Settings) -> bool {
        let baseline = self.mean;
        let has_baseline = self.samples >= MIN_SAMPLES;
        let is_jump = settings.is_jump(sample, baseline);
        self.add(if has_baseline {
            sample.min(baseline * 2)
        } else {
            sample
        });
        has_baseline && is_jump
    }
}
