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

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use lavenderseam_core::time::Instant;

use super::searches::{PendingQuery, Phase, Verification};
use super::target::Target;
use super::{Balancer, DiscardReason, Resolution, SearchAction};
use crate::flow::Flow;
use crate::message::{
    FlowProbe, LocationQuery, LocationReply, MAX_PROBES_PER_QUERY, TargetId, TargetState,
};

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
        let reconsider_at = has_uncertain.then_some(self.searches.reconsider_at);
        let revalidation_at = self.revalidations.next_at(interval);
        retry_at
            .into_iter()
            .chain(revalidation_at)
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
        self.advance_verifications(now, &mut actions);
        self.repeat_revalidations(now, &mut actions);
        actions
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
        if let Some(actions) = self.on_revalidation_reply(reply, target_id, now) {
            return actions;
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
                actions.push(SearchAction::resolve(flow, Resolution::Resume));
            }
        }
        for flow in ended {
            if self.searches.unverified_mut(flow, number).is_some() {
                let reset = Resolution::Reset(DiscardReason::Ended);
                actions.push(self.end_search(flow, reset));
            }
        }
        for flow in unverified {
            let search = self.searches.by_flow.get(&flow);
            let has_denied = search.is_some_and(|search| search.denied.contains(&target_id));
            if !has_denied && let Some(targets) = self.searches.unverified_mut(flow, number) {
                targets.push(target_id);
            }
        }
        if is_complete {
            self.finish(number, now, &mut actions);
        }
        actions
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
        let number = self.searches.next_number(now);
        for flow in &flows {
            if let Some(search) = self.searches.by_flow.get_mut(flow) {
                search.additions = self.targets.additions();
                search.queried_at = now;
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
                self.visit_or_end(flow, undecided.clone(), now, actions);
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
        self.start_verifications(now, actions);
    }
}
