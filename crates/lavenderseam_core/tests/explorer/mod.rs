//! State space exploration: runs a test on all sequences of choices, or on random ones.

#![allow(dead_code, reason = "each test file uses its share")]

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng};

/// Sequence of choices that a test makes: replayed and extended systematically, or random.
#[derive(Default)]
pub struct Path {
    choices: Vec<(usize, usize)>,
    position: usize,
    random: Option<StdRng>,
}

impl Path {
    /// Returns one of `0..count`; systematic exploration takes each alternative on some path.
    pub fn choose(&mut self, count: usize) -> usize {
        if let Some(random) = &mut self.random {
            return random.random_range(0..count);
        }
        if self.position == self.choices.len() {
            self.choices.push((0, count));
        }
        let (chosen, _) = self.choices[self.position];
        self.position += 1;
        chosen
    }

    /// Advances to the next path in depth-first order; returns `false` if there is none.
    fn advance(&mut self) -> bool {
        self.position = 0;
        while let Some((chosen, count)) = self.choices.pop() {
            if chosen + 1 < count {
                self.choices.push((chosen + 1, count));
                return true;
            }
        }
        false
    }
}

/// Runs `check` on all paths and returns their number.
pub fn explore(mut check: impl FnMut(&mut Path)) -> u64 {
    let mut path = Path::default();
    let mut count = 0;
    loop {
        check(&mut path);
        count += 1;
        if !path.advance() {
            return count;
        }
    }
}

/// Runs `check` on `count` random paths, which are seeded by their index.
pub fn sample(count: u64, mut check: impl FnMut(&mut Path)) {
    for seed in 0..count {
        let mut path = Path {
            random: Some(StdRng::seed_from_u64(seed)),
            ..Path::default()
        };
        check(&mut path);
    }
}
