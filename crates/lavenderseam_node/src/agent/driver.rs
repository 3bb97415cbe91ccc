//! Drives the agent's state machine with packets, messages, calls and ticks.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use ::http::StatusCode;
use lavenderseam_core::time::Instant;
use lavenderseam_passthrough::agent::{
    Action, Agent, Departure, Deregistration, Heartbeat, HeartbeatEffect, OutboundVerdict,
    Rejection, RequestOutcome, Verdict, Verification,
};
use lavenderseam_passthrough::message::{ForwardHeader, Message, ReturnHeader};
use lavenderseam_passthrough::segment::Segment;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::{Directory, HeartbeatReply};
use crate::codec::PacketCodec;
use crate::http::{Request, Service, ServiceResponse};
use crate::log::{DependencyChange, Event, LogKey};
use crate::metrics::{DisplayLabel, ReasonLabel, RejectionLabel};
use crate::process::{DynamicSettings, ProcessContext};
use crate::socket::DatagramSocket;

/// Timeout of a liveness probe, which connects to the backend server on the same VM.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay after the first failed registration, which doubles with each further failure.
const INITIAL_REGISTRATION_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay between attempts to register.
const MAX_REGISTRATION_DELAY: Duration = Duration::from_secs(4);

/// An agent's state machine with its sockets, packet codec and process context.
#[derive(Debug)]
pub(crate) struct Driver<C> {
    /// Decoder and encoder of packets.
    pub(crate) codec: C,
    /// Clock, log, metrics and message socket of the agent.
    pub(crate) process: ProcessContext,
    /// State machine that decides about packets, heartbeats and announcements.
    pub(crate) agent: RefCell<Agent>,
    /// Socket that sends packets to callers.
    pub(crate) packet_socket: DatagramSocket,
    /// Socket that receives packets of the backend server.
    pub(crate) outbound_socket: DatagramSocket,
    /// Socket that sends packets to the backend server.
    pub(crate) backend_socket: DatagramSocket,
    /// Address of the backend server, for liveness probes.
    pub(crate) backend_address: SocketAddrV4,
    /// Wakes the task that maintains the registration, when the backend server departs or returns.
    pub(crate) registration_changed: Notify,
    /// `true` while a liveness probe is running.
    pub(crate) is_probing: Cell<bool>,
}

/// Readiness endpoint of an agent, which is ready as long as it runs.
pub(crate) struct ReadinessService;

impl<C: PacketCodec> Driver<C> {
    /// Adds balancers to contact, by their message addresses.
    pub(crate) fn add_seeds(&self, seeds: &[SocketAddrV4]) {
        let now = self.process.clock.now();
        let mut agent = self.agent.borrow_mut();
        for seed in seeds {
            agent.add_balancer(*seed, now);
        }
    }

    /// Applies the settings that may change while the process runs.
    pub(crate) fn apply_settings(&self, settings: &DynamicSettings) {
        for error in &settings.errors {
            self.process.record_malformed("settings", error);
        }
        self.add_seeds(&settings.seeds);
        if let Some(interval) = settings.heartbeat_interval {
            self.agent.borrow_mut().set_heartbeat_interval(interval);
        }
        if let Some(max_flow_age) = settings.max_flow_age {
            let stops_denying = self.agent.borrow_mut().set_max_flow_age(max_flow_age);
            if stops_denying {
                self.log_backend_state("", "maximum flow age raised");
            }
        }
    }

