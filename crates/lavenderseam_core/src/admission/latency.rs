//! The usual latency of a backend server.

use std::time::Duration;

use super::Settings;

/// Weight of the past in the running mean: one new sample counts one part of this many.
const MEMORY: u32 = 8;
/// Samples before a jump can be told.
const SAMPLES_NEEDED: u32 = 8;

/// Running mean of a duration.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mean {
    mean: Duration,
    samples: u32,
}

impl Mean {
    pub(super) fn add(&mut self, sample: Duration) {
        self.mean = if self.samples == 0 {
            sample
        } else {
            (self.mean * (MEMORY - 1) + sample) / MEMORY
        };
        self.samples = self.samples.saturating_add(1);
    }

    /// The mean, or `unknown` without a sample.
    pub(super) fn or(&self, unknown: Duration) -> Duration {
        if self.samples == 0 {
            unknown
        } else {
            self.mean
        }
    }

    /// Adds a sample and tells whether it is a jump; a jump moves the mean by no more than a
    /// sample of twice the mean does.
    pub(super) fn jumped(&mut self, sample: Duration, settings: &Settings) -> bool {
        let usual = self.mean;
        let known = self.samples >= SAMPLES_NEEDED;
        let jump = settings.is_jump(sample, usual);
        self.add(if known { sample.min(usual * 2) } else { sample });
        known && jump
    }
}
