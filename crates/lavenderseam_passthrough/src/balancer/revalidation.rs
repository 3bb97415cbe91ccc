//! Revalidation of known flows whose owner may have lost them.
//!
//! An agent that has restarted may have done so together with its backend server, whose callers then
//! hold flows that no longer exist. Idle callers notice only with their next request, which is lost if
//! it may not be repeated. So the balancer asks the agent about all flows that it had confirmed, and
//! resets those that it denies.
//!
//! The owner's denial suffices, because a flow stays with the target that holds it: the agent has
//! confirmed that its target held the flow, and denies a flow only if it has seen all flows of the
//! backend server that runs now. No other target needs to answer, so that a failure domain which is
//! still without power doesn't delay the reset.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lavenderseam_core::time::Instant;

use super::cache::OwnerState;
use super::{Action, Balancer, DiscardReason, Resolution, SearchAction};
use crate::flow::Flow;
use crate::message::{
    FlowProbe, LocationQuery, LocationReply, MAX_PROBES_PER_QUERY, TargetId, TargetState,
};
use crate::segment::Segment;

/// Revalidations of flows, by target.
#[derive(Debug, Default)]
pub(crate) struct Revalidations {
    /// Targets whose agents have restarted and can't tell yet which flows they hold.
    postponed: BTreeSet<TargetId>,
    in_progress: BTreeMap<TargetId, Revalidation>,
    /// Time at which agents were last asked to confirm flows.
    confirmed_at: Instant,
}

/// Revalidation of the flows of one target.
#[derive(Clone, Debug)]
struct Revalidation {
    /// Flows that the agent hasn't been asked about.
    remaining: Vec<Flow>,
    /// Number of the query that waits for its answer.
    number: u32,
    /// Probes of that query.
    asked: Vec<FlowProbe>,
    sent_at: Instant,
    transmissions: u32,
}

impl Revalidation {
    fn new(flows: Vec<Flow>, now: Instant) -> Self {
        Self {
            remaining: flows,
            number: 0,
            asked: Vec::new(),
            sent_at: now,
            transmissions: 0,
        }
    }
}

impl Revalidations {
    /// Returns the time at which a query must be repeated; `None` if none waits for its answer.
    pub(super) fn next_at(&self, interval: Duration) -> Option<Instant> {
        let sent_at = self.in_progress.values().map(|check| check.sent_at);
        sent_at.map(|sent_at| sent_at + interval).min()
    }
}

impl Balancer {
    /// Starts the revalidation of the flows of targets whose agents have restarted.
    pub(super) fn start_revalidations(&mut self, now: Instant) -> Vec<SearchAction> {
        let restarted = self.targets.take_restarted();
        self.revalidations.postponed.extend(restarted);
        let postponed = std::mem::take(&mut self.revalidations.postponed);
        let mut actions = Vec::new();
        for target in postponed {
            match self.targets.get(target).map(|target| target.state) {
                Some(TargetState::Unknown) => {
                    self.revalidations.postponed.insert(target);
                }
                Some(_) => actions.extend(self.revalidate(target, now)),
                None => {}
            }
        }
        actions
    }

    /// Asks an agent about the flows that it has confirmed.
    fn revalidate(&mut self, target: TargetId, now: Instant) -> Option<SearchAction> {
        let confirmed = self.cache.iter().filter(|(_, entry)| {
            entry.target == target
                && entry.state == OwnerState::Confirmed
                && entry.acknowledgment.is_some()
                && !entry.is_closing
        });
        let remaining: Vec<Flow> = confirmed.map(|(flow, _)| flow).collect();
        self.ask_about_next(target, Revalidation::new(remaining, now), now)
    }

    /// Asks an agent about the next flows of a revalidation, which ends if none are left.
    fn ask_about_next(
        &mut self,
        target: TargetId,
        mut revalidation: Revalidation,
        now: Instant,
    ) -> Option<SearchAction> {
        self.revalidations.in_progress.remove(&target);
        let rest = revalidation.remaining.len();
        let next = rest.saturating_sub(MAX_PROBES_PER_QUERY);
        let probe = |flow: Flow| FlowProbe {
            flow,
            acknowledgment: self.cache.peek(flow).and_then(|entry| entry.acknowledgment),
        };
        let flows = revalidation.remaining.split_off(next).into_iter();
        revalidation.asked = flows.map(probe).collect();
        if revalidation.asked.is_empty() {
            return None;
        }
        revalidation.number = self.searches.next_number(now);
        revalidation.sent_at = now;
        revalidation.transmissions = 1;
        let query = self.revalidation_query(target, &revalidation)?;
        self.revalidations.in_progress.insert(target, revalidation);
        Some(query)
    }

    fn revalidation_query(
        &self,
        target: TargetId,
        revalidation: &Revalidation,
    ) -> Option<SearchAction> {
        let agent = self.targets.get(target)?.agent;
        let query = LocationQuery {
            number: revalidation.number,
            probes: revalidation.asked.clone(),
        };
        Some(SearchAction::Query { agent, query })
    }

