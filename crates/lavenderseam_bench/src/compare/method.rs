//! Common interface of the lookup methods that are compared.

use std::collections::HashSet;

use lavenderseam_core::flow::Key;
use lavenderseam_core::rank;
use lavenderseam_core::view::{Candidate, View};

use super::simulation::{Simulation, index_of, service};

/// Index of a target.
pub(super) type Target = usize;

/// What happened to a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// A target received it.
    Delivered(Target),
    /// The caller got a refusal or a reset.
    Reset,
    /// It was dropped, and the transport retransmits it.
    Dropped,
}

/// Path of a packet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Delivery {
    /// What happened to the packet.
    pub(super) outcome: Outcome,
    /// Number of targets that the packet visited.
    pub(super) hops: u32,
}

impl From<Option<Target>> for Outcome {
    fn from(target: Option<Target>) -> Self {
        target.map_or(Self::Reset, Self::Delivered)
    }
}

/// A method to find the target that owns a flow.
pub(super) trait LookupMethod {
    /// Handles the first packet of a flow at a balancer.
    fn open(&mut self, sim: &Simulation, balancer: usize, flow: Key) -> Delivery;

    /// Handles a packet of a flow that `owner` accepted.
    fn packet(&mut self, sim: &Simulation, balancer: usize, flow: Key, owner: Target) -> Delivery;

    /// Called when a flow was closed.
    fn close(&mut self, flow: Key, owner: Target);

    /// Called when a record has changed.
    fn records_changed(&mut self, _sim: &Simulation) {}

    /// Called when a balancer was replaced by one without state.
    fn balancer_replaced(&mut self, _balancer: usize) {}

    /// Called every second.
    fn second_elapsed(&mut self, _sim: &Simulation) {}

    /// Returns the bytes of control traffic so far, without records.
    fn control_bytes(&self) -> u64 {
        0
    }

    /// Returns the memory that a balancer uses to find flows, without records, in bytes.
    fn memory(&self) -> usize {
        0
    }
}

/// Flows that the simulated targets hold.
#[derive(Debug, Default)]
pub(super) struct FlowTable {
    flows: HashSet<(Target, Key)>,
}

impl FlowTable {
    pub(super) fn insert(&mut self, target: Target, flow: Key) {
        self.flows.insert((target, flow));
    }

    pub(super) fn remove(&mut self, target: Target, flow: Key) {
        self.flows.remove(&(target, flow));
    }

    pub(super) fn contains(&self, target: Target, flow: Key) -> bool {
        self.flows.contains(&(target, flow))
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (Target, Key)> {
        self.flows.iter().copied()
    }
}

/// Returns the targets that `filter` accepts, in rendezvous order.
pub(super) fn ranked(view: &View, word: u64, filter: impl Fn(&Candidate) -> bool) -> Vec<Target> {
    let Some(service) = view.service_at(service()) else {
        return Vec::new();
    };
    let mut found: Vec<&Candidate> = service.candidates.iter().filter(|c| filter(c)).collect();
    found.sort_by_key(|c| std::cmp::Reverse(rank::score(word, c.tag.0)));
    found.iter().filter_map(|c| index_of(c.tag)).collect()
}
