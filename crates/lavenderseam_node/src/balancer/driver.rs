//! Drives the balancer's state machine with packets, messages and ticks.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ::http::StatusCode;
use lavenderseam_core::catalog::{Epoch, Revision};
use lavenderseam_core::time::Instant;
use lavenderseam_passthrough::balancer::{
    Action, Balancer, Checkpoint, DiscardReason, Resolution, SearchAction, Verdict,
};
use lavenderseam_passthrough::desired::RegisteredAgent;
use lavenderseam_passthrough::flow::Flow;
use lavenderseam_passthrough::message::{Announcement, LocationReply, Message, ReturnHeader};
use lavenderseam_passthrough::segment::Segment;

use tokio::sync::{Notify, mpsc, watch};

use super::held::HeldPackets;
use super::records::{self, RecordKind, RecordSource};
use crate::codec::PacketCodec;
use crate::http::{Request, Service, ServiceResponse};
use crate::log::{Event, LogKey, PacketAction};
use crate::metrics::{CauseLabel, DisplayLabel, ReasonLabel};
use crate::process::{DynamicSettings, ProcessContext};
use crate::socket::DatagramSocket;

/// Fraction of the shutdown grace period during which the balancer still forwards packets, so that
/// the network fabric has moved the flows to other balancers before the process exits.
const FORWARDING_SHARE_OF_GRACE_PERIOD: f64 = 0.6;

/// A balancer's state machine with its sockets, packet codec and process context.
#[derive(Debug)]
pub(crate) struct Driver<C> {
    /// Decoder and encoder of packets.
    pub(crate) codec: C,
    /// Clock, log, metrics and message socket of the balancer.
    pub(crate) process: ProcessContext,
    /// State machine that decides about packets, targets and records.
    pub(crate) balancer: RefCell<Balancer>,
    /// Socket that receives callers' packets and sends resets.
    pub(crate) packet_socket: DatagramSocket,
    /// Buffer in which resets are encoded.
    pub(crate) reset_buffer: RefCell<Vec<u8>>,
    /// Packets of flows whose owner is being searched for.
    pub(crate) held_packets: RefCell<HeldPackets>,
    /// Wakes the task that runs the searches, after a packet has been held.
    pub(crate) search_started: Notify,
    /// Reports about silent agents, to be written to the store.
    pub(crate) silence_reports: mpsc::UnboundedSender<RegisteredAgent>,
    /// Open flows, by number of the partition, to be written to the store.
    pub(crate) checkpoints: mpsc::UnboundedSender<(u32, Checkpoint)>,
    /// `true` if the desired state requires checkpoints of open flows.
    pub(crate) keeps_checkpoints: watch::Sender<bool>,
    /// Readiness at the last update of the status.
    pub(crate) was_ready: Cell<bool>,
    /// `true` once a signal has requested shutdown.
    pub(crate) is_stopping: Cell<bool>,
    /// Time of the store's last answer to a list or watch, by kind of record.
    pub(crate) store_answered_at: RefCell<BTreeMap<RecordKind, Instant>>,
    /// Newest epoch of the store that this process or another balancer has seen, and the time at
    /// which this process learned of it; `None` at first.
    pub(crate) epoch: watch::Sender<Option<(Epoch, Instant)>>,
}

/// Readiness endpoint of a balancer.
pub(crate) struct ReadinessService<C>(pub(crate) Rc<Driver<C>>);

impl<C: PacketCodec> Driver<C> {
    /// Adds balancers to contact, by their message addresses.
    pub(crate) fn add_seeds(&self, seeds: &[SocketAddrV4]) {
        let now = self.process.clock.now();
        let mut balancer = self.balancer.borrow_mut();
        for seed in seeds {
            balancer.add_peer(*seed, now);
        }
    }

    /// Applies the settings that may change while the process runs.
    pub(crate) fn apply_settings(&self, settings: &DynamicSettings) {
        for error in &settings.errors {
            self.process.record_malformed("settings", error);
        }
        self.add_seeds(&settings.seeds);
        if let Some(max_flow_age) = settings.max_flow_age {
            self.balancer.borrow_mut().set_max_flow_age(max_flow_age);
        }
    }

