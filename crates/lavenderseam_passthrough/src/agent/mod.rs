//! Agent state machine: decides which packets the backend server receives.
//!
//! The agent sees every packet to and from its backend server, so it knows the open flows, the
//! pending requests, and whether the backend server is cold or draining. A SYN is admitted only if
//! the backend server can accept a flow now; a packet of an unknown flow is returned to the
//! balancer with a reason.
//!
//! An agent that restarts beside a running backend server doesn't know the open flows. It then
//! delivers packets of unknown flows with a mark, and the backend server bounces those that belong
//! to no flow of its own.

mod admission;
mod backend;
mod balancers;
mod cold_start;
mod delivered;
mod flows;
mod liveness;
mod location;
mod occupancy;
mod penalties;
mod response_time;
mod settings;

use std::net::SocketAddrV4;
use std::time::Duration;

use lavenderseam_core::catalog::Revision;
use lavenderseam_core::time::Instant;

use crate::flow::{Flow, FlowMap};
use crate::message::{
    Announcement, FlowConfirmation, FlowDenial, ForwardHeader, Hello, Load, Reason, ReturnHeader,
    RunQuery, RunReply, ServiceId, TargetState,
};
use crate::segment::Segment;
use admission::Admission;
use backend::Backend;
pub use backend::{
    Departure, Deregistration, Heartbeat, HeartbeatEffect, Rejection, SERVING_HEARTBEAT_SEQUENCE,
};
use balancers::{Balancers, Recipient};
use cold_start::ColdStartLimiter;
use delivered::DeliveredPackets;
pub use flows::RequestOutcome;
use flows::{FlowState, FlowTracker};
use liveness::BackendLiveness;
use location::UnconfirmedFlows;
pub use location::Verification;
use occupancy::Occupancy;
use penalties::FailurePenalties;
use response_time::ResponseTime;
pub use settings::Settings;

/// Identity of an agent and its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the target's service.
    pub service: String,
    /// Failure domain of the target.
    pub domain: String,
    /// Address at which the backend server receives packets.
    pub backend_address: SocketAddrV4,
    /// Random identifier of this run of the agent, generated at its start.
    pub run_id: u64,
}

impl Identity {
    /// Returns the reason for which a heartbeat can't come from the backend server beside this agent.
    ///
    /// Anyone who reaches the VM can send a heartbeat. One of another backend server, or of a writer that
    /// isn't any, says nothing about this one.
    fn check(&self, heartbeat: &Heartbeat) -> Result<(), Rejection> {
        if heartbeat.service != self.service {
            return Err(Rejection::OtherService(heartbeat.service.clone()));
        }
        if heartbeat.address != self.backend_address {
            return Err(Rejection::OtherAddress(heartbeat.address));
        }
        if heartbeat.domain != self.domain {
            return Err(Rejection::OtherDomain(heartbeat.domain.clone()));
        }
        Ok(())
    }
}

/// Decision about a packet that a balancer forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Deliver the packet to the backend server.
    Deliver {
        /// Mark that the backend server returns with a bounced packet; never 0.
        mark: u32,
        /// Confirmation to send to the balancer, if it requested one.
        confirmation: Option<FlowConfirmation>,
    },
    /// Return the packet to the balancer.
    Return(ReturnHeader),
    /// Drop the packet: neither this backend server nor any other target would accept it.
    Drop,
}

/// Decision about a packet that the backend server sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutboundVerdict {
    /// Send the packet to the caller.
    SendToCaller {
        /// Outcome of the pending request, if the packet ends it.
        outcome: Option<RequestOutcome>,
        /// Confirmation to send to a balancer, if the packet shows that the backend server holds a
        /// flow that the balancer asked about.
        confirmation: Option<(SocketAddrV4, FlowConfirmation)>,
    },
    /// Return the bounced packet to the balancer that forwarded it.
    Return {
        /// Balancer that forwarded the packet.
        balancer: SocketAddrV4,
        /// Header to return the packet with.
        returned: ReturnHeader,
    },
    /// Report to the balancer that the backend server doesn't hold the flow of the bounced packet.
    Deny {
        /// Balancer that sent the packet.
        balancer: SocketAddrV4,
        /// Report to send.
        denial: FlowDenial,
    },
    /// Drop the bounced packet, because its balancer is no longer known or no target needs it; if
    /// it is needed, the caller retransmits it.
    Drop,
}

