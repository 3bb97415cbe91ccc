//! Bloom filters: each target publishes one of the flows that it holds and that hashing doesn't
//! find. A balancer asks the filters first; a target that doesn't hold the flow starts the walk.

use lavenderseam_core::flow::Key;
use lavenderseam_core::rank;
use lavenderseam_core::view::{Candidate, Standing};

use super::method::{End, Held, Method, Target, Visit, ranked};
use super::scene::{BALANCERS, Scene, TARGETS_LIMIT};

/// Bits for each flow in a filter.
const BITS: usize = 10;
/// Hashes for each flow.
const HASHES: u64 = 7;
/// Smallest filter, in bits.
const BITS_LEAST: usize = 64;

#[derive(Clone, Debug, Default)]
struct Filter {
    words: Vec<u64>,
}

/// Published Bloom filters.
#[derive(Debug, Default)]
pub(super) struct Filters {
    held: Held,
    filters: Vec<Filter>,
    sent: u64,
}

impl Filter {
    fn new(flows: &[Key]) -> Self {
        let bits = (flows.len() * BITS).max(BITS_LEAST);
        let mut filter = Self {
            words: vec![0; bits.div_ceil(64)],
        };
        for flow in flows {
            for bit in filter.bits(*flow) {
                filter.words[bit / 64] |= 1 << (bit % 64);
            }
        }
        filter
    }

    fn bits(&self, flow: Key) -> Vec<usize> {
        let bits = self.words.len() * 64;
        let bit = |salt| rank::score(flow.word(), salt) as usize % bits;
        (0..HASHES).map(bit).collect()
    }

    fn contains(&self, flow: Key) -> bool {
        let set = |bit: usize| self.words[bit / 64] >> (bit % 64) & 1 == 1;
        !self.words.is_empty() && self.bits(flow).into_iter().all(set)
    }

    fn bytes(&self) -> usize {
        self.words.len() * 8
    }
}

fn holders(candidate: &Candidate) -> bool {
    candidate.holds_flows()
}

impl Method for Filters {
    fn open(&mut self, scene: &Scene, balancer: usize, flow: Key) -> Visit {
        let view = scene.balancer(balancer);
        let order = ranked(view, flow.word(), |c| c.standing == Standing::Serving);
        let end = order.first().copied();
        if let Some(target) = end {
            self.held.insert(target, flow);
        }
        Visit {
            end: end.into(),
            hops: 1,
        }
    }

    fn packet(&mut self, scene: &Scene, balancer: usize, flow: Key, _owner: Target) -> Visit {
        let order = ranked(scene.balancer(balancer), flow.word(), holders);
        let named = order
            .iter()
            .find(|target| self.filters.get(**target).is_some_and(|f| f.contains(flow)));
        let Some(first) = named.or(order.first()).copied() else {
            return Visit {
                end: End::Reset,
                hops: 1,
            };
        };
        let mut hops = 1;
        if self.held.contains(first, flow) {
            let end = End::Taken(first);
            return Visit { end, hops };
        }
        let rest = ranked(scene.agent(first), flow.word(), holders);
        for target in rest.into_iter().filter(|target| *target != first) {
            hops += 1;
            if self.held.contains(target, flow) {
                let end = End::Taken(target);
                return Visit { end, hops };
            }
        }
        Visit {
            end: End::Reset,
            hops,
        }
    }

    fn close(&mut self, flow: Key, owner: Target) {
        self.held.remove(owner, flow);
    }

    fn second(&mut self, scene: &Scene) {
        let mut misplaced = vec![Vec::new(); TARGETS_LIMIT];
        for (target, flow) in self.held.iter() {
            let order = ranked(scene.agent(target), flow.word(), holders);
            if order.first() != Some(&target) {
                misplaced[target].push(flow);
            }
        }
        self.filters = misplaced.iter().map(|flows| Filter::new(flows)).collect();
        self.sent += (self.memory() * BALANCERS) as u64;
    }

    fn control_bytes(&self) -> u64 {
        self.sent
    }

    fn memory(&self) -> usize {
        self.filters.iter().map(Filter::bytes).sum()
    }
}
