//! Random arrival times of requests, reproducible from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::RequestKind;
use crate::schedule::ServiceLoad;

/// One request of the load with its planned time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Time at which the request is sent, from the start of the load.
    pub offset: Duration,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Index of the caller that sends the request.
    pub caller: usize,
    /// Number of the request, unique among the requests of its service.
    pub sequence_number: u64,
}

/// Generates the requests of one service's load with a Poisson process for each kind of request.
#[derive(Debug)]
pub struct ArrivalGenerator {
    rng: StdRng,
    caller_count: usize,
    /// Kind, rate per second and next arrival time of each Poisson process.
    next_arrivals: Vec<(RequestKind, f64, Duration)>,
    /// Sequence number of the last request that was generated.
    last_number: u64,
}

impl ArrivalGenerator {
    /// Returns a generator for the load of one service; equal seeds give equal requests.
    #[must_use]
    pub fn new(load: &ServiceLoad, seed: u64) -> Self {
        let rates = [
            (RequestKind::Lookup, load.lookups_per_second),
            (RequestKind::Edit, load.edits_per_second),
            (RequestKind::Download, load.downloads_per_second),
        ];
        let mut generator = Self {
            rng: StdRng::seed_from_u64(seed),
            caller_count: usize::try_from(load.callers).unwrap_or(1).max(1),
            next_arrivals: Vec::new(),
            last_number: 0,
        };
        for (kind, rate) in rates {
            if rate > 0.0 {
                let first = generator.draw_interval(rate);
                generator.next_arrivals.push((kind, rate, first));
            }
        }
        generator
    }

    /// Draws an exponentially distributed interval between two arrivals at `rate_per_second`.
    fn draw_interval(&mut self, rate_per_second: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate_per_second)
    }
}

impl Iterator for ArrivalGenerator {
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        let earliest = self
            .next_arrivals
            .iter()
            .enumerate()
            .min_by_key(|(_, arrival)| arrival.2);
        let (index, &(kind, rate, at)) = earliest?;
        self.next_arrivals[index].2 = at + self.draw_interval(rate);
        self.last_number += 1;
        Some(PlannedRequest {
            offset: at,
            kind,
            caller: self.rng.random_range(0..self.caller_count),
            sequence_number: self.last_number,
        })
    }
}