    /// Receives packets of callers forever and handles each.
    pub(crate) async fn receive_packets(&self) {
        self.packet_socket
            .receive(|received| match received {
                Ok((bytes, _)) => self.handle_packet(bytes),
                Err(error) => self.process.record_socket_error("packets", &error),
            })
            .await;
    }

    /// Receives and handles messages of agents and other balancers forever.
    pub(crate) async fn receive_messages(&self) {
        self.process
            .peer_socket
            .receive(|received| match received {
                Ok((message, packet, from)) => self.handle_message(message, packet, from),
                Err(error) => self.process.record_message_error(&error),
            })
            .await;
    }

    /// Ticks the state machine forever and executes its actions.
    pub(crate) async fn run_ticks(self: Rc<Self>, period: Duration) {
        loop {
            let now = self.process.clock.now();
            let actions = self.balancer.borrow_mut().tick(now);
            for action in actions {
                self.execute(action);
            }
            self.update_status();
            self.process.log.flush(now);
            tokio::time::sleep(period).await;
        }
    }

    /// Runs the searches for the owners of flows forever.
    pub(crate) async fn run_searches(&self) {
        loop {
            let next_at = self.balancer.borrow().next_search_at();
            let Some(next_at) = next_at else {
                self.search_started.notified().await;
                continue;
            };
            let now = self.process.clock.now();
            if next_at > now {
                // A search that starts meanwhile may be due earlier.
                let sleep = tokio::time::sleep(next_at.since(now));
                tokio::select! {
                    () = sleep => {}
                    () = self.search_started.notified() => {}
                }
                continue;
            }
            let actions = self.balancer.borrow_mut().poll_searches(now);
            self.apply_search_actions(actions, now);
            tokio::task::yield_now().await;
        }
    }

    /// Reports itself as not ready and waits while packets are still forwarded.
    ///
    /// The wait lets the network fabric move flows to other balancers.
    pub(crate) async fn stop(&self, grace_period: Duration) {
        self.is_stopping.set(true);
        self.process.log(&Event::Stop);
        tokio::time::sleep(grace_period.mul_f64(FORWARDING_SHARE_OF_GRACE_PERIOD)).await;
    }

    /// Updates the metrics of the current state, and logs a change of readiness.
    pub(crate) fn update_status(&self) {
        self.update_record_metrics();
        let balancer = self.balancer.borrow();
        let ready = balancer.is_ready(self.process.clock.now()) && !self.is_stopping.get();
        let flows = i64::try_from(balancer.cached_flows()).unwrap_or(i64::MAX);
        drop(balancer);
        self.process.metrics.flows.set(flows);
        if self.was_ready.replace(ready) != ready {
            self.process.log(&Event::Ready { ready });
        }
    }

    /// Returns the longest time that a packet or message read now may have waited in its socket.
    fn backlog_age(&self) -> Duration {
        self.packet_socket
            .backlog_age()
            .max(self.process.peer_socket.backlog_age())
    }

    /// Handles a packet of a caller.
    fn handle_packet(&self, bytes: &[u8]) {
        self.process.metrics.packets.inc();
        let now = self.process.clock.now();
        let segment = match self.codec.decode_from_caller(bytes) {
            Ok(packet) => packet.segment,
            Err(error) => {
                self.process.metrics.malformed.inc();
                self.process.log(&Event::MalformedInput {
                    source: "caller",
                    error: error.to_string(),
                });
                return;
            }
        };
        if segment.is_syn() {
            self.process.metrics.openers.inc();
        }
        let verdict = {
            let mut balancer = self.balancer.borrow_mut();
            balancer.set_queue_delay(self.backlog_age());
            balancer.on_caller_packet(&segment, now)
        };
        self.apply_verdict(verdict, &segment, bytes, now);
    }

