//! Flows whose owners a balancer searches for, and the progress of each search.
//!
//! A flow waits for the next location queries, is asked about, and is then resolved, verified at the
//! targets that can't tell otherwise, or left to visits of the targets that don't respond.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use lavenderseam_core::time::Instant;

use crate::flow::{Flow, FlowMap};
use crate::message::TargetId;
use crate::segment::Segment;

/// Search for the owner of one flow.
#[derive(Clone, Debug)]
pub(super) struct Search {
    /// Acknowledgment of the flow's most recent packet, as in [`FlowProbe`].
    pub(super) acknowledgment: Option<u32>,
    pub(super) phase: Phase,
    pub(super) started_at: Instant,
    /// Time at which the last query about the flow was sent.
    pub(super) queried_at: Instant,
    /// Value of [`Targets::additions`](super::targets::Targets::additions) when the last query about
    /// the flow was sent.
    pub(super) additions: u64,
    /// Targets that have denied the flow after they got a copy of a packet.
    pub(super) denied: Vec<TargetId>,
}

/// Progress of a search.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// The flow is part of the next queries.
    Waiting,
    /// The flow is part of the query with this number.
    Asked {
        query: u32,
        /// Targets that can't tell without the packet whether they hold the flow.
        unverified: Vec<TargetId>,
    },
    /// Every known target has denied the flow, but this balancer may not know all targets.
    Uncertain { since: Instant },
    /// A copy of a packet is sent to the targets that can't tell otherwise.
    Verifying(Verification),
    /// Every other target has denied the flow; packets are sent to these, one after another.
    Visiting {
        remaining: Vec<TargetId>,
        /// `true` if a visited target hasn't responded, so that it may hold the flow.
        is_undecided: bool,
    },
}

/// Verification of one flow at several targets.
#[derive(Clone, Debug)]
pub(super) struct Verification {
    /// Targets that haven't confirmed or denied the flow.
    pub(super) awaited: Vec<TargetId>,
    /// Targets that haven't answered the query before.
    pub(super) undecided: Vec<TargetId>,
    /// Time at which the packet was last sent, or at which the flow began to wait for its turn.
    pub(super) sent_at: Instant,
    /// Number of times that the packet was sent; 0 while the flow waits for its turn.
    pub(super) transmissions: u32,
}

/// Query that hasn't been answered by all targets yet.
#[derive(Clone, Debug)]
pub(super) struct PendingQuery {
    /// Flows in question, in the order of the query's probes.
    pub(super) flows: Vec<Flow>,
    /// Targets that the query was sent to.
    pub(super) asked: BTreeSet<TargetId>,
    /// Targets that haven't answered, without those that were suspect when the query was sent.
    pub(super) awaited: BTreeSet<TargetId>,
    /// Targets that were suspect when the query was sent and haven't answered.
    pub(super) suspect: BTreeSet<TargetId>,
    pub(super) sent_at: Instant,
    pub(super) transmissions: u32,
}

/// Searches for the owners of flows.
#[derive(Debug, Default)]
pub(crate) struct Searches {
    pub(super) by_flow: FlowMap<Search>,
    /// Flows that the next queries ask about.
    pub(super) waiting: Vec<Flow>,
    pub(super) queries: BTreeMap<u32, PendingQuery>,
    /// Number of the last query; `None` before the first one.
    last_number: Option<u32>,
    /// Earliest time of the next new queries.
    pub(super) next_queries_at: Instant,
    /// Flows whose search is uncertain.
    pub(super) uncertain: Vec<Flow>,
    /// Time at which the uncertain flows are reconsidered.
    pub(super) reconsider_at: Instant,
    /// Flows that wait for their verification.
    pub(super) unverified: VecDeque<Flow>,
    /// Flows that are being verified.
    pub(super) verifying: Vec<Flow>,
    /// Earliest time of the next verification.
    pub(super) next_verification_at: Instant,
}

impl Searches {
    /// Returns `true` if packets of the flow are held until its search ends.
    pub(super) fn holds(&self, flow: Flow) -> bool {
        let search = self.by_flow.get(&flow);
        search.is_some_and(|search| !matches!(search.phase, Phase::Visiting { .. }))
    }