    /// Receives and handles messages of balancers forever.
    pub(crate) async fn receive_messages(&self) {
        self.process
            .peer_socket
            .receive(|received| match received {
                Ok((Message::Forward(header), bytes, from)) => {
                    self.handle_packet(header, bytes, from);
                }
                Ok((Message::Hello(hello), _, from)) => {
                    let now = self.process.clock.now();
                    self.agent.borrow_mut().on_balancer_hello(&hello, from, now);
                    if !hello.balancers.is_empty() {
                        self.announce();
                    }
                }
                Ok((Message::RunReply(reply), _, from)) => {
                    let now = self.process.clock.now();
                    let actions = self.agent.borrow_mut().on_run_reply(reply, from, now);
                    for action in actions {
                        self.perform(action);
                    }
                }
                Ok((Message::Verify, bytes, from)) => self.verify_packet(bytes, from),
                Ok((Message::LocationQuery(query), _, from)) => {
                    let now = self.process.clock.now();
                    self.process.metrics.location_queries.inc();
                    let mut agent = self.agent.borrow_mut();
                    let reply = agent.on_location_query(&query, from, now);
                    self.process.send(&Message::LocationReply(reply), &[], from);
                }
                Ok((_, _, from)) => {
                    self.process.record_malformed(
                        "process",
                        &format!("{from} sent a message for a balancer to this agent"),
                    );
                }
                Err(error) => self.process.record_message_error(&error),
            })
            .await;
    }

    /// Receives packets of the backend server forever and handles each.
    pub(crate) async fn receive_outbound(&self) {
        self.outbound_socket
            .receive(|received| match received {
                Ok((bytes, _)) => self.handle_backend_packet(bytes),
                Err(error) => self.process.record_socket_error("outbound", &error),
            })
            .await;
    }

