//! Seeded pseudorandom numbers.

use crate::rank::score;

/// Seeded sequence of pseudorandom numbers.
#[derive(Clone, Debug)]
pub struct Sequence {
    seed: u64,
    draws: u64,
}

impl Sequence {
    /// Creates the sequence of a seed.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self { seed, draws: 0 }
    }

    /// Returns the next number between 0 and 1.
    pub fn next_fraction(&mut self) -> f64 {
        self.draws += 1;
        score(self.seed, self.draws) as f64 / u64::MAX as f64
    }
}