    /// Forwards, resets or drops a packet as the state machine decided.
    fn apply_verdict(&self, verdict: Verdict, segment: &Segment, bytes: &[u8], now: Instant) {
        match verdict {
            Verdict::Forward { agent, header } => {
                self.process.metrics.forwarded.inc();
                self.process.send(&Message::Forward(header), bytes, agent);
            }
            Verdict::Hold => self.hold_packet(segment, bytes, now),
            Verdict::Reset(reason) => {
                self.log_unroutable(segment, PacketAction::Reset, reason, now);
                self.send_reset(segment, reason);
            }
            Verdict::Drop(reason) => self.drop_packet(segment, reason, now),
        }
    }

    /// Resets the flow of a packet at its caller, and counts the reset.
    fn send_reset(&self, segment: &Segment, reason: DiscardReason) {
        let label = CauseLabel {
            cause: DisplayLabel(reason),
        };
        self.process.metrics.resets.get_or_create(&label).inc();
        let mut reset = self.reset_buffer.borrow_mut();
        self.codec.encode_reset(segment, &mut reset);
        let caller = self.codec.caller_address(segment);
        if let Err(error) = self.packet_socket.send_to(&reset, caller) {
            self.process.record_socket_error("packets", &error);
        }
    }

    /// Counts and logs a packet that is dropped.
    fn drop_packet(&self, segment: &Segment, reason: DiscardReason, now: Instant) {
        let label = CauseLabel {
            cause: DisplayLabel(reason),
        };
        self.process.metrics.drops.get_or_create(&label).inc();
        self.log_unroutable(segment, PacketAction::Drop, reason, now);
    }

    /// Keeps a packet until the owner of its flow is known.
    fn hold_packet(&self, segment: &Segment, bytes: &[u8], now: Instant) {
        if self.held_packets.borrow_mut().insert(segment, bytes) {
            self.process.metrics.held.inc();
        } else {
            self.drop_packet(segment, DiscardReason::SearchLimit, now);
        }
        self.search_started.notify_one();
    }

    /// Sends location queries, and handles the packets of flows whose search has ended.
    fn apply_search_actions(&self, actions: Vec<SearchAction>, now: Instant) {
        for action in actions {
            match action {
                SearchAction::Query { agent, query } => {
                    self.process.metrics.location_queries.inc();
                    self.process
                        .send(&Message::LocationQuery(query), &[], agent);
                }
                SearchAction::AskBalancer { balancer, query } => {
                    self.process.metrics.targets_queries.inc();
                    let query = Message::TargetsQuery(query);
                    self.process.send(&query, &[], balancer);
                    // The task that runs the searches repeats lost queries.
                    self.search_started.notify_one();
                }
                SearchAction::Verify { flow, agents } => self.send_verifications(flow, &agents),
                SearchAction::Resolve { flow, resolution } => {
                    self.release_packets(flow, resolution, now);
                }
                SearchAction::ResetIdle {
                    flow,
                    acknowledgment,
                    owner,
                    known_for,
                    reason,
                } => {
                    let event = || Event::IdleFlowReset {
                        flow,
                        owner,
                        known_ms: known_for.as_millis() as u64,
                        reason,
                    };
                    let key = LogKey::idle_flow_reset(reason);
                    self.process.log.write_lazy(key, event, now);
                    let last_segment = Segment::acknowledgment_of(flow, acknowledgment);
                    self.send_reset(&last_segment, reason);
                }
            }
        }
    }

    /// Sends a copy of a flow's most recent kept packet to agents.
    fn send_verifications(&self, flow: Flow, agents: &[SocketAddrV4]) {
        let held_packets = self.held_packets.borrow();
        let Some(packet) = held_packets.last(flow) else {
            return;
        };
        for agent in agents {
            self.process.metrics.verifications.inc();
            self.process.send(&Message::Verify, &packet.bytes, *agent);
        }
    }

