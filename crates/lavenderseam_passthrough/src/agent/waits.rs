//! How long requests wait for their answers.

use std::time::Duration;

/// Answers before the mean says anything.
const ENOUGH: u32 = 16;
/// Weight of one answer in the mean: it follows a change within some ten answers.
const WEIGHT: f32 = 1.0 / 8.0;

/// The mean wait of the last answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Waits {
    /// In tenths of a millisecond.
    mean: f32,
    answers: u32,
}

impl Waits {
    /// Notes an answer.
    pub(crate) fn note(&mut self, waited: Duration) {
        let waited = waited.as_secs_f32() * 10_000.0;
        if self.answers == 0 {
            self.mean = waited;
        }
        self.mean += (waited - self.mean) * WEIGHT;
        self.answers = self.answers.saturating_add(1);
    }

    /// The mean in tenths of a millisecond, once there are enough answers.
    pub(crate) fn mean(&self) -> Option<u16> {
        let mean = self.mean.clamp(0.0, f32::from(u16::MAX)) as u16;
        (self.answers >= ENOUGH).then_some(mean)
    }
}
