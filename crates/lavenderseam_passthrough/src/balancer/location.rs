//! Location queries: one question to all agents about many flows with unknown owners.
//!
//! The search first sends a packet to a few targets that are likely to hold its flow. If these deny
//! it, the balancer keeps the packet and asks all agents. Flows whose search begins while earlier
//! queries are being answered wait for the next ones, so the number of messages per second doesn't
//! depend on the number of flows.
//!
//! Agents that restarted beside a running backend server can't tell. These get a copy of a packet for
//! verification, all at the same time.
//!
//! All known targets are asked, not only those of the services that the route names now: the flow
//! may have been opened under an earlier desired state, which this balancer may never have seen.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use lavenderseam_core::time::Instant;

use super::cache::{CacheEntry, OwnerState};
use super::target::Target;
use super::{Balancer, DiscardReason, Verdict};
use crate::flow::{Flow, FlowMap};
use crate::message::{
    FlowDenial, FlowProbe, LocationQuery, LocationReply, MAX_PROBES_PER_QUERY, TargetId,
    TargetState,
};
use crate::segment::Segment;

/// Time between checks whether the balancer knows all targets by now.
const UNCERTAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Action that the search for the owners of flows requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SearchAction {
    /// Send a query to an agent.
    Query {
        /// Agent to ask.
        agent: SocketAddrV4,
        /// Query to send.
        query: LocationQuery,
    },
    /// Send a copy of the flow's most recent held packet to agents for verification.
    Verify {
        /// Flow to verify.
        flow: Flow,
        /// Agents whose backend servers may hold the flow.
        agents: Vec<SocketAddrV4>,
    },
    /// Handle the packets that are held for a flow, whose search has ended.
    Resolve {
        /// Flow of the packets.
        flow: Flow,
        /// What to do with them.
        resolution: Resolution,
    },
}

/// What happens to the packets that are held for a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// Pass them to the balancer again, which now knows where to forward them.
    Resume,
    /// Reset the flow at the caller.
    Reset(DiscardReason),
    /// Drop them.
    Drop(DiscardReason),
}

impl Resolution {
    /// Returns the verdict about a held packet, or `None` if the packet is passed to the balancer
    /// again.
    #[must_use]
    pub const fn verdict(self, segment: &Segment) -> Option<Verdict> {
        match self {
            Self::Resume => None,
            // A reset is never answered with a reset.
            Self::Reset(reason) if !segment.flags.rst => Some(Verdict::Reset(reason)),
            Self::Reset(reason) | Self::Drop(reason) => Some(Verdict::Drop(reason)),
        }
    }
}

/// Search for the owner of one flow.
#[derive(Clone, Debug)]
struct Search {
    /// Acknowledgment of the flow's most recent packet, as in [`FlowProbe`].
    acknowledgment: Option<u32>,
    phase: Phase,
    started_at: Instant,
}