    /// Handles the packets that were kept while the owner of their flow was searched for.
    fn release_packets(&self, flow: Flow, resolution: Resolution, now: Instant) {
        let packets = self.held_packets.borrow_mut().remove(flow);
        for packet in packets {
            let segment = packet.segment;
            let verdict = resolution
                .verdict(&segment)
                .unwrap_or_else(|| self.balancer.borrow_mut().on_caller_packet(&segment, now));
            self.apply_verdict(verdict, &segment, &packet.bytes, now);
        }
    }

    /// Logs a packet that can't be forwarded.
    fn log_unroutable(
        &self,
        segment: &Segment,
        action: PacketAction,
        reason: DiscardReason,
        now: Instant,
    ) {
        let event = || {
            let balancer = self.balancer.borrow();
            let desired_state = balancer.desired_state();
            Event::UnroutablePacket {
                flow: segment.flow,
                opener: segment.is_syn(),
                action,
                reason,
                revision: desired_state
                    .map_or_else(Revision::default, |desired_state| desired_state.revision)
                    .into(),
                disabled_domains: balancer.out_of_service_domains().revision.number(),
                targets: balancer.count_targets(segment.flow, now),
                premises: (reason == DiscardReason::Unowned).then(|| balancer.premises(now)),
            }
        };
        self.process
            .log
            .write_lazy(LogKey::unroutable_packet(reason), event, now);
    }

    /// Handles a message of an agent or another balancer.
    fn handle_message(&self, message: Message, packet: &[u8], from: SocketAddrV4) {
        let now = self.process.clock.now();
        match message {
            Message::Return(returned) => self.handle_returned(returned, packet, from, now),
            Message::FlowHeld(held) => {
                let actions = self.balancer.borrow_mut().on_flow_held(&held, from, now);
                self.apply_search_actions(actions, now);
            }
            Message::FlowDenied(denial) => {
                let actions = {
                    let mut balancer = self.balancer.borrow_mut();
                    balancer.on_flow_denied(&denial, from, now)
                };
                self.apply_search_actions(actions, now);
            }
            Message::Announcement(announced) => self.handle_announcement(&announced, from, now),
            Message::Gossip(gossip) => {
                self.observe_epoch(gossip.epoch(), RecordSource::Peer);
                self.balancer.borrow_mut().on_gossip(&gossip, from, now);
            }
            Message::LocationReply(reply) => self.handle_location_reply(&reply, from, now),
            Message::TargetsQuery(query) => {
                let reply = self
                    .balancer
                    .borrow_mut()
                    .on_targets_query(query, from, now);
                self.process.send(&Message::TargetsReply(reply), &[], from);
            }
            Message::TargetsReply(reply) => {
                let actions = {
                    let mut balancer = self.balancer.borrow_mut();
                    balancer.on_targets_reply(&reply, from, now)
                };
                self.apply_search_actions(actions, now);
            }
            Message::RunQuery(query) => {
                let reply = self.balancer.borrow().on_run_query(query, from);
                self.process.send(&Message::RunReply(reply), &[], from);
            }
            Message::FlowsKnown => {
                let actions = self.balancer.borrow_mut().on_flows_known(from, now);
                self.start_queries(actions, now);
            }
            Message::FlowReport(report) => {
                let mut balancer = self.balancer.borrow_mut();
                balancer.on_flow_report(&report, from, now);
            }
            Message::Forward(_)
            | Message::Hello(_)
            | Message::LocationQuery(_)
            | Message::RunReply(_)
            | Message::Verify => {
                self.process.log(&Event::MalformedInput {
                    source: "process",
                    error: format!("{from} sent a message for an agent to this balancer"),
                });
            }
        }
    }

    /// Handles the answer of an agent to a location query.
    fn handle_location_reply(&self, reply: &LocationReply, agent: SocketAddrV4, now: Instant) {
        let actions = {
            let mut balancer = self.balancer.borrow_mut();
            balancer.on_location_reply(reply, agent, now)
        };
        self.apply_search_actions(actions, now);
    }