    /// Handles the answer of an agent to a query about flows that it had confirmed; returns `None`
    /// if the answer belongs to another query.
    pub(super) fn on_revalidation_reply(
        &mut self,
        reply: &LocationReply,
        target: TargetId,
        now: Instant,
    ) -> Option<Vec<SearchAction>> {
        let revalidation = self.revalidations.in_progress.get_mut(&target)?;
        if revalidation.number != reply.number {
            return None;
        }
        let asked = std::mem::take(&mut revalidation.asked);
        let mut actions = Vec::new();
        for (index, probe) in (0u8..).zip(asked) {
            if reply.held.contains(&index) {
                self.confirm_known(probe.flow, target);
            } else if !reply.unverified.contains(&index) {
                actions.extend(self.reset_lost(&probe, target, now));
            }
        }
        let revalidation = self.revalidations.in_progress.remove(&target)?;
        actions.extend(self.ask_about_next(target, revalidation, now));
        Some(actions)
    }

    /// Asks the agents of flows that have been open for some time to confirm them, so that their
    /// answers don't depend on further packets of the callers.
    pub(super) fn confirm_flows(&mut self, now: Instant) -> Vec<Action> {
        let delay = self.settings.confirmation_delay;
        if now.since(self.revalidations.confirmed_at) < delay {
            return Vec::new();
        }
        self.revalidations.confirmed_at = now;
        let mut unconfirmed: BTreeMap<TargetId, Vec<Flow>> = BTreeMap::new();
        for (flow, entry) in self.cache.iter() {
            let is_open = entry.state == OwnerState::Opened && !entry.is_closing;
            if is_open
                && now.since(entry.first_sent) >= delay
                && self.routes.runs_at_most_once(flow)
                && !self.revalidations.in_progress.contains_key(&entry.target)
            {
                unconfirmed.entry(entry.target).or_default().push(flow);
            }
        }
        let mut actions = Vec::new();
        for (target, flows) in unconfirmed {
            let query = self.ask_about_next(target, Revalidation::new(flows, now), now);
            if let Some(SearchAction::Query { agent, query }) = query {
                actions.push(Action::QueryFlows { agent, query });
            }
        }
        actions
    }

    /// Records that the target of a flow has confirmed it.
    fn confirm_known(&mut self, flow: Flow, target: TargetId) {
        if let Some(entry) = self.cache.get_mut(flow)
            && entry.target == target
            && entry.state == OwnerState::Opened
        {
            entry.state = OwnerState::Confirmed;
        }
    }

    /// Resets a flow that its owner has denied, unless another target has been found to hold it.
    ///
    /// The denial says nothing about a flow that its caller has used since the question: the port may
    /// belong to a later flow by now.
    fn reset_lost(
        &mut self,
        denied: &FlowProbe,
        owner: TargetId,
        now: Instant,
    ) -> Option<SearchAction> {
        let flow = denied.flow;
        let acknowledgment = denied.acknowledgment?;
        let entry = self.cache.peek(flow)?;
        let is_unused = entry.acknowledgment == Some(acknowledgment);
        if entry.target != owner || entry.state != OwnerState::Confirmed || !is_unused {
            return None;
        }
        let known_for = now.since(entry.first_sent);
        let owner = self.targets.get(owner)?.agent;
        self.cache.remove(flow);
        let reason = DiscardReason::DeniedByOwner;
        if self.searches.holds(flow) {
            return Some(self.end_search(flow, Resolution::Reset(reason)));
        }
        self.searches.remove(flow);
        Some(SearchAction::ResetIdle {
            flow,
            acknowledgment,
            owner,
            known_for,
            reason,
        })
    }

    /// Repeats the queries that agents haven't answered, and gives up those repeated often enough.
    pub(super) fn repeat_revalidations(&mut self, now: Instant, actions: &mut Vec<SearchAction>) {
        let interval = self.settings.query_retry_interval;
        let max_transmissions = self.settings.max_query_transmissions;
        let in_progress = self.revalidations.in_progress.iter();
        let is_due = |check: &Revalidation| now.since(check.sent_at) >= interval;
        let due: Vec<TargetId> = in_progress
            .filter_map(|(target, check)| is_due(check).then_some(*target))
            .collect();
        for target in due {
            let Some(mut revalidation) = self.revalidations.in_progress.remove(&target) else {
                continue;
            };
            if revalidation.transmissions >= max_transmissions {
                continue;
            }
            revalidation.transmissions += 1;
            revalidation.sent_at = now;
            actions.extend(self.revalidation_query(target, &revalidation));
            self.revalidations.in_progress.insert(target, revalidation);
        }
    }

    /// Returns `true` if the target has confirmed that it holds the flow of a caller's segment.
    pub(super) fn is_confirmed_owner(&self, segment: &Segment, target: TargetId) -> bool {
        let entry = self.cache.peek(segment.flow);
        entry.is_some_and(|entry| {
            let continues = |last| segment.continues(last);
            entry.target == target
                && entry.state == OwnerState::Confirmed
                && entry.acknowledgment.is_some_and(continues)
        })
    }
}