    /// Returns `true` if the owner of the flow is being searched for.
    pub(super) fn contains(&self, flow: Flow) -> bool {
        self.by_flow.contains_key(&flow)
    }

    /// Records another packet of a flow whose packets are held.
    pub(super) fn on_packet(&mut self, segment: &Segment) {
        if let Some(search) = self.by_flow.get_mut(&segment.flow) {
            search.acknowledgment = segment.acknowledged().or(search.acknowledgment);
        }
    }

    /// Starts a search; returns `false` if too many are in progress.
    pub(super) fn start(
        &mut self,
        segment: &Segment,
        max_searches: usize,
        gather: Duration,
        now: Instant,
    ) -> bool {
        if self.by_flow.len() >= max_searches {
            return false;
        }
        if self.waiting.is_empty() {
            self.next_queries_at = self.next_queries_at.max(now + gather);
        }
        self.waiting.push(segment.flow);
        let search = Search {
            acknowledgment: segment.acknowledged(),
            phase: Phase::Waiting,
            started_at: now,
            queried_at: now,
            additions: 0,
            denied: Vec::new(),
        };
        self.by_flow.insert(segment.flow, search);
        true
    }

    /// Returns the number of a new query.
    ///
    /// The first number depends on the time, so that late answers to an earlier run of this process
    /// aren't taken for answers to its own queries.
    pub(super) fn next_number(&mut self, now: Instant) -> u32 {
        let first = || (now.0 / 1_000) as u32;
        let number = self
            .last_number
            .map_or_else(first, |last| last.wrapping_add(1));
        self.last_number = Some(number);
        number
    }

    /// Makes a flow part of the next queries.
    pub(super) fn wait_for_query(&mut self, flow: Flow) {
        if let Some(search) = self.by_flow.get_mut(&flow) {
            search.phase = Phase::Waiting;
            self.waiting.push(flow);
        }
    }

    /// Keeps a flow that every known target has denied until the balancer knows all targets.
    pub(super) fn wait_for_agreement(&mut self, flow: Flow, now: Instant) {
        if let Some(search) = self.by_flow.get_mut(&flow) {
            search.phase = Phase::Uncertain { since: now };
            self.uncertain.push(flow);
            self.reconsider_at = now;
        }
    }

    /// Ends the search for a flow's owner.
    pub(super) fn remove(&mut self, flow: Flow) {
        self.by_flow.remove(&flow);
    }

    /// Removes searches that wait for another packet of their caller, which never came.
    pub(super) fn expire(&mut self, max_age: Duration, now: Instant) {
        self.by_flow.retain(|_, search| {
            let waits_for_caller = matches!(search.phase, Phase::Visiting { .. });
            !waits_for_caller || now.since(search.started_at) < max_age
        });
    }

    /// Returns the number of flows whose owner is being searched for.
    pub(super) fn len(&self) -> usize {
        self.by_flow.len()
    }

    /// Returns `true` if a query still asks about a flow whose owner is unknown.
    pub(super) fn asks(&self, number: u32) -> bool {
        let query = self.queries.get(&number);
        let is_asked = |flow: &Flow| {
            let phase = self.by_flow.get(flow).map(|search| &search.phase);
            matches!(phase, Some(Phase::Asked { query, .. }) if *query == number)
        };
        query.is_some_and(|query| query.flows.iter().any(is_asked))
    }

    /// Returns the time at which a flow's verification was last sent.
    pub(super) fn verification_sent_at(&self, flow: Flow) -> Option<Instant> {
        match &self.by_flow.get(&flow)?.phase {
            Phase::Verifying(verification) => Some(verification.sent_at),
            _ => None,
        }
    }

    /// Returns the verification of a flow.
    pub(super) fn verification_mut(&mut self, flow: Flow) -> Option<&mut Verification> {
        match &mut self.by_flow.get_mut(&flow)?.phase {
            Phase::Verifying(verification) => Some(verification),
            _ => None,
        }
    }

    /// Returns the targets that can't tell whether they hold a flow, if the query with this number
    /// asks about the flow.
    pub(super) fn unverified_mut(&mut self, flow: Flow, number: u32) -> Option<&mut Vec<TargetId>> {
        match &mut self.by_flow.get_mut(&flow)?.phase {
            Phase::Asked { query, unverified } if *query == number => Some(unverified),
            _ => None,
        }
    }
}
