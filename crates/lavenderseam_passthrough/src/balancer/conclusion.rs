//! Ends of searches: an owner, a conclusion that there is none, or visits of silent targets.

use lavenderseam_core::time::Instant;

use super::agreement::QUESTION_INTERVAL;
use super::cache::{CacheEntry, OwnerState};
use super::searches::Phase;
use super::{Balancer, DiscardReason, Resolution, SearchAction};
use crate::flow::Flow;
use crate::message::TargetId;

/// Result of the visits of the targets that a location query has left undecided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VisitEnd {
    /// Certainly no target holds the flow.
    Unowned,
    /// A target that hasn't answered, or isn't known to this balancer, may hold the flow.
    Undecided,
    /// Targets that weren't asked, or other balancers, are asked before the search ends.
    Waits,
}

impl Balancer {
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

    /// Ends the visits of a flow.
    pub(super) fn end_visits(&mut self, flow: Flow, now: Instant) -> VisitEnd {
        let denied_by_all = self.searches.by_flow.get(&flow).is_some_and(|search| {
            matches!(
                search.phase,
                Phase::Visiting {
                    is_undecided: false,
                    ..
                }
            )
        });
        if !denied_by_all {
            self.searches.remove(flow);
            return VisitEnd::Undecided;
        }
        if !self.covers_all_targets(flow) {
            self.searches.wait_for_query(flow);
            return VisitEnd::Waits;
        }
        if !self.knows_target_of(flow, now) {
            self.searches.wait_for_agreement(flow, now);
            return VisitEnd::Waits;
        }
        self.searches.remove(flow);
        VisitEnd::Unowned
    }

    /// Returns `true` if the balancer knows the target of a flow that it searches for, if there is one.
    ///
    /// The flow was opened before the last query about it was sent.
    fn knows_target_of(&self, flow: Flow, now: Instant) -> bool {
        let search = self.searches.by_flow.get(&flow);
        let known_since = self.knows_all_targets_since(now);
        search.is_some_and(|search| known_since.is_some_and(|since| search.queried_at <= since))
    }

    /// Returns `true` if the last query about a flow was sent to all targets known now that may hold
    /// flows.
    fn covers_all_targets(&self, flow: Flow) -> bool {
        let search = self.searches.by_flow.get(&flow);
        search.is_some_and(|search| search.additions == self.targets.additions())
    }

    /// Records the owner of a flow that was searched for.
    pub(super) fn confirm_owner(&mut self, flow: Flow, target: TargetId, now: Instant) {
        let search = self.searches.by_flow.remove(&flow);
        let known = self.cache.get(flow).filter(|entry| entry.target == target);
        let acknowledgment = search.and_then(|search| search.acknowledgment);
        let entry = CacheEntry {
            target,
            state: OwnerState::Confirmed,
            first_sent: known.map_or(now, |entry| entry.first_sent),
            acknowledgment: acknowledgment.or(known.and_then(|entry| entry.acknowledgment)),
            is_closing: known.is_some_and(|entry| entry.is_closing),
        };
        self.cache.insert(flow, entry, now);
    }

    /// Goes on to visit the targets that haven't told whether they hold a flow, or ends the search
    /// if there are none.
    pub(super) fn visit_or_end(
        &mut self,
        flow: Flow,
        mut remaining: Vec<TargetId>,
        now: Instant,
        actions: &mut Vec<SearchAction>,
    ) {
        if remaining.is_empty() {
            self.searches.wait_for_agreement(flow, now);
            return self.reconsider_uncertain(now, actions);
        }
        if self.may_answer_soon(flow, &remaining, now) {
            return self.searches.wait_for_query(flow);
        }
        // Visits take the last target first.
        let heard_at = |id: &TargetId| {
            let target = self.targets.get(*id);
            target.map(|target| target.last_message_at)
        };
        remaining.sort_by_key(heard_at);
        if let Some(search) = self.searches.by_flow.get_mut(&flow) {
            search.phase = Phase::Visiting {
                remaining,
                is_undecided: false,
            };
        }
        actions.push(SearchAction::resolve(flow, Resolution::Resume));
    }

    /// Returns `true` if an agent that hasn't told whether its target holds a flow was heard so recently that it
    /// may be restarting.
    ///
    /// A visit of its target would lose the packet, and the caller sends the next one up to 1.6 s later.
    fn may_answer_soon(&self, flow: Flow, undecided: &[TargetId], now: Instant) -> bool {
        let limit = self.settings.agent_restart_time;
        let search = self.searches.by_flow.get(&flow);
        let is_recent = |at: Instant| now.since(at) < limit;
        let was_heard = |id: &TargetId| {
            let target = self.targets.get(*id);
            target.is_some_and(|target| is_recent(target.last_message_at))
        };
        search.is_some_and(|search| is_recent(search.started_at)) && undecided.iter().any(was_heard)
    }

    /// Ends the searches for uncertain flows once this balancer knows all targets, and gives up those
    /// that have waited for too long; asks the other balancers about the rest.
    pub(super) fn reconsider_uncertain(&mut self, now: Instant, actions: &mut Vec<SearchAction>) {
        if self.searches.uncertain.is_empty() {
            return;
        }
        self.searches.reconsider_at = now + QUESTION_INTERVAL;
        let known_since = self.knows_all_targets_since(now);
        let timeout = self.settings.uncertain_timeout;
        let mut last_query: Option<Instant> = None;
        for flow in std::mem::take(&mut self.searches.uncertain) {
            let Some(search) = self.searches.by_flow.get(&flow) else {
                continue;
            };
            let (Phase::Uncertain { since }, queried_at) = (&search.phase, search.queried_at)
            else {
                continue;
            };
            let has_expired = now.since(*since) >= timeout;
            if !self.covers_all_targets(flow) {
                self.searches.wait_for_query(flow);
            } else if known_since.is_some_and(|known_since| queried_at <= known_since) {
                let reset = Resolution::Reset(DiscardReason::Unowned);
                actions.push(self.end_search(flow, reset));
            } else if has_expired {
                let drop = Resolution::Drop(DiscardReason::Unowned);
                actions.push(self.end_search(flow, drop));
            } else {
                self.searches.uncertain.push(flow);
                last_query = last_query.max(Some(queried_at));
            }
        }
        if let Some(last_query) = last_query
            && self.may_conclude(now)
        {
            self.ask_balancers(last_query, now, actions);
        }
    }

    /// Ends the search for a flow whose owner wasn't found, unless another packet of the flow has
    /// found it in the meantime.
    pub(super) fn end_search(&mut self, flow: Flow, resolution: Resolution) -> SearchAction {
        self.searches.remove(flow);
        let is_found = self.cache.get(flow).is_some();
        SearchAction::resolve(
            flow,
            if is_found {
                Resolution::Resume
            } else {
                resolution
            },
        )
    }
}
