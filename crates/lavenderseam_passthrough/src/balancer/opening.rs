//! Placement of new flows, and rejection of flows that no target accepts.
//!
//! A SYN is sent to a few targets for a free slot, and then to a few targets for a place in a
//! queue. Targets that rejected a flow very recently are skipped, so that an overload costs few
//! messages and callers are reset quickly.
//!
//! A balancer whose receive queue is too long opens no flows. Otherwise it would delay the packets
//! of flows that it has just opened: these keep their slots for longer, more SYNs find no free slot
//! and are retried, and the overload outlasts its cause. Rejecting new flows lets the packets of
//! open flows through in time, and the rejected callers retry through another balancer.

use lavenderseam_core::time::Instant;

use super::cache::{CacheEntry, OwnerState};
use super::target::Target;
use super::targets::{FlowRequest, Placement};
use super::{Balancer, DiscardReason, Verdict};
use crate::message::{AttemptedTargets, ServiceId, TargetId, TargetState};
use crate::segment::Segment;

impl Balancer {
    pub(super) fn handle_syn(&mut self, segment: &Segment, now: Instant) -> Verdict {
        if let Some(verdict) = self.resend_syn(segment, now) {
            return verdict;
        }
        self.place(segment, AttemptedTargets::default(), now)
    }

    /// Sends a retransmitted SYN to the same target, unless that target has become unresponsive.
    fn resend_syn(&mut self, segment: &Segment, now: Instant) -> Option<Verdict> {
        let entry = self.cache.get(segment.flow)?;
        let service = self.routes.service_for(segment.flow)?;
        let target = self.targets.get_mut(entry.target)?;
        let is_open = matches!(entry.state, OwnerState::Opened | OwnerState::Confirmed);
        let accepts = target.state == TargetState::Ready || is_open;
        if target.service != service || !accepts {
            return None;
        }
        if !is_open && target.on_syn_retransmitted(&self.settings, now) {
            return None;
        }
        self.forward(entry.target, service, AttemptedTargets::default(), false)
    }

    /// Sends a SYN to the best target that it hasn't been sent to.
    pub(super) fn place(
        &mut self,
        segment: &Segment,
        mut attempted: AttemptedTargets,
        now: Instant,
    ) -> Verdict {
        let Some(service) = self.routes.service_for(segment.flow) else {
            return Verdict::Reset(DiscardReason::NoRoute);
        };
        if self.queue_delay >= self.settings.max_queue_delay {
            // A reset is safe even if another balancer has opened the flow from an earlier
            // transmission: a caller ignores a reset that carries the sequence number of a SYN if
            // its flow is established.
            self.cache.remove(segment.flow);
            return Verdict::Reset(DiscardReason::Overloaded);
        }
        let mut placement = self.next_target(segment, service, &attempted, now);
        if placement.is_none() && !attempted.may_queue {
            attempted.may_queue = true;
            attempted.busy.clear();
            placement = self.next_target(segment, service, &attempted, now);
        }
        let Some(placement) = placement else {
            return self.reject_flow(segment, service, &attempted, now);
        };
        if placement.suspect && !attempted.may_queue {
            // A responsive target is preferred, even if the flow has to wait in its queue.
            let mut queueing_attempted = attempted.clone();
            queueing_attempted.may_queue = true;
            queueing_attempted.busy.clear();
            if let Some(placement) = self.best_target(segment, service, &queueing_attempted, now) {
                return self.open_flow(segment, service, placement.target, queueing_attempted, now);
            }
        }
        self.open_flow(segment, service, placement.target, attempted, now)
    }

    /// Returns the best target for a SYN, or `None` if the SYN has been sent to the maximum number
    /// of targets.
    fn next_target(
        &self,
        segment: &Segment,
        service: ServiceId,
        attempted: &AttemptedTargets,
        now: Instant,
    ) -> Option<Placement> {
        if attempted.busy.len() >= self.settings.max_attempts {
            return None;
        }
        self.best_target(segment, service, attempted, now)
    }

    fn best_target(
        &self,
        segment: &Segment,
        service: ServiceId,
        attempted: &AttemptedTargets,
        now: Instant,
    ) -> Option<Placement> {
        let request = FlowRequest {
            flow: segment.flow,
            service,
            attempted,
            domain: &self.identity.domain,
        };
        let is_out_of_service = |domain: &str| self.out_of_service.contains(domain);
        self.targets
            .select(&request, &self.settings, is_out_of_service, now)
    }

    fn open_flow(
        &mut self,
        segment: &Segment,
        service: ServiceId,
        target: TargetId,
        attempted: AttemptedTargets,
        now: Instant,
    ) -> Verdict {
        if let Some(target) = self.targets.get_mut(target) {
            target.on_syn_sent(&self.settings, now);
        }
        let entry = CacheEntry {
            target,
            state: OwnerState::SynSent,
            acknowledgment: None,
            is_closing: false,
            first_sent: now,
        };
        self.cache.insert(segment.flow, entry, now);
        let wants_confirmation = !attempted.is_empty();
        self.forward(target, service, attempted, wants_confirmation)
            .unwrap_or(Verdict::Drop(DiscardReason::NoTarget))
    }

    /// Resets the caller if no target can hold or accept its flow; drops the SYN otherwise.
    ///
    /// A target that doesn't respond may hold the flow because of an earlier transmission. While
    /// targets may still announce themselves, the next retransmission may reach one.
    fn reject_flow(
        &mut self,
        segment: &Segment,
        service: ServiceId,
        attempted: &AttemptedTargets,
        now: Instant,
    ) -> Verdict {
        self.cache.remove(segment.flow);
        let of_service = |target: &&Target| target.service == service;
        let mut targets = self.targets.iter().filter(of_service);
        let ready = targets
            .clone()
            .any(|target| target.state == TargetState::Ready);
        let unknown = targets
            .clone()
            .any(|target| target.state == TargetState::Unknown);
        if self.is_starting(now) || (!ready && unknown) {
            return Verdict::Drop(DiscardReason::NotHeard);
        }
        if !ready {
            return Verdict::Reset(DiscardReason::NoTarget);
        }
        let may_hold =
            |target: &Target| target.state != TargetState::Ended && !attempted.contains(target.id);
        if segment.is_retransmitted_syn() && targets.any(may_hold) {
            return Verdict::Drop(DiscardReason::Unanswered);
        }
        Verdict::Reset(DiscardReason::AllRefused)
    }
}
