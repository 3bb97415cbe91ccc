//! Forwarding of packets of open flows, and visits of the targets that may hold an unknown flow.

use lavenderseam_core::time::Instant;

use super::cache::{CacheEntry, OwnerState};
use super::conclusion::VisitEnd;
use super::targets::FlowRequest;
use super::{Balancer, DiscardReason, Verdict};
use crate::flow::Flow;
use crate::message::{AttemptedTargets, TargetId};
use crate::segment::Segment;

impl Balancer {
    pub(super) fn handle_segment(&mut self, segment: &Segment, now: Instant) -> Verdict {
        let Some(entry) = self.cache.get_mut(segment.flow) else {
            return self.try_next_target(segment, &AttemptedTargets::default(), now);
        };
        let Some(target) = self.targets.get_mut(entry.target) else {
            return self.try_next_target(segment, &AttemptedTargets::default(), now);
        };
        let service = target.service;
        entry.on_caller_segment(segment);
        let entry = *entry;
        match entry.state {
            OwnerState::Opened | OwnerState::Confirmed => {}
            OwnerState::SynSent => {
                // The caller acknowledges the target's SYN, so the target has responded.
                target.on_response(now);
                let state = OwnerState::Opened;
                self.cache
                    .insert(segment.flow, CacheEntry { state, ..entry }, now);
            }
            OwnerState::Searching => {
                if now.since(entry.first_sent) >= self.settings.response_timeout {
                    let attempted = AttemptedTargets {
                        unresponsive: vec![entry.target],
                        ..AttemptedTargets::default()
                    };
                    return self.try_next_target(segment, &attempted, now);
                }
            }
        }
        let is_unconfirmed = entry.state == OwnerState::Opened
            && now.since(entry.first_sent) >= self.settings.confirmation_delay;
        let wants_confirmation = entry.state == OwnerState::Searching || is_unconfirmed;
        self.forward(
            entry.target,
            service,
            AttemptedTargets::default(),
            wants_confirmation,
        )
        .unwrap_or(Verdict::Drop(DiscardReason::NoTarget))
    }

    /// Sends a packet to the next target that may hold its flow, or resets the connection if
    /// certainly no target holds it.
    ///
    /// A few likely targets get the packet itself, unless agents of their services are being restarted.
    /// If none of them holds the flow, the packet is held while all agents are asked.
    pub(super) fn try_next_target(
        &mut self,
        segment: &Segment,
        attempted: &AttemptedTargets,
        now: Instant,
    ) -> Verdict {
        let flow = segment.flow;
        // Another packet of the flow may have found the owner in the meantime.
        if let Some(entry) = self.cache.get(flow)
            && !attempted.contains(entry.target)
            && let Some(service) = self.targets.get(entry.target).map(|target| target.service)
            && let Some(verdict) = self.forward(entry.target, service, attempted.clone(), true)
        {
            return verdict;
        }
        if self.searches.holds(flow) {
            self.searches.on_packet(segment);
            return Verdict::Hold;
        }
        if self.searches.contains(flow) {
            return self.visit_next(segment, attempted, now);
        }
        if attempted.len() < self.settings.max_search_visits
            && !self.agents_restart(flow, now)
            && let Some(target) = self.next_candidate(flow, attempted, now)
        {
            return self.visit(segment, target, attempted, now);
        }
        self.cache.remove(flow);
        // No caller waits for the owner of a flow that it has reset itself.
        if !self.routes.contains(flow) || segment.flags.rst {
            return Verdict::Drop(DiscardReason::Unowned);
        }
        let gather_time = self.settings.query_gather_time;
        let max_searches = self.settings.max_searches;
        if self.searches.start(segment, max_searches, gather_time, now) {
            Verdict::Hold
        } else {
            Verdict::Drop(DiscardReason::SearchLimit)
        }
    }

    /// Returns `true` if agents that may hold a flow are being restarted, so that a visit may lose the packet.
    fn agents_restart(&self, flow: Flow, now: Instant) -> bool {
        let time = self.settings.visit_pause;
        let mut services = self.routes.candidate_services(flow).into_iter();
        services.any(|service| self.targets.has_agent_restarted_within(service, time, now))
    }

    /// Sends a packet to the next target that a location query has left undecided, or ends the
    /// search.
    fn visit_next(
        &mut self,
        segment: &Segment,
        attempted: &AttemptedTargets,
        now: Instant,
    ) -> Verdict {
        let flow = segment.flow;
        let is_unresponsive = !attempted.unresponsive.is_empty();
        while let Some(target) = self.next_visit(flow, is_unresponsive) {
            if self.targets.get(target).is_some() {
                // The search remembers which targets are left, so that the packet needn't.
                return self.visit(segment, target, &AttemptedTargets::default(), now);
            }
        }
        self.cache.remove(flow);
        match self.end_visits(flow, now) {
            VisitEnd::Unowned if !segment.flags.rst => Verdict::Reset(DiscardReason::Unowned),
            VisitEnd::Unowned | VisitEnd::Undecided => Verdict::Drop(DiscardReason::Unowned),
            VisitEnd::Waits => {
                self.searches.on_packet(segment);
                Verdict::Hold
            }
        }
    }

    /// Sends a packet to a target that may hold its flow.
    fn visit(
        &mut self,
        segment: &Segment,
        target: TargetId,
        attempted: &AttemptedTargets,
        now: Instant,
    ) -> Verdict {
        let entry = CacheEntry {
            target,
            state: OwnerState::Searching,
            first_sent: now,
            acknowledgment: segment.acknowledged(),
            is_closing: false,
        };
        self.cache.insert(segment.flow, entry, now);
        let service = self.targets.get(target).map(|target| target.service);
        service
            .and_then(|service| self.forward(target, service, attempted.clone(), true))
            .unwrap_or(Verdict::Drop(DiscardReason::NoTarget))
    }

    /// Returns the most likely responsive target that may hold a flow.
    fn next_candidate(
        &self,
        flow: Flow,
        attempted: &AttemptedTargets,
        now: Instant,
    ) -> Option<TargetId> {
        let services = self.routes.candidate_services(flow);
        services.into_iter().find_map(|service| {
            let request = FlowRequest {
                flow,
                service,
                attempted,
                domain: &self.identity.domain,
            };
            self.targets.next_candidate(&request, &self.settings, now)
        })
    }
}