    /// Watches forever for errors which show that the backend server's port is closed.
    pub(crate) async fn watch_backend_port(&self) {
        self.backend_socket
            .receive(|received| match received {
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    self.handle_port_closed();
                }
                Err(error) => self.process.record_socket_error("backend", &error),
            })
            .await;
    }

    /// Ticks the state machine forever and executes its actions.
    pub(crate) async fn run_ticks(self: Rc<Self>, period: Duration, directory: Rc<impl Directory>) {
        loop {
            let now = self.process.clock.now();
            let actions = self.agent.borrow_mut().tick(now);
            for action in actions {
                match action {
                    Action::LookUpBalancers => {
                        let (task_driver, directory) = (Rc::clone(&self), Rc::clone(&directory));
                        tokio::task::spawn_local(async move {
                            task_driver.find_balancers(directory.as_ref()).await;
                        });
                    }
                    Action::ProbeBackend => {
                        let task_driver = Rc::clone(&self);
                        tokio::task::spawn_local(async move { task_driver.probe().await });
                    }
                    Action::FlowsExpired { flows, max_age } => {
                        self.process.metrics.expired.inc_by(flows as u64);
                        self.process.log(&Event::FlowsExpired {
                            flows,
                            max_age_ms: max_age.as_millis() as u64,
                        });
                    }
                    Action::Announce { .. }
                    | Action::AskBalancer { .. }
                    | Action::TellFlowsKnown { .. }
                    | Action::PredecessorKnown { .. } => self.perform(action),
                }
            }
            self.update_metrics(now);
            self.process.log.flush(now);
            tokio::time::sleep(period).await;
        }
    }

    /// Updates the metrics of the current load.
    fn update_metrics(&self, now: Instant) {
        let mut agent = self.agent.borrow_mut();
        let load = agent.target_load(now);
        let metrics = &self.process.metrics;
        metrics.flows.set(i64::from(load.flows));
        metrics.busy.set(i64::from(load.busy_slots));
        metrics
            .pending_mean
            .set(agent.mean_pending_requests(now).into());
        metrics
            .answered_mean
            .set(agent.mean_answered_requests(now).into());
    }

    /// Handles a heartbeat of the backend server.
    pub(crate) fn handle_heartbeat(&self, heartbeat: &Heartbeat) -> HeartbeatReply {
        let now = self.process.clock.now();
        let outcome = self.agent.borrow_mut().on_heartbeat(heartbeat, now);
        let reason = match outcome {
            Ok(HeartbeatEffect::Unchanged) => return HeartbeatReply::Acknowledged,
            Ok(HeartbeatEffect::Starting { is_new: false }) => return HeartbeatReply::TooEarly,
            Ok(HeartbeatEffect::Starting { is_new: true }) => "starting",
            Ok(HeartbeatEffect::StateChanged) => "changed",
            Ok(HeartbeatEffect::Resumed) => "resumed",
            Ok(HeartbeatEffect::NewRun {
                replaces_running: false,
                ..
            }) => "started",
            Ok(HeartbeatEffect::NewRun {
                replaces_running: true,
                ..
            }) => "replaced",
            Err(rejection) => {
                self.record_rejection(heartbeat, &rejection);
                return HeartbeatReply::Rejected;
            }
        };
        self.registration_changed.notify_one();
        self.process.log(&Event::BackendStateChanged {
            id: heartbeat.id.clone(),
            state: self.agent.borrow().target_state(),
            sequence: Some(heartbeat.sequence),
            all_flows_seen: self.agent.borrow().has_seen_all_flows(),
            reason,
        });
        self.announce();
        let is_starting = self.agent.borrow().is_backend_starting();
        if is_starting || matches!(outcome, Ok(HeartbeatEffect::Starting { .. })) {
            HeartbeatReply::TooEarly
        } else {
            HeartbeatReply::Acknowledged
        }
    }

    /// Counts and logs a heartbeat that the agent rejects.
    fn record_rejection(&self, heartbeat: &Heartbeat, rejection: &Rejection) {
        let reason = rejection.name();
        let label = RejectionLabel { reason };
        let rejected = &self.process.metrics.heartbeats_rejected;
        rejected.get_or_create(&label).inc();
        self.process.log(&Event::HeartbeatRejected {
            id: heartbeat.id.clone(),
            started_at_ms: heartbeat.started_at_ms,
            sequence: heartbeat.sequence,
            reason,
            error: rejection.to_string(),
        });
    }

    /// Handles the notice of a backend server that it terminates.
    pub(crate) fn handle_deregistration(&self, deregistration: &Deregistration) {
        let departure = self.agent.borrow_mut().on_deregistration(deregistration);
        let reason = match departure {
            Departure::Accepted => "departed",
            Departure::Unexpected => "departure announced without a drain",
            Departure::OtherRun => "departure of another run ignored",
        };
        self.report_backend_exit(&deregistration.id, reason);
    }

    /// Records the metrics of a request that was answered, or whose flow ended without an answer.
    fn record_reply(&self, segment: &Segment, reply: RequestOutcome, now: Instant) {
        let metrics = &self.process.metrics;
        match reply {
            RequestOutcome::Answered(waited) => {
                metrics.answer_seconds.0.observe(waited.as_secs_f64());
            }
            RequestOutcome::Aborted(waited) => {
                metrics.broken.inc();
                self.process.log(&Event::RequestUnanswered {
                    flow: segment.flow,
                    waited_ms: waited.as_millis() as u64,
                    load: self.agent.borrow_mut().target_load(now),
                });
            }
        }
    }

    /// Handles a packet to the backend server that was refused because its port is closed.
    fn handle_port_closed(&self) {
        let now = self.process.clock.now();
        if self.agent.borrow_mut().on_connection_refused(now) {
            self.report_backend_exit("", "port closed");
        }
    }

    /// Logs that the backend server has exited or announces it, and tells the balancers what has changed.
    fn report_backend_exit(&self, id: &str, reason: &'static str) {
        self.registration_changed.notify_one();
        self.log_backend_state(id, reason);
        self.announce();
    }

    /// Logs what the agent knows of the backend server, without a heartbeat.
    fn log_backend_state(&self, id: &str, reason: &'static str) {
        self.process.log(&Event::BackendStateChanged {
            id: id.to_owned(),
            state: self.agent.borrow().target_state(),
            sequence: None,
            all_flows_seen: self.agent.borrow().has_seen_all_flows(),
            reason,
        });
    }

    /// Announces the state of the target to the balancers at once.
    fn announce(&self) {
        let now = self.process.clock.now();
        let actions = self.agent.borrow_mut().due_announcements(now);
        for action in actions {
            self.perform(action);
        }
    }

    /// Sends the message of an action to a balancer, or logs what the balancers have told.
    fn perform(&self, action: Action) {
        let (message, to) = match action {
            Action::Announce { to, announcement } => (Message::Announcement(announcement), to),
            Action::AskBalancer { to, query } => {
                self.process.metrics.run_queries.inc();
                (Message::RunQuery(query), to)
            }
            Action::TellFlowsKnown { to } => (Message::FlowsKnown, to),
            Action::PredecessorKnown { has_predecessor } => {
                let reason = if has_predecessor {
                    "earlier agent known"
                } else {
                    "no earlier agent known"
                };
                return self.log_backend_state("", reason);
            }
            Action::LookUpBalancers | Action::ProbeBackend | Action::FlowsExpired { .. } => return,
        };
        self.process.send(&message, &[], to);
    }

    /// Handles a packet that a balancer forwarded to this agent.
    fn handle_packet(&self, header: ForwardHeader, bytes: &mut [u8], balancer: SocketAddrV4) {
        self.process.metrics.packets.inc();
        let now = self.process.clock.now();
        let segment = match self.codec.decode_from_caller(bytes) {
            Ok(packet) => packet.segment,
            Err(error) => return self.process.record_malformed("balancer", &error),
        };
        if segment.is_syn() {
            self.process.metrics.openers.inc();
        }
        let verdict = {
            let mut agent = self.agent.borrow_mut();
            agent.on_forwarded_packet(&segment, header, balancer, now)
        };
        match verdict {
            Verdict::Deliver { mark, confirmation } => {
                self.process.metrics.forwarded.inc();
                self.codec.write_mark(bytes, mark);
                self.deliver(bytes);
                if let Some(confirmation) = confirmation {
                    self.process
                        .send(&Message::FlowHeld(confirmation), &[], balancer);
                }
            }
            Verdict::Return(returned) => self.return_packet(&segment, returned, bytes, balancer),
            Verdict::Drop => {}
        }
    }

    /// Handles a copy of a packet whose flow the backend server may hold.
    fn verify_packet(&self, bytes: &mut [u8], balancer: SocketAddrV4) {
        self.process.metrics.verifications.inc();
        let now = self.process.clock.now();
        let segment = match self.codec.decode_from_caller(bytes) {
            Ok(packet) => packet.segment,
            Err(error) => return self.process.record_malformed("balancer", &error),
        };
        let verification = {
            let mut agent = self.agent.borrow_mut();
            agent.on_verification(&segment, balancer, now)
        };
        match verification {
            Verification::Held { mark, confirmation } => {
                self.codec.write_mark(bytes, mark);
                self.deliver(bytes);
                self.process
                    .send(&Message::FlowHeld(confirmation), &[], balancer);
            }
            Verification::Deliver { mark } => {
                self.codec.write_mark(bytes, mark);
                self.deliver(bytes);
            }
            Verification::Denied(denial) => {
                self.process
                    .send(&Message::FlowDenied(denial), &[], balancer);
            }
        }
    }

    /// Sends a packet to the backend server.
    fn deliver(&self, bytes: &[u8]) {
        match self.backend_socket.send(bytes) {
            Ok(()) => {}
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                self.handle_port_closed();
            }
            Err(error) => self.process.record_socket_error("backend", &error),
        }
    }

    /// Returns a packet undelivered to a balancer.
    fn return_packet(
        &self,
        segment: &Segment,
        returned: ReturnHeader,
        bytes: &[u8],
        balancer: SocketAddrV4,
    ) {
        let reason = returned.reason;
        let label = ReasonLabel {
            reason: DisplayLabel(reason),
        };
        self.process.metrics.returned.get_or_create(&label).inc();
        let event = || Event::ReturnSent {
            flow: segment.flow,
            opener: segment.is_syn(),
            balancer,
            reason,
            load: returned.load,
        };
        let now = self.process.clock.now();
        self.process
            .log
            .write_lazy(LogKey::return_sent(reason), event, now);
        self.process
            .send(&Message::Return(returned), bytes, balancer);
    }

    /// Handles a packet that the backend server sent or bounced.
    fn handle_backend_packet(&self, bytes: &mut [u8]) {
        let now = self.process.clock.now();
        let packet = match self.codec.decode_from_backend(bytes) {
            Ok(packet) => packet,
            Err(error) => return self.process.record_malformed("backend", &error),
        };
        let segment = &packet.segment;
        let outbound = {
            let mut agent = self.agent.borrow_mut();
            agent.on_backend_packet(segment, packet.bounced_mark, now)
        };
        match outbound {
            OutboundVerdict::Deny { balancer, denial } => {
                self.process
                    .send(&Message::FlowDenied(denial), &[], balancer);
            }
            OutboundVerdict::SendToCaller {
                outcome: reply,
                confirmation,
            } => {
                if let Some((balancer, confirmation)) = confirmation {
                    self.process
                        .send(&Message::FlowHeld(confirmation), &[], balancer);
                }
                if let Some(reply) = reply {
                    self.record_reply(segment, reply, now);
                }
                let caller = self.codec.caller_address(segment);
                if let Err(error) = self.packet_socket.send_to(bytes, caller) {
                    self.process.record_socket_error("packets", &error);
                }
            }
            OutboundVerdict::Return { balancer, returned } => {
                self.codec.write_mark(bytes, 0);
                self.return_packet(segment, returned, bytes, balancer);
            }
            OutboundVerdict::Drop => {}
        }
    }

    /// Registers the agent once its backend server runs, and removes the registration once it has
    /// departed, forever; retries what fails.
    pub(crate) async fn maintain_registration(&self, directory: &impl Directory) {
        let mut delay = INITIAL_REGISTRATION_DELAY;
        loop {
            let needs_update = {
                let agent = self.agent.borrow();
                agent.needs_registration() || agent.needs_deregistration()
            };
            if !needs_update {
                delay = INITIAL_REGISTRATION_DELAY;
                self.registration_changed.notified().await;
            } else if !self.update_registration(directory).await {
                tokio::time::sleep(delay).await;
                delay = (delay * 2).min(MAX_REGISTRATION_DELAY);
            }
        }
    }

    /// Registers the agent or removes its registration; logs a failure and returns `false`.
    pub(crate) async fn update_registration(&self, directory: &impl Directory) -> bool {
        self.process.metrics.store_calls.inc();
        // No flow may be admitted while the registration may be gone.
        let was_registered = self.agent.borrow_mut().replace_registered(false);
        let result = if was_registered {
            directory.deregister().await
        } else {
            directory.register().await
        };
        let is_updated = result.is_ok();
        if let Err(error) = result {
            self.record_store_error(&error);
        }
        let registered = was_registered != is_updated;
        self.agent.borrow_mut().replace_registered(registered);
        is_updated
    }

    /// Counts and logs a failed request to the store.
    fn record_store_error(&self, error: &impl std::fmt::Display) {
        self.process.metrics.store_errors.inc();
        self.process.log(&Event::Dependency {
            name: "store",
            change: DependencyChange::Lost,
            reason: error.to_string(),
        });
    }

    /// Looks up balancers in the directory and adds them as seeds.
    async fn find_balancers(&self, directory: &impl Directory) {
        match directory.balancers().await {
            Ok(balancers) => self.add_seeds(&balancers),
            Err(error) => self.record_store_error(&error),
        }
    }

    /// Probes the backend server with a TCP connection; a refused one means that it has exited.
    async fn probe(&self) {
        if self.is_probing.replace(true) {
            return;
        }
        let address = SocketAddr::V4(self.backend_address);
        let started_at = self.process.clock.now();
        let connected = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
        self.is_probing.set(false);
        if let Ok(Err(error)) = connected
            && error.kind() == io::ErrorKind::ConnectionRefused
        {
            let now = self.process.clock.now();
            if self.agent.borrow_mut().on_probe_refused(started_at, now) {
                self.report_backend_exit("", "connection refused");
            }
        }
    }
}

impl Service for ReadinessService {
    fn handle(&self, _: &Request) -> ServiceResponse {
        ServiceResponse::empty(StatusCode::OK)
    }
}