/// Action that the agent requests as time passes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an announcement of the target to a balancer.
    Announce {
        /// Balancer to send the announcement to.
        to: SocketAddrV4,
        /// Announcement to send.
        announcement: Announcement,
    },
    /// Look up the addresses of balancers in the store.
    LookUpBalancers,
    /// Ask a balancer whether it knows of an earlier run of the agent.
    AskBalancer {
        /// Balancer to ask.
        to: SocketAddrV4,
        /// Query to send.
        query: RunQuery,
    },
    /// Tell a balancer that the agent denies flows that it doesn't know from now on.
    TellFlowsKnown {
        /// Balancer to tell.
        to: SocketAddrV4,
    },
    /// Reports that the balancers have told whether an earlier run of the agent may have let flows
    /// through to the backend server.
    PredecessorKnown {
        /// `true` if one may have done so.
        has_predecessor: bool,
    },
    /// Probe the backend server, which has left packets unanswered or bounced packets that it
    /// should accept.
    ProbeBackend,
    /// Reports that flows are no longer tracked because they were idle for the maximum age of a flow.
    FlowsExpired {
        /// Number of flows.
        flows: usize,
        /// Maximum age of a flow.
        max_age: Duration,
    },
}

/// State machine of one agent.
#[derive(Clone, Debug)]
pub struct Agent {
    identity: Identity,
    service: ServiceId,
    settings: Settings,
    backend: Backend,
    flows: FlowTracker,
    ended_flows: FlowMap<Instant>,
    delivered: DeliveredPackets,
    unconfirmed: UnconfirmedFlows,
    cold_start: ColdStartLimiter,
    balancers: Balancers,
    limits: ServiceLimits,
    announcement_sequence: u64,
    /// `true` if an announcement to all balancers is due at once.
    announce_to_all: bool,
    liveness: BackendLiveness,
    /// Time of the last packet to the backend server, or of its last heartbeat that counted.
    backend_used_at: Option<Instant>,
    response_time: ResponseTime,
    occupancy: Occupancy,
    penalties: FailurePenalties,
    /// `true` once the agent is registered, so that balancers that start know of its target.
    registered: bool,
    /// Time since which the agent should have been registered.
    unregistered_since: Option<Instant>,
}

/// Limits of the service, as received from balancers.
#[derive(Clone, Debug, Default)]
struct ServiceLimits {
    /// `true` once a balancer that knows the service has sent its limits.
    received: bool,
    desired_revision: Revision,
    cold_rate: Option<f64>,
    max_flows: Option<u32>,
    out_domains_revision: Revision,
    domain_out: bool,
}