/// Progress of a search.
#[derive(Clone, Debug)]
enum Phase {
    /// The flow is part of the next queries.
    Waiting,
    /// The flow is part of the query with this number.
    Asked {
        query: u32,
        /// Targets that can't tell without the packet whether they hold the flow.
        unverified: Vec<TargetId>,
    },
    /// Every known target has denied the flow, but this balancer may not know all targets yet.
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
struct Verification {
    /// Targets that haven't confirmed or denied the flow.
    awaited: Vec<TargetId>,
    /// Targets that haven't answered the query before.
    undecided: Vec<TargetId>,
    /// Time at which the packet was last sent, or at which the flow began to wait for its turn.
    sent_at: Instant,
    /// Number of times that the packet was sent; 0 while the flow waits for its turn.
    transmissions: u32,
}

/// Query that hasn't been answered by all targets yet.
#[derive(Clone, Debug)]
struct PendingQuery {
    flows: Vec<Flow>,
    /// Targets that the query was sent to.
    asked: BTreeSet<TargetId>,
    /// Targets that haven't answered, without those that were suspect when the query was sent.
    awaited: BTreeSet<TargetId>,
    /// Targets that were suspect when the query was sent and haven't answered.
    suspect: BTreeSet<TargetId>,
    sent_at: Instant,
    transmissions: u32,
}

/// Searches for the owners of flows.
#[derive(Debug, Default)]
pub(crate) struct Searches {
    by_flow: FlowMap<Search>,
    /// Flows that the next queries ask about.
    waiting: Vec<Flow>,
    queries: BTreeMap<u32, PendingQuery>,
    last_number: u32,
    /// Earliest time of the next new queries.
    next_queries_at: Instant,
    /// Flows whose search is uncertain.
    uncertain: Vec<Flow>,
    uncertain_checked_at: Instant,
    /// Flows that wait for their verification.
    unverified: VecDeque<Flow>,
    /// Flows that are being verified.
    verifying: Vec<Flow>,
    /// Earliest time of the next verification.
    next_verification_at: Instant,
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
            search.acknowledgment = acknowledgment(segment).or(search.acknowledgment);
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
            acknowledgment: acknowledgment(segment),
            phase: Phase::Waiting,
            started_at: now,
        };
        self.by_flow.insert(segment.flow, search);
        true
    }

    /// Makes a flow part of the next queries.
    fn wait_for_query(&mut self, flow: Flow) {
        if let Some(search) = self.by_flow.get_mut(&flow) {
            search.phase = Phase::Waiting;
            self.waiting.push(flow);
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
    fn asks(&self, number: u32) -> bool {
        let query = self.queries.get(&number);
        let is_asked = |flow: &Flow| {
            let phase = self.by_flow.get(flow).map(|search| &search.phase);
            matches!(phase, Some(Phase::Asked { query, .. }) if *query == number)
        };
        query.is_some_and(|query| query.flows.iter().any(is_asked))
    }

    fn verification_sent_at(&self, flow: Flow) -> Option<Instant> {
        match &self.by_flow.get(&flow)?.phase {
            Phase::Verifying(verification) => Some(verification.sent_at),
            _ => None,
        }
    }

    fn verification_mut(&mut self, flow: Flow) -> Option<&mut Verification> {
        match &mut self.by_flow.get_mut(&flow)?.phase {
            Phase::Verifying(verification) => Some(verification),
            _ => None,
        }
    }

    fn unverified_mut(&mut self, flow: Flow, number: u32) -> Option<&mut Vec<TargetId>> {
        match &mut self.by_flow.get_mut(&flow)?.phase {
            Phase::Asked { query, unverified } if *query == number => Some(unverified),
            _ => None,
        }
    }
}

impl Balancer {
    /// Returns the time at which [`Balancer::poll_searches`] is due, or `None` if no search is in
    /// progress.
    #[must_use]
    pub fn next_search_at(&self) -> Option<Instant> {
        let interval = self.settings.query_retry_interval;
        let retries = self.searches.queries.values();
        let retry_at = retries.map(|query| query.sent_at + interval).min();
        let waits = !self.searches.waiting.is_empty();
        let queries_at = waits.then_some(self.searches.next_queries_at);
        let verifies = !self.searches.unverified.is_empty();
        let verification_at = verifies.then_some(self.searches.next_verification_at);
        let verifying = self.searches.verifying.iter();
        let sent_at = verifying.filter_map(|flow| self.searches.verification_sent_at(*flow));
        let repetition_at = sent_at.map(|sent_at| sent_at + interval).min();
        let has_uncertain = !self.searches.uncertain.is_empty();
        let reconsider_at = self.searches.uncertain_checked_at + UNCERTAIN_POLL_INTERVAL;
        let reconsider_at = has_uncertain.then_some(reconsider_at);
        retry_at
            .into_iter()
            .chain(reconsider_at)
            .chain(queries_at)
            .chain(verification_at)
            .chain(repetition_at)
            .min()
    }

    /// Advances the searches for the owners of flows, and returns the actions that are due.
    pub fn poll_searches(&mut self, now: Instant) -> Vec<SearchAction> {
        let mut actions = Vec::new();
        self.reconsider_uncertain(now, &mut actions);
        let interval = self.settings.query_retry_interval;
        let is_due = |query: &PendingQuery| now.since(query.sent_at) >= interval;
        let queries = self.searches.queries.iter();
        let due: Vec<u32> = queries
            .filter_map(|(number, query)| is_due(query).then_some(*number))
            .collect();
        for number in due {
            self.repeat_or_finish(number, now, &mut actions);
        }
        if !self.searches.waiting.is_empty() && now >= self.searches.next_queries_at {
            self.send_queries(now, &mut actions);
        }
        for flow in std::mem::take(&mut self.searches.verifying) {
            self.continue_verification(flow, now, &mut actions);
        }
        while now >= self.searches.next_verification_at {
            let Some(flow) = self.searches.unverified.pop_front() else {
                break;
            };
            self.verify(flow, now, &mut actions);
        }
        actions
    }

    /// Handles the report of an agent that its target doesn't hold a flow.
    pub fn on_flow_denied(
        &mut self,
        denial: &FlowDenial,
        agent: SocketAddrV4,
        now: Instant,
    ) -> Vec<SearchAction> {
        let target_id = TargetId::new(agent);
        if let Some(target) = self.targets.get_mut(target_id) {
            target.on_load_report(denial.load, now);
        }
        let flow = denial.flow;
        let Some(verification) = self.searches.verification_mut(flow) else {
            return Vec::new();
        };
        if denial.has_ended {
            let reset = Resolution::Reset(DiscardReason::Ended);
            return vec![self.end_search(flow, reset)];
        }
        verification.awaited.retain(|target| *target != target_id);
        if !verification.awaited.is_empty() {
            return Vec::new();
        }
        let undecided = std::mem::take(&mut verification.undecided);
        self.visit_or_end(flow, undecided, now)
            .into_iter()
            .collect()
    }

    /// Handles the answer of an agent to a query.
    pub fn on_location_reply(
        &mut self,
        reply: &LocationReply,
        agent: SocketAddrV4,
        now: Instant,
    ) -> Vec<SearchAction> {
        let target_id = TargetId::new(agent);
        if let Some(target) = self.targets.get_mut(target_id) {
            target.on_load_report(reply.load, now);
        }
        let number = reply.number;
        let Some(query) = self.searches.queries.get_mut(&number) else {
            return Vec::new();
        };
        let flows = |indices: &[u8]| -> Vec<Flow> {
            let indices = indices.iter();
            indices
                .filter_map(|index| query.flows.get(usize::from(*index)).copied())
                .collect()
        };
        let (held, ended) = (flows(&reply.held), flows(&reply.ended));
        let unverified = flows(&reply.unverified);
        query.awaited.remove(&target_id);
        query.suspect.remove(&target_id);
        let is_complete = query.awaited.is_empty();
        let mut actions = Vec::new();
        for flow in held {
            if self.searches.unverified_mut(flow, number).is_some() {
                self.confirm_owner(flow, target_id, now);
                actions.push(resolve(flow, Resolution::Resume));
            }
        }
        for flow in ended {
            if self.searches.unverified_mut(flow, number).is_some() {
                let reset = Resolution::Reset(DiscardReason::Ended);
                actions.push(self.end_search(flow, reset));
            }
        }
        for flow in unverified {
            if let Some(targets) = self.searches.unverified_mut(flow, number) {
                targets.push(target_id);
            }
        }
        if is_complete {
            self.finish(number, now, &mut actions);
        }
        actions
    }

    /// Returns the next target to visit with a packet of a flow whose location query has ended
    /// without an owner; `None` if no such search is in progress or no target is left.
    ///
    /// `is_unresponsive` tells whether the target visited before has left the packet unanswered.
    pub(super) fn next_visit(&mut self, flow: Flow, is_unresponsive: bool) -> Option<TargetId> {
        let search = self.searches.by_flow.get_mut(&flow)?;
        let Phase::Visiting {
            remaining,
            is_undecided,
        } = &mut search.phase
        else {
            return None;
        };
        *is_undecided |= is_unresponsive;
        remaining.pop()
    }

    /// Ends the visits of a flow; returns `true` if certainly no target holds it.
    pub(super) fn end_visits(&mut self, flow: Flow, now: Instant) -> bool {
        let search = self.searches.by_flow.remove(&flow);
        let has_denials = search.is_some_and(|search| {
            matches!(
                search.phase,
                Phase::Visiting {
                    is_undecided: false,
                    ..
                }
            )
        });
        has_denials && self.knows_all_targets(now)
    }

    /// Records the owner of a flow that was searched for.
    pub(super) fn confirm_owner(&mut self, flow: Flow, target: TargetId, now: Instant) {
        self.searches.remove(flow);
        let entry = CacheEntry {
            target,
            state: OwnerState::Confirmed,
            first_sent: now,
        };
        self.cache.insert(flow, entry, now);
    }

    /// Sends queries about all waiting flows to all targets.
    fn send_queries(&mut self, now: Instant, actions: &mut Vec<SearchAction>) {
        let waiting = std::mem::take(&mut self.searches.waiting);
        // The owner of a flow may have been found in the meantime.
        let waiting: Vec<Flow> = waiting
            .into_iter()
            .filter(|flow| self.searches.holds(*flow))
            .collect();
        for flows in waiting.chunks(MAX_PROBES_PER_QUERY) {
            self.send_query(flows.to_vec(), now, actions);
        }
    }

    fn send_query(&mut self, flows: Vec<Flow>, now: Instant, actions: &mut Vec<SearchAction>) {
        self.searches.last_number = self.searches.last_number.wrapping_add(1);
        let number = self.searches.last_number;
        for flow in &flows {
            if let Some(search) = self.searches.by_flow.get_mut(flow) {
                search.phase = Phase::Asked {
                    query: number,
                    unverified: Vec::new(),
                };
            }
        }
        let may_hold = self.targets.iter().filter(|target| {
            let is_suspect = target.is_suspect(&self.settings, now);
            !(is_suspect && target.state == TargetState::Ended)
        });
        let (suspect, awaited): (Vec<&Target>, Vec<&Target>) =
            may_hold.partition(|target| target.is_suspect(&self.settings, now));
        let ids = |targets: &[&Target]| targets.iter().map(|target| target.id).collect();
        let query = PendingQuery {
            flows,
            asked: suspect
                .iter()
                .chain(&awaited)
                .map(|target| target.id)
                .collect(),
            awaited: ids(&awaited),
            suspect: ids(&suspect),
            sent_at: now,
            transmissions: 1,
        };
        let spacing = self.settings.query_interval_per_target * query.asked.len() as u32;
        self.searches.next_queries_at = self.searches.next_queries_at.max(now) + spacing;
        self.transmit(number, &query, &query.asked, actions);
        let is_complete = query.awaited.is_empty();
        self.searches.queries.insert(number, query);
        if is_complete {
            self.finish(number, now, actions);
        }
    }

    /// Adds a message with a query for each of `recipients`.
    fn transmit(
        &self,
        number: u32,
        query: &PendingQuery,
        recipients: &BTreeSet<TargetId>,
        actions: &mut Vec<SearchAction>,
    ) {
        let probe = |flow: &Flow| FlowProbe {
            flow: *flow,
            acknowledgment: self
                .searches
                .by_flow
                .get(flow)
                .and_then(|search| search.acknowledgment),
        };
        let message = LocationQuery {
            number,
            probes: query.flows.iter().map(probe).collect(),
        };
        let agents = recipients
            .iter()
            .filter_map(|target| self.targets.get(*target));
        actions.extend(agents.map(|target| SearchAction::Query {
            agent: target.agent,
            query: message.clone(),
        }));
    }

    /// Repeats a query to the targets that haven't answered, or ends it after the last repetition.
    fn repeat_or_finish(&mut self, number: u32, now: Instant, actions: &mut Vec<SearchAction>) {
        let max_transmissions = self.settings.max_query_transmissions;
        if !self.searches.asks(number) {
            self.searches.queries.remove(&number);
            return;
        }
        let Some(query) = self.searches.queries.get_mut(&number) else {
            return;
        };
        // An agent without a backend server that doesn't respond has left with its VM.
        let targets = &self.targets;
        query.awaited.retain(|target| {
            let target = targets.get(*target);
            target.is_some_and(|target| target.state != TargetState::Ended)
        });
        if query.awaited.is_empty() || query.transmissions >= max_transmissions {
            return self.finish(number, now, actions);
        }
        query.transmissions += 1;
        query.sent_at = now;
        let query = query.clone();
        self.transmit(number, &query, &query.awaited, actions);
    }

    /// Ends a query. Targets that can't tell or haven't answered are visited with the packet; if
    /// there are none, no target holds the remaining flows.
    fn finish(&mut self, number: u32, now: Instant, actions: &mut Vec<SearchAction>) {
        let Some(query) = self.searches.queries.remove(&number) else {
            return;
        };
        let is_new = |target: &&Target| {
            let has_ended = target.state == TargetState::Ended;
            !query.asked.contains(&target.id) && !has_ended
        };
        let new_targets = self.targets.iter().filter(is_new).map(|target| target.id);
        // An agent without a backend server that no longer responds has left with its VM.
        let may_hold = |target: &&TargetId| {
            let target = self.targets.get(**target);
            target.is_some_and(|target| target.state != TargetState::Ended)
        };
        // Visits take the last target first.
        let silent = query.suspect.iter().chain(&query.awaited);
        let mut undecided: Vec<TargetId> = silent.filter(may_hold).copied().collect();
        undecided.extend(new_targets);
        for flow in query.flows {
            let Some(unverified) = self.searches.unverified_mut(flow, number) else {
                continue;
            };
            let awaited = std::mem::take(unverified);
            if awaited.is_empty() {
                actions.extend(self.visit_or_end(flow, undecided.clone(), now));
                continue;
            }
            let verification = Verification {
                awaited,
                undecided: undecided.clone(),
                sent_at: now,
                transmissions: 0,
            };
            if let Some(search) = self.searches.by_flow.get_mut(&flow) {
                search.phase = Phase::Verifying(verification);
            }
            self.searches.unverified.push_back(flow);
        }
        while now >= self.searches.next_verification_at {
            let Some(flow) = self.searches.unverified.pop_front() else {
                break;
            };
            self.verify(flow, now, actions);
        }
    }

    /// Sends a copy of a flow's packet to all targets that haven't confirmed or denied the flow.
    fn verify(&mut self, flow: Flow, now: Instant, actions: &mut Vec<SearchAction>) {
        let max_wait = self.settings.max_verification_wait;
        let Some(verification) = self.searches.verification_mut(flow) else {
            return;
        };
        let has_waited = verification.transmissions == 0;
        if has_waited && now.since(verification.sent_at) >= max_wait {
            // Many agents can tell by now, and another query costs less than copies of a packet.
            return self.searches.wait_for_query(flow);
        }
        verification.transmissions += 1;
        verification.sent_at = now;
        let awaited = verification.awaited.clone();
        let spacing = self.settings.verification_interval_per_target * awaited.len() as u32;
        self.searches.next_verification_at = self.searches.next_verification_at.max(now) + spacing;
        self.searches.verifying.push(flow);
        let targets = awaited
            .iter()
            .filter_map(|target| self.targets.get(*target));
        let agents = targets.map(|target| target.agent).collect();
        actions.push(SearchAction::Verify { flow, agents });
    }

    /// Repeats the verification of a flow, or ends it after the last repetition.
    fn continue_verification(&mut self, flow: Flow, now: Instant, actions: &mut Vec<SearchAction>) {
        let interval = self.settings.query_retry_interval;
        let max_transmissions = self.settings.max_query_transmissions;
        let Some(verification) = self.searches.verification_mut(flow) else {
            return;
        };
        if now.since(verification.sent_at) < interval {
            return self.searches.verifying.push(flow);
        }
        if verification.transmissions < max_transmissions {
            return self.verify(flow, now, actions);
        }
        let mut undecided = std::mem::take(&mut verification.undecided);
        undecided.append(&mut verification.awaited);
        actions.extend(self.visit_or_end(flow, undecided, now));
    }

    /// Goes on to visit the targets that haven't told whether they hold a flow, or ends the search
    /// if there are none.
    fn visit_or_end(
        &mut self,
        flow: Flow,
        remaining: Vec<TargetId>,
        now: Instant,
    ) -> Option<SearchAction> {
        if remaining.is_empty() {
            if self.knows_all_targets(now) {
                let reset = Resolution::Reset(DiscardReason::Unowned);
                return Some(self.end_search(flow, reset));
            }
            if let Some(search) = self.searches.by_flow.get_mut(&flow) {
                search.phase = Phase::Uncertain { since: now };
                self.searches.uncertain.push(flow);
            }
            return None;
        }
        if let Some(search) = self.searches.by_flow.get_mut(&flow) {
            search.phase = Phase::Visiting {
                remaining,
                is_undecided: false,
            };
        }
        Some(resolve(flow, Resolution::Resume))
    }

    /// Asks about uncertain flows again once this balancer knows all targets, and gives up those
    /// that have waited for too long.
    fn reconsider_uncertain(&mut self, now: Instant, actions: &mut Vec<SearchAction>) {
        if self.searches.uncertain.is_empty() {
            return;
        }
        self.searches.uncertain_checked_at = now;
        if self.knows_all_targets(now) {
            for flow in std::mem::take(&mut self.searches.uncertain) {
                self.searches.wait_for_query(flow);
            }
            return;
        }
        let timeout = self.settings.uncertain_timeout;
        let uncertain = std::mem::take(&mut self.searches.uncertain);
        for flow in uncertain {
            let since = match self.searches.by_flow.get(&flow).map(|search| &search.phase) {
                Some(Phase::Uncertain { since }) => *since,
                _ => continue,
            };
            if now.since(since) < timeout {
                self.searches.uncertain.push(flow);
            } else {
                let drop = Resolution::Drop(DiscardReason::Unowned);
                actions.push(self.end_search(flow, drop));
            }
        }
    }

    /// Ends the search for a flow whose owner wasn't found, unless another packet of the flow has
    /// found it in the meantime.
    fn end_search(&mut self, flow: Flow, resolution: Resolution) -> SearchAction {
        self.searches.remove(flow);
        let is_found = self.cache.get(flow).is_some();
        resolve(
            flow,
            if is_found {
                Resolution::Resume
            } else {
                resolution
            },
        )
    }
}

/// Returns the acknowledgment number of a segment, if it has one.
const fn acknowledgment(segment: &Segment) -> Option<u32> {
    if segment.flags.ack {
        Some(segment.acknowledgment)
    } else {
        None
    }
}

const fn resolve(flow: Flow, resolution: Resolution) -> SearchAction {
    SearchAction::Resolve { flow, resolution }
}
