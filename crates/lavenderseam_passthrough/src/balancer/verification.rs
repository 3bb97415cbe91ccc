//! Verification of flows at targets whose agents can't tell whether they hold them.
//!
//! All such targets get a copy of a packet at the same time. Verifications are spaced, because each
//! costs a packet for each target.

use std::net::SocketAddrV4;

use lavenderseam_core::time::Instant;

use super::{Balancer, DiscardReason, Resolution, SearchAction};
use crate::flow::Flow;
use crate::message::{FlowDenial, TargetId};

impl Balancer {
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
        let is_complete = verification.awaited.is_empty();
        let undecided = if is_complete {
            std::mem::take(&mut verification.undecided)
        } else {
            Vec::new()
        };
        if let Some(search) = self.searches.by_flow.get_mut(&flow) {
            search.denied.push(target_id);
        }
        if !is_complete {
            return Vec::new();
        }
        let mut actions = Vec::new();
        self.visit_or_end(flow, undecided, now, &mut actions);
        actions
    }

    /// Continues the verifications in progress, and starts those whose turn it is.
    pub(super) fn advance_verifications(&mut self, now: Instant, actions: &mut Vec<SearchAction>) {
        for flow in std::mem::take(&mut self.searches.verifying) {
            self.continue_verification(flow, now, actions);
        }
        self.start_verifications(now, actions);
    }

    /// Starts the verifications whose turn it is.
    pub(super) fn start_verifications(&mut self, now: Instant, actions: &mut Vec<SearchAction>) {
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
        self.visit_or_end(flow, undecided, now, actions);
    }
}