impl Agent {
    /// Creates an agent with default settings.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        Self::with_settings(identity, Settings::default())
    }

    /// Creates an agent with the given settings.
    #[must_use]
    pub fn with_settings(identity: Identity, settings: Settings) -> Self {
        Self {
            service: ServiceId::new(&identity.service),
            identity,
            settings,
            backend: Backend::default(),
            flows: FlowTracker::default(),
            ended_flows: FlowMap::default(),
            delivered: DeliveredPackets::default(),
            unconfirmed: UnconfirmedFlows::default(),
            cold_start: ColdStartLimiter::default(),
            balancers: Balancers::default(),
            limits: ServiceLimits::default(),
            announcement_sequence: 0,
            announce_to_all: false,
            liveness: BackendLiveness::default(),
            backend_used_at: None,
            response_time: ResponseTime::default(),
            occupancy: Occupancy::default(),
            penalties: FailurePenalties::default(),
            registered: false,
            unregistered_since: None,
        }
    }

    /// Sets the time between two heartbeats of the backend server.
    pub const fn set_heartbeat_interval(&mut self, interval: Duration) {
        self.settings.heartbeat_interval = interval;
    }

    /// Records whether the agent is registered, and returns whether it was before.
    pub const fn replace_registered(&mut self, registered: bool) -> bool {
        std::mem::replace(&mut self.registered, registered)
    }

    /// Sets the maximum age of a flow, for which an idle flow is tracked; returns `true` if the agent
    /// no longer denies unknown flows because of it.
    ///
    /// Flows that the agent has stopped tracking under a lower one may still be open.
    pub fn set_max_flow_age(&mut self, max_flow_age: Duration) -> bool {
        self.settings.max_flow_age = max_flow_age;
        self.backend.on_max_flow_age(max_flow_age)
    }

    /// Returns `true` if the agent must be registered.
    ///
    /// An agent that has heard from no backend server leaves its registration as it is: it may have
    /// restarted beside a running one.
    #[must_use]
    pub fn needs_registration(&self) -> bool {
        let has_run = self.backend.current_run().is_some() || self.backend.has_candidate();
        !self.registered && has_run
    }

    /// Returns `true` if the registration of the agent must be removed.
    #[must_use]
    pub const fn needs_deregistration(&self) -> bool {
        self.registered && self.backend.has_departed()
    }

    /// Returns `true` if the agent may admit flows although a balancer that starts now may not know
    /// of its target.
    fn may_admit_unregistered(&self, now: Instant) -> bool {
        let waited = self.unregistered_since.map(|since| now.since(since));
        waited.unwrap_or_default() >= self.settings.registration_timeout
    }

    /// Handles a packet that a balancer forwarded.
    pub fn on_forwarded_packet(
        &mut self,
        segment: &Segment,
        header: ForwardHeader,
        balancer: SocketAddrV4,
        now: Instant,
    ) -> Verdict {
        self.balancers.on_message(balancer, &self.settings, now);
        match self.admit_packet(segment, &header, now) {
            Ok(Admission::KnownFlow) => {
                self.flows.on_caller_segment(segment, now);
                self.record_delivery(now);
                let sends_confirmation = header.wants_confirmation && !segment.is_syn();
                let confirmation = sends_confirmation.then(|| FlowConfirmation {
                    flow: segment.flow,
                    load: self.target_load(now),
                });
                let mark = self.delivered.insert(balancer, Some(&header));
                Verdict::Deliver { mark, confirmation }
            }
            Ok(admission @ (Admission::NewFlow | Admission::Unverified)) => {
                self.record_delivery(now);
                if header.wants_confirmation && matches!(admission, Admission::Unverified) {
                    self.unconfirmed.insert(segment.flow, balancer, now);
                }
                let mark = self.delivered.insert(balancer, Some(&header));
                Verdict::Deliver {
                    mark,
                    confirmation: None,
                }
            }
            Ok(Admission::Drop) => Verdict::Drop,
            Err(reason) => Verdict::Return(ReturnHeader {
                reason,
                load: self.target_load(now),
                header,
            }),
        }
    }

    /// Handles a packet that the backend server sent.
    ///
    /// `bounced` is the mark of a packet that the backend server bounced, and `None` for a packet
    /// of its own.
    pub fn on_backend_packet(
        &mut self,
        segment: &Segment,
        bounced: Option<u32>,
        now: Instant,
    ) -> OutboundVerdict {
        let Some(mark) = bounced else {
            self.liveness.on_packet();
            if self.flows.get(segment.flow).is_none() {
                self.flows.insert_existing(segment, now);
            }
            let reply = self.flows.on_backend_segment(segment, now);
            match reply {
                Some(RequestOutcome::Answered(waited)) => {
                    self.response_time.record(waited);
                    self.occupancy.record(waited, now);
                    self.penalties.on_response();
                }
                Some(RequestOutcome::Aborted(_)) => {
                    self.penalties.on_failure(now);
                }
                None => {}
            }
            let balancer = self.unconfirmed.take(segment.flow);
            let confirmation = balancer.map(|balancer| {
                let flow = segment.flow;
                let load = self.target_load(now);
                (balancer, FlowConfirmation { flow, load })
            });
            return OutboundVerdict::SendToCaller {
                outcome: reply,
                confirmation,
            };
        };
        self.liveness.on_response();
        let reason = self.on_bounce(segment, now);
        let (Some(reason), Some(packet)) = (reason, self.delivered.take(mark)) else {
            return OutboundVerdict::Drop;
        };
        let load = self.target_load(now);
        let balancer = packet.balancer;
        match packet.header {
            Some(header) => OutboundVerdict::Return {
                balancer,
                returned: ReturnHeader {
                    reason,
                    load,
                    header,
                },
            },
            None => OutboundVerdict::Deny {
                balancer,
                denial: FlowDenial {
                    flow: segment.flow,
                    has_ended: reason == Reason::Ended,
                    load,
                },
            },
        }
    }

    /// Handles a packet that the backend server bounced; returns the reason to return it to its
    /// balancer with, or `None` to drop it.
    fn on_bounce(&mut self, segment: &Segment, now: Instant) -> Option<Reason> {
        let flow = segment.flow;
        let entry = self.flows.get(flow).copied();
        if segment.is_syn() {
            self.flows.remove(flow, now);
            self.liveness.on_unexpected_bounce(now);
            return Some(Reason::Shed);
        }
        match entry.map(|entry| entry.state) {
            // Both ends have closed the flow, so no target needs the packet.
            Some(FlowState::Closed) => None,
            // The backend server held the flow and no longer does.
            Some(FlowState::Established) => {
                self.flows.remove(flow, now);
                self.end_flow(flow, now);
                if entry.is_some_and(|entry| !entry.may_be_lost) {
                    self.liveness.on_unexpected_bounce(now);
                }
                Some(Reason::Ended)
            }
            Some(FlowState::SynReceived(_)) => {
                self.flows.remove(flow, now);
                Some(Reason::NotHeld)
            }
            None => Some(Reason::NotHeld),
        }
    }

    /// Handles a heartbeat of the backend server.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection`] if the heartbeat doesn't describe the current backend server.
    pub fn on_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Result<HeartbeatEffect, Rejection> {
        self.identity.check(heartbeat)?;
        let was_starting = self.backend.has_candidate();
        let had_run = self.backend.has_run();
        let predecessor = self.balancers.knows_predecessor(&self.settings, now);
        let outcome = self
            .backend
            .apply(heartbeat, predecessor, &self.settings, now)?;
        self.backend_used_at = Some(now);
        match outcome {
            HeartbeatEffect::Unchanged => {}
            HeartbeatEffect::StateChanged => self.announce_to_all = true,
            HeartbeatEffect::Starting { .. } => {
                let is_starting = !was_starting && self.backend.has_candidate();
                self.announce_to_all |= is_starting;
                if is_starting && !self.registered {
                    self.unregistered_since = Some(now);
                }
            }
            HeartbeatEffect::Resumed => {
                self.ended_flows.clear();
                self.announce_to_all = true;
            }
            HeartbeatEffect::NewRun {
                replaces_running,
                all_flows_seen,
            } => {
                if !self.registered && !was_starting {
                    self.unregistered_since = Some(now);
                }
                self.announce_to_all = true;
                if had_run {
                    self.flows.on_other_run(now);
                }
                if !replaces_running {
                    self.cold_start.clear();
                }
                if !all_flows_seen {
                    self.cold_start.wait_for_window(now);
                }
                self.liveness = BackendLiveness::default();
                self.response_time = ResponseTime::default();
                self.occupancy = Occupancy::default();
                self.penalties = FailurePenalties::default();
            }
        }
        Ok(outcome)
    }

    /// Handles the notice of a backend server that it terminates.
    ///
    /// Its flows end once its port is closed, which is probed from now on.
    pub fn on_deregistration(&mut self, deregistration: &Deregistration) -> Departure {
        let departure = self.backend.on_deregistration(deregistration);
        self.announce_to_all |= departure == Departure::Accepted;
        departure
    }

    /// Handles a refused packet, which means that no backend server is running; returns `true` if this
    /// wasn't known.
    ///
    /// The socket reports it before it sends another packet, so no flow of a later run ends.
    pub fn on_connection_refused(&mut self, now: Instant) -> bool {
        let ended = self.backend.on_closed_port();
        if ended {
            self.end_all_flows(now);
            self.announce_to_all = true;
        }
        ended
    }

    /// Handles a refused connection of a probe that began at `started_at`; returns `true` if it shows that no
    /// backend server is running, and this wasn't known.
    ///
    /// Another run may have started since, and accepted flows. So the refusal is outdated if the backend server
    /// was used meanwhile, and it is probed again.
    pub fn on_probe_refused(&mut self, started_at: Instant, now: Instant) -> bool {
        if self.backend_used_at.is_some_and(|used| used >= started_at) {
            self.liveness.repeat_probe();
            return false;
        }
        self.on_connection_refused(now)
    }

    /// Handles the reply of a balancer to an announcement.
    pub fn on_balancer_hello(&mut self, hello: &Hello, from: SocketAddrV4, now: Instant) {
        self.balancers.on_message(from, &self.settings, now);
        for balancer in &hello.balancers {
            self.balancers.insert(*balancer, now);
        }
        if hello.service_known && hello.desired_revision >= self.limits.desired_revision {
            self.limits.received = true;
            self.limits.desired_revision = hello.desired_revision;
            self.limits.cold_rate = hello.cold_rate;
            self.limits.max_flows = hello.max_flows;
        }
        if hello.out_domains_revision >= self.limits.out_domains_revision {
            self.limits.out_domains_revision = hello.out_domains_revision;
            self.limits.domain_out = hello.domain_out;
        }
    }

    /// Handles the answer of a balancer that was asked about earlier runs of the agent.
    pub fn on_run_reply(
        &mut self,
        reply: RunReply,
        from: SocketAddrV4,
        now: Instant,
    ) -> Vec<Action> {
        self.balancers.on_message(from, &self.settings, now);
        if reply.run == self.identity.run_id {
            self.balancers.on_run_reply(from, reply.has_predecessor);
        }
        self.apply_predecessor(now)
    }

    /// Applies what the balancers know of earlier runs of the agent.
    fn apply_predecessor(&mut self, now: Instant) -> Vec<Action> {
        let known = self.balancers.knows_predecessor(&self.settings, now);
        let is_new = |has_predecessor: &bool| self.backend.on_predecessor_known(*has_predecessor);
        let Some(has_predecessor) = known.filter(is_new) else {
            return Vec::new();
        };
        let mut actions = vec![Action::PredecessorKnown { has_predecessor }];
        if !has_predecessor {
            self.cold_start.end_wait();
            let tell = |to| Action::TellFlowsKnown { to };
            actions.extend(self.balancers.heard().map(tell));
        }
        actions
    }

    /// Adds the address of a balancer.
    pub fn add_balancer(&mut self, balancer: SocketAddrV4, now: Instant) {
        self.balancers.insert(balancer, now);
    }

    /// Advances timers and returns the actions that are due; to be called several times per second.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let expired = self.flows.expire(&self.settings, now);
        let retention = self.settings.ended_flow_retention;
        self.ended_flows
            .retain(|_, since| now.since(*since) < retention);
        self.unconfirmed.expire(now);
        let mut actions = Vec::new();
        if expired > 0 {
            self.backend.on_flows_expired(self.settings.max_flow_age);
            actions.push(Action::FlowsExpired {
                flows: expired,
                max_age: self.settings.max_flow_age,
            });
        }
        if self.balancers.needs_lookup(&self.settings, now) {
            actions.push(Action::LookUpBalancers);
        }
        // A run that sends no further heartbeat before the serving one may have ended.
        let is_uncertain = self.backend.is_unknown() || self.backend.has_candidate();
        let is_suspect = is_uncertain || self.backend.is_expected_to_end();
        let probes = is_suspect || self.backend.current_run().is_some();
        if probes && self.liveness.take_probe_due(is_suspect, now) {
            actions.push(Action::ProbeBackend);
        }
        actions.extend(self.apply_predecessor(now));
        actions.extend(self.due_announcements(now));
        actions
    }

    /// Returns the announcements that are due, and the questions to their recipients.
    pub fn due_announcements(&mut self, now: Instant) -> Vec<Action> {
        let to_all = std::mem::take(&mut self.announce_to_all);
        let due = self.balancers.due(&self.settings, to_all, now);
        if due.is_empty() {
            return Vec::new();
        }
        self.announcement_sequence += 1;
        let announcement = Announcement {
            run: self.identity.run_id,
            sequence: self.announcement_sequence,
            service: self.identity.service.clone(),
            domain: self.identity.domain.clone(),
            state: self.target_state(),
            load: self.target_load(now),
            hears_recipient: false,
            wants_balancers: false,
        };
        let announce = |recipient: Recipient| Action::Announce {
            to: recipient.address,
            announcement: Announcement {
                hears_recipient: recipient.recently_received,
                wants_balancers: recipient.wants_balancers,
                ..announcement.clone()
            },
        };
        let query = RunQuery {
            run: self.identity.run_id,
        };
        let asks = self.backend.depends_on_predecessor();
        let unasked = due.iter().filter(|recipient| asks && recipient.is_unasked);
        let questions = unasked.map(|recipient| Action::AskBalancer {
            to: recipient.address,
            query,
        });
        let mut actions: Vec<Action> = questions.collect();
        actions.extend(due.into_iter().map(announce));
        actions
    }

    /// Returns the state of the target.
    #[must_use]
    pub fn target_state(&self) -> TargetState {
        self.backend.state()
    }

    /// Returns `true` if the agent has seen every flow that the backend server may hold, so that it
    /// denies the flows that it doesn't know.
    #[must_use]
    pub const fn has_seen_all_flows(&self) -> bool {
        self.backend.has_seen_all_flows()
    }

    /// Returns `true` if a run of the backend server may be starting, so that it gets no flows yet.
    #[must_use]
    pub fn is_backend_starting(&self) -> bool {
        self.backend.has_candidate()
    }

    /// Returns the load of the target.
    pub fn target_load(&mut self, now: Instant) -> Load {
        let run = self.backend.current_run();
        let slots = run.map_or(0, |run| run.slots);
        let is_cold = run.is_some_and(|run| run.is_cold(now));
        let rate = self.cold_rate();
        let cold_flows_left = is_cold.then(|| self.cold_start.remaining(rate, now));
        let reserved = self.penalties.reserved_slots(now);
        Load {
            busy_slots: self.flows.pending_requests().saturating_add(reserved),
            mean_busy_hundredths: self
                .flows
                .mean_pending_hundredths(now)
                .saturating_add(reserved.saturating_mul(100)),
            slots,
            flows: u32::try_from(self.flows.len()).unwrap_or(u32::MAX),
            mean_response_tenths_ms: self.response_time.mean_tenths_ms(),
            cold_flows_left,
        }
    }

    /// Returns the mean number of requests at the backend server over about the last second, as
    /// counted from the packets of each flow.
    pub fn mean_pending_requests(&mut self, now: Instant) -> f32 {
        f32::from(self.flows.mean_pending_hundredths(now)) / 100.0
    }

    /// Returns the same mean by Little's law, from the requests that were answered.
    #[must_use]
    pub fn mean_answered_requests(&self, now: Instant) -> f32 {
        self.occupancy.mean(now)
    }

    /// Records that a packet is delivered to the backend server.
    fn record_delivery(&mut self, now: Instant) {
        self.liveness.on_delivery(now);
        self.backend_used_at = Some(now);
    }

    /// Removes the flows of a terminated backend server, but remembers that it held them.
    fn end_all_flows(&mut self, now: Instant) {
        for flow in self.flows.clear(now) {
            self.end_flow(flow, now);
        }
        self.delivered = DeliveredPackets::default();
        self.liveness = BackendLiveness::default();
    }

    /// Remembers that a flow was held here and has ended.
    fn end_flow(&mut self, flow: Flow, now: Instant) {
        if self.ended_flows.len() < self.settings.max_ended_flows {
            self.ended_flows.insert(flow, now);
        }
    }
}
