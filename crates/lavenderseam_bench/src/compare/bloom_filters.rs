//! Model of Bloom filters: each target publishes a filter of the flows that it holds but that
//! hashing sends to another target. A balancer checks the filters first. A target that doesn't hold
//! the flow forwards the packet to the other candidates in turn.

use lavenderseam_core::flow::Key;
use lavenderseam_core::rank;
use lavenderseam_core::view::{Candidate, TargetState};

use super::method::{Delivery, FlowTable, LookupMethod, Outcome, Target, ranked};
use super::simulation::{BALANCERS, MAX_TARGETS, Simulation};

/// Filter size per flow, in bits.
const BITS_PER_FLOW: usize = 10;
/// Number of hash functions.
const HASH_COUNT: u64 = 7;
/// Minimum size of a filter, in bits.
const MIN_FILTER_BITS: usize = 64;

/// A Bloom filter of flows.
#[derive(Clone, Debug, Default)]
struct Filter {
    words: Vec<u64>,
}

/// Lookup by published Bloom filters.
#[derive(Debug, Default)]
pub(super) struct BloomFilters {
    flows_held: FlowTable,
    filters: Vec<Filter>,
    bytes_sent: u64,
}

impl Filter {
    fn new(flows: &[Key]) -> Self {
        let bits = (flows.len() * BITS_PER_FLOW).max(MIN_FILTER_BITS);
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
        let bit = |salt| rank::score(flow.fold_u64(), salt) as usize % bits;
        (0..HASH_COUNT).map(bit).collect()
    }

    fn contains(&self, flow: Key) -> bool {
        let set = |bit: usize| self.words[bit / 64] >> (bit % 64) & 1 == 1;
        !self.words.is_empty() && self.bits(flow).into_iter().all(set)
    }

    fn bytes(&self) -> usize {
        self.words.len() * 8
    }
}

fn may_hold_flows(candidate: &Candidate) -> bool {
    candidate.accepts_established_flows()
}

impl LookupMethod for BloomFilters {
    fn open(&mut self, sim: &Simulation, balancer: usize, flow: Key) -> Delivery {
        let view = sim.balancer(balancer);
        let order = ranked(view, flow.fold_u64(), |c| c.state == TargetState::Serving);
        let outcome = order.first().copied();
        if let Some(target) = outcome {
            self.flows_held.insert(target, flow);
        }
        Delivery {
            outcome: outcome.into(),
            hops: 1,
        }
    }

    fn packet(&mut self, sim: &Simulation, balancer: usize, flow: Key, _owner: Target) -> Delivery {
        let order = ranked(sim.balancer(balancer), flow.fold_u64(), may_hold_flows);
        let filter_match = order
            .iter()
            .find(|target| self.filters.get(**target).is_some_and(|f| f.contains(flow)));
        let Some(first) = filter_match.or(order.first()).copied() else {
            return Delivery {
                outcome: Outcome::Reset,
                hops: 1,
            };
        };
        let mut hops = 1;
        if self.flows_held.contains(first, flow) {
            let outcome = Outcome::Delivered(first);
            return Delivery { outcome, hops };
        }
        let rest = ranked(sim.agent(first), flow.fold_u64(), may_hold_flows);
        for target in rest.into_iter().filter(|target| *target != first) {
            hops += 1;
            if self.flows_held.contains(target, flow) {
                let outcome = Outcome::Delivered(target);
                return Delivery { outcome, hops };
            }
        }
        Delivery {
            outcome: Outcome::Reset,
            hops,
        }
    }

    fn close(&mut self, flow: Key, owner: Target) {
        self.flows_held.remove(owner, flow);
    }

    fn second_elapsed(&mut self, sim: &Simulation) {
        let mut misplaced = vec![Vec::new(); MAX_TARGETS];
        for (target, flow) in self.flows_held.iter() {
            let order = ranked(sim.agent(target), flow.fold_u64(), may_hold_flows);
            if order.first() != Some(&target) {
                misplaced[target].push(flow);
            }
        }
        self.filters = misplaced.iter().map(|flows| Filter::new(flows)).collect();
        self.bytes_sent += (self.memory() * BALANCERS) as u64;
    }

    fn control_bytes(&self) -> u64 {
        self.bytes_sent
    }

    fn memory(&self) -> usize {
        self.filters.iter().map(Filter::bytes).sum()
    }
}
