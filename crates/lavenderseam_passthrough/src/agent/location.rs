//! Answers to balancers that search for the owners of flows.
//!
//! An agent that restarted beside a running backend server can't deny a flow that it doesn't know.
//! The balancer then sends a copy of a packet for verification: the backend server bounces it if it
//! doesn't hold the flow, and answers it otherwise.

use std::net::SocketAddrV4;
use std::time::Duration;

use lavenderseam_core::time::Instant;

use super::Agent;
use super::admission::Admission;
use crate::flow::{Flow, FlowMap};
use crate::message::{
    FlowConfirmation, FlowDenial, FlowProbe, LocationQuery, LocationReply, MAX_PROBES_PER_QUERY,
    Reason,
};
use crate::segment::{Flags, Segment};

/// Time for which a balancer waits for the confirmation of a flow.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of flows that balancers wait for at once.
const MAX_UNCONFIRMED_FLOWS: usize = 1_024;

/// Decision about a packet that a balancer sent for verification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verification {
    /// The target holds the flow: deliver the packet, and confirm the flow to the balancer.
    Held {
        /// Mark that the backend server returns with a bounced packet.
        mark: u32,
        /// Confirmation to send to the balancer.
        confirmation: FlowConfirmation,
    },
    /// Deliver the packet to the backend server, whose reaction shows whether it holds the flow.
    Deliver {
        /// Mark that the backend server returns with a bounced packet.
        mark: u32,
    },
    /// The target doesn't hold the flow: report this to the balancer.
    Denied(FlowDenial),
}

/// Flows that balancers asked about, and that the backend server hasn't answered or bounced yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnconfirmedFlows(FlowMap<(SocketAddrV4, Instant)>);

impl UnconfirmedFlows {
    /// Records that a balancer waits for the confirmation of a flow.
    pub(super) fn insert(&mut self, flow: Flow, balancer: SocketAddrV4, now: Instant) {
        if self.0.len() < MAX_UNCONFIRMED_FLOWS {
            self.0.insert(flow, (balancer, now));
        }
    }

    /// Removes a flow and returns the balancer that waits for its confirmation.
    pub(super) fn take(&mut self, flow: Flow) -> Option<SocketAddrV4> {
        self.0.remove(&flow).map(|(balancer, _)| balancer)
    }

    /// Removes flows that no balancer waits for any more.
    pub(super) fn expire(&mut self, now: Instant) {
        self.0
            .retain(|_, (_, since)| now.since(*since) < CONFIRMATION_TIMEOUT);
    }
}

impl Agent {
    /// Handles a copy of a packet whose flow the backend server may hold.
    pub fn on_verification(
        &mut self,
        segment: &Segment,
        balancer: SocketAddrV4,
        now: Instant,
    ) -> Verification {
        self.balancers.on_message(balancer, &self.settings, now);
        let flow = segment.flow;
        let admission = if segment.flags.syn {
            Err(Reason::NotHeld)
        } else {
            self.admit_segment(segment)
        };
        match admission {
            Ok(Admission::KnownFlow) => {
                self.flows.on_caller_segment(segment, now);
                self.record_delivery(now);
                let load = self.target_load(now);
                Verification::Held {
                    mark: self.delivered.insert(balancer, None),
                    confirmation: FlowConfirmation { flow, load },
                }
            }
            Ok(Admission::Unverified) => {
                self.record_delivery(now);
                self.unconfirmed.insert(flow, balancer, now);
                let mark = self.delivered.insert(balancer, None);
                Verification::Deliver { mark }
            }
            Ok(Admission::NewFlow | Admission::Drop) | Err(_) => Verification::Denied(FlowDenial {
                flow,
                has_ended: admission.is_err_and(|reason| reason == Reason::Ended),
                load: self.target_load(now),
            }),
        }
    }

    /// Handles a balancer's question about flows with unknown owners.
    ///
    /// Each flow is answered as a packet of it would be.
    pub fn on_location_query(
        &mut self,
        query: &LocationQuery,
        balancer: SocketAddrV4,
        now: Instant,
    ) -> LocationReply {
        self.balancers.on_message(balancer, &self.settings, now);
        let mut reply = LocationReply {
            number: query.number,
            load: self.target_load(now),
            ..LocationReply::default()
        };
        let probes = query.probes.iter().take(MAX_PROBES_PER_QUERY);
        for (index, probe) in (0u8..).zip(probes) {
            match self.admit_segment(&as_segment(probe)) {
                Ok(Admission::KnownFlow) => reply.held.push(index),
                Ok(Admission::Unverified) => reply.unverified.push(index),
                Err(Reason::Ended) => reply.ended.push(index),
                _ => {}
            }
        }
        reply
    }
}

/// Returns a packet of the flow, without data.
fn as_segment(probe: &FlowProbe) -> Segment {
    Segment {
        flow: probe.flow,
        flags: Flags {
            ack: probe.acknowledgment.is_some(),
            ..Flags::default()
        },
        acknowledgment: probe.acknowledgment.unwrap_or_default(),
        ..Segment::default()
    }
}
