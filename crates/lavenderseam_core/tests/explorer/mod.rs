//! Takes every sequence of choices up to a bound, or long ones drawn from a seed.

#![allow(dead_code, reason = "each test file uses its share")]

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng};

/// The choices of one path, and which of them comes next.
#[derive(Default)]
pub struct Path {
    choices: Vec<(usize, usize)>,
    next: usize,
    random: Option<StdRng>,
}

impl Path {
    /// Chooses one of `count` alternatives; every one is taken on some path.
    pub fn choose(&mut self, count: usize) -> usize {
        if let Some(random) = &mut self.random {
            return random.random_range(0..count);
        }
        if self.next == self.choices.len() {
            self.choices.push((0, count));
        }
        let (chosen, _) = self.choices[self.next];
        self.next += 1;
        chosen
    }

    fn advance(&mut self) -> bool {
        self.next = 0;
        while let Some((chosen, count)) = self.choices.pop() {
            if chosen + 1 < count {
                self.choices.push((chosen + 1, count));
                return true;
            }
        }
        false
    }
}

/// Runs `check` on every path and returns how many there are.
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

/// Runs `check` on `count` paths drawn from seeds.
pub fn sample(count: u64, mut check: impl FnMut(&mut Path)) {
    for seed in 0..count {
        let mut path = Path {
            random: Some(StdRng::seed_from_u64(seed)),
            ..Path::default()
        };
        check(&mut path);
    }
}
