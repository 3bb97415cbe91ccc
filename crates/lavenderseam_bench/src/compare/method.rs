//! What every way to find a flow's target offers.

use std::collections::HashSet;

use lavenderseam_core::flow::Key;
use lavenderseam_core::rank;
use lavenderseam_core::view::{Candidate, View};

use super::scene::{Scene, index_of, service};

/// Index of a target.
pub(super) type Target = usize;

/// How a packet ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// A target took it.
    Taken(Target),
    /// The caller was refused, or told that nobody holds the flow.
    Reset,
    /// It was dropped; the transport sends it again.
    Lost,
}

/// A packet's way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Visit {
    /// How it ended.
    pub(super) end: End,
    /// Targets visited.
    pub(super) hops: u32,
}

impl From<Option<Target>> for End {
    fn from(target: Option<Target>) -> Self {
        target.map_or(Self::Reset, Self::Taken)
    }
}

/// A way to find a flow's target.
pub(super) trait Method {
    /// A caller opens a flow through a balancer.
    fn open(&mut self, scene: &Scene, balancer: usize, flow: Key) -> Visit;

    /// A packet of a flow that `owner` took.
    fn packet(&mut self, scene: &Scene, balancer: usize, flow: Key, owner: Target) -> Visit;

    /// A flow has ended.
    fn close(&mut self, flow: Key, owner: Target);

    /// A record has changed.
    fn changed(&mut self, _scene: &Scene) {}

    /// A balancer has been replaced by a fresh one.
    fn replaced(&mut self, _balancer: usize) {}

    /// A second has passed.
    fn second(&mut self, _scene: &Scene) {}

    /// Bytes of control traffic so far, records apart.
    fn control_bytes(&self) -> u64 {
        0
    }

    /// Bytes that a balancer holds to find flows, records apart.
    fn memory(&self) -> usize {
        0
    }
}

/// The flows that the models' targets hold.
#[derive(Debug, Default)]
pub(super) struct Held {
    flows: HashSet<(Target, Key)>,
}

impl Held {
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

/// Targets in rendezvous order that `wanted` picks.
pub(super) fn ranked(view: &View, word: u64, wanted: impl Fn(&Candidate) -> bool) -> Vec<Target> {
    let Some(service) = view.service(service()) else {
        return Vec::new();
    };
    let mut found: Vec<&Candidate> = service.candidates.iter().filter(|c| wanted(c)).collect();
    found.sort_by_key(|c| std::cmp::Reverse(rank::score(word, c.tag.0)));
    found.iter().filter_map(|c| index_of(c.tag)).collect()
}
