//! Admission control: decides whether the backend server receives a packet.

use lavenderseam_core::time::Instant;

use super::Agent;
use super::flows::FlowState;
use crate::flow::Flow;
use crate::message::{ForwardHeader, Reason};
use crate::segment::Segment;

/// Result of the decision about a packet that isn't returned to its balancer.
pub(super) enum Admission {
    /// The agent tracks the flow of the packet.
    KnownFlow,
    /// The packet opens a new flow.
    NewFlow,
    /// The agent may not know the flow, so the backend server receives the packet and bounces it if
    /// it doesn't hold the flow.
    Unverified,
    /// The packet is dropped.
    Drop,
}

impl Agent {
    pub(super) fn admit_packet(
        &mut self,
        segment: &Segment,
        header: &ForwardHeader,
        now: Instant,
    ) -> Result<Admission, Reason> {
        if segment.flags.syn && segment.flags.ack {
            // Only backend servers send a SYN with ACK.
            return Ok(Admission::Drop);
        }
        let entry = self.flows.get(segment.flow).copied();
        if segment.is_syn() {
            return match entry.map(|entry| entry.state) {
                Some(FlowState::SynReceived(_)) => Ok(Admission::KnownFlow),
                // A delayed duplicate of the SYN has no effect on an established flow.
                Some(FlowState::Established) => Ok(Admission::Drop),
                Some(FlowState::Closed) | None => self.admit_flow(segment.flow, header, now),
            };
        }
        self.admit_segment(segment)
    }

    /// Decides about a packet of an open flow, without any effect on the agent's state.
    pub(super) fn admit_segment(&self, segment: &Segment) -> Result<Admission, Reason> {
        let entry = self.flows.get(segment.flow);
        if entry.is_some_and(|entry| entry.accepts(segment)) {
            return Ok(Admission::KnownFlow);
        }
        if self.ended_flows.contains_key(&segment.flow) {
            return Err(Reason::Ended);
        }
        if entry.is_none() && !self.backend.has_seen_all_flows() {
            return Ok(Admission::Unverified);
        }
        Err(Reason::NotHeld)
    }

    /// Returns the rate limit for new flows of a cold backend server, in flows per second; `None`
    /// means no limit.
    pub(super) fn cold_rate(&self) -> Option<f64> {
        if self.limits.received {
            self.limits.cold_rate
        } else {
            Some(self.settings.default_cold_rate)
        }
    }

    fn admit_flow(
        &mut self,
        flow: Flow,
        header: &ForwardHeader,
        now: Instant,
    ) -> Result<Admission, Reason> {
        let Some(run) = self.backend.current_run() else {
            return Err(Reason::Unready);
        };
        if self.backend.has_candidate() {
            return Err(Reason::Unready);
        }
        if header.service != self.service {
            return Err(Reason::OtherService);
        }
        if run.is_draining() {
            return Err(Reason::Draining);
        }
        if !self.registered && !self.may_admit_unregistered(now) {
            return Err(Reason::Unready);
        }
        if self.limits.domain_out {
            return Err(Reason::DomainOut);
        }
        if self.liveness.rejects_new_flows(now) {
            return Err(Reason::Shed);
        }
        let (slots, cold) = (run.slots, run.is_cold(now));
        let max_flows = self.limits.max_flows.map(|limit| limit as usize);
        if self.flows.len() >= max_flows.unwrap_or(self.settings.default_max_flows) {
            return Err(Reason::Full);
        }
        let available_slots = slots.saturating_sub(self.penalties.reserved_slots(now));
        let max_requests = if header.attempted.may_queue {
            available_slots.saturating_mul(self.settings.max_requests_per_slot)
        } else {
            available_slots
        };
        if self.flows.pending_requests() >= max_requests {
            return Err(Reason::Busy);
        }
        if cold {
            let rate = self.cold_rate();
            if self.cold_start.remaining(rate, now) == 0 {
                return Err(Reason::Cold);
            }
        }
        // Flows admitted while the backend server is warm count as well, because the backend server
        // may become cold again without notice.
        self.cold_start.record(now);
        self.ended_flows.remove(&flow);
        self.flows.admit(flow, now);
        Ok(Admission::NewFlow)
    }
}
