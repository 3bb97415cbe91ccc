//! Random arrival times that a seed determines.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::Kind;
use crate::schedule::Load;

/// One request of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// When it is sent, from the start.
    pub at: Duration,
    /// Kind.
    pub kind: Kind,
    /// Number of the caller that sends it.
    pub caller: usize,
    /// Number that tells it from the others.
    pub number: u64,
}

/// Draws the requests of one service's load: a Poisson process for each kind.
#[derive(Debug)]
pub struct Generator {
    random: StdRng,
    callers: usize,
    next: Vec<(Kind, f64, Duration)>,
    number: u64,
}

impl Generator {
    /// A generator for a load under a seed.
    #[must_use]
    pub fn new(load: &Load, seed: u64) -> Self {
        let rates = [
            (Kind::Lookup, load.lookups_per_second),
            (Kind::Edit, load.edits_per_second),
            (Kind::Download, load.downloads_per_second),
        ];
        let mut generator = Self {
            random: StdRng::seed_from_u64(seed),
            callers: usize::try_from(load.callers).unwrap_or(1).max(1),
            next: Vec::new(),
            number: 0,
        };
        for (kind, rate) in rates {
            if rate > 0.0 {
                let first = generator.gap(rate);
                generator.next.push((kind, rate, first));
            }
        }
        generator
    }

    fn gap(&mut self, rate: f64) -> Duration {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate)
    }
}

impl Iterator for Generator {
    type Item = Plan;

    fn next(&mut self) -> Option<Plan> {
        let earliest = self.next.iter().enumerate().min_by_key(|(_, next)| next.2);
        let (index, &(kind, rate, at)) = earliest?;
        self.next[index].2 = at + self.gap(rate);
        self.number += 1;
        Some(Plan {
            at,
            kind,
            caller: self.random.random_range(0..self.callers),
            number: self.number,
        })
    }
}