    /// Handles a packet that an agent returned undelivered.
    fn handle_returned(
        &self,
        returned: ReturnHeader,
        bytes: &[u8],
        agent: SocketAddrV4,
        now: Instant,
    ) {
        let label = ReasonLabel {
            reason: DisplayLabel(returned.reason),
        };
        self.process.metrics.returned.get_or_create(&label).inc();
        let segment = match self.codec.decode_from_caller(bytes) {
            Ok(packet) => packet.segment,
            Err(error) => {
                self.process.metrics.malformed.inc();
                self.process.log(&Event::MalformedInput {
                    source: "agent",
                    error: error.to_string(),
                });
                return;
            }
        };
        let event = || Event::ReturnReceived {
            flow: segment.flow,
            opener: segment.is_syn(),
            agent,
            reason: returned.reason,
            load: returned.load,
            attempted: returned.header.attempted.clone(),
        };
        self.process
            .log
            .write_lazy(LogKey::return_received(returned.reason), event, now);
        let verdict = {
            let mut balancer = self.balancer.borrow_mut();
            balancer.set_queue_delay(self.backlog_age());
            balancer.on_returned_packet(&segment, returned, agent, now)
        };
        self.apply_verdict(verdict, &segment, bytes, now);
    }

    /// Handles an announcement of an agent, and replies to it.
    fn handle_announcement(&self, announcement: &Announcement, agent: SocketAddrV4, now: Instant) {
        let announced = {
            let mut balancer = self.balancer.borrow_mut();
            balancer.on_announcement(announcement, agent, now)
        };
        if announced.target_changed {
            self.process.log(&Event::Target {
                agent,
                service: announcement.service.clone(),
                domain: announcement.domain.clone(),
                state: announcement.state,
                load: announcement.load,
            });
            self.update_status();
        }
        self.process
            .send(&Message::Hello(announced.reply), &[], agent);
        self.start_queries(announced.actions, now);
    }

    /// Sends queries that no packet has caused.
    pub(super) fn start_queries(&self, actions: Vec<SearchAction>, now: Instant) {
        if !actions.is_empty() {
            self.apply_search_actions(actions, now);
            // The task that runs the searches repeats lost queries.
            self.search_started.notify_one();
        }
    }

    /// Executes an action of the state machine.
    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Gossip { to, gossip } => self.process.send(&Message::Gossip(gossip), &[], to),
            Action::FetchRecords { rpc } => {
                let task_driver = Rc::clone(self);
                tokio::task::spawn_local(
                    async move { records::fetch_records(&task_driver, rpc).await },
                );
            }
            Action::SendHello { agent, hello } => {
                self.process.send(&Message::Hello(hello), &[], agent);
            }
            Action::ReportSilence { agent, is_silent } => {
                self.process
                    .log(&Event::SilenceReported { agent, is_silent });
                // The receiver lives as long as the task that reads the records.
                let _ = self.silence_reports.send(RegisteredAgent {
                    address: agent,
                    is_silent,
                });
            }
            Action::QueryFlows { agent, query } => {
                let now = self.process.clock.now();
                self.start_queries(vec![SearchAction::Query { agent, query }], now);
            }
            Action::ReportFlows { to, report } => {
                self.process.send(&Message::FlowReport(report), &[], to);
            }
            Action::WriteCheckpoint {
                partition,
                checkpoint,
            } => {
                // The receiver lives as long as the task that reads the records.
                let _ = self.checkpoints.send((partition, checkpoint));
            }
            Action::AgentExpired { agent } => self.process.log(&Event::AgentExpired { agent }),
        }
    }
}

impl<C: PacketCodec> Service for ReadinessService<C> {
    fn handle(&self, _: &Request) -> ServiceResponse {
        let driver = &self.0;
        let ready = driver
            .balancer
            .borrow()
            .is_ready(driver.process.clock.now());
        if ready && !driver.is_stopping.get() {
            ServiceResponse::empty(StatusCode::OK)
        } else {
            ServiceResponse::empty(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}
