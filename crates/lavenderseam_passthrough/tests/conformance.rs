//! Runs the steps of `model/passthrough.pml` against real agents: all sequences up to a fixed
//! length, and longer pseudorandom ones.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lavenderseam_core::rank::score;
use lavenderseam_core::time::Instant;
use lavenderseam_passthrough::agent::{
    Agent, Heartbeat, HeartbeatEffect, Identity, OutboundVerdict, Verdict, Verification,
};
use lavenderseam_passthrough::flow::Flow;
use lavenderseam_passthrough::message::{
    AttemptedTargets, FlowDenial, FlowProbe, ForwardHeader, LocationQuery, LocationReply, Reason,
    ServiceId,
};
use lavenderseam_passthrough::segment::{Flags, Segment};

const SERVICE: &str = "edits";
const AGENTS: usize = 2;
const MAX_SYNS: u32 = 2;
const MAX_DATA_SEGMENTS: u32 = 3;
const MAX_IN_FLIGHT: usize = 2;
const EXHAUSTIVE_STEPS: usize = 8;
const RANDOM_STEPS: usize = 40;
const RANDOM_SEQUENCES: u64 = 20_000;
const NOW: Instant = Instant(3_600_000_000);
const BACKEND: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 2), 8_000);
const BALANCER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 7_000);

/// A packet in flight to an agent, and the agents that have denied its flow.
#[derive(Clone, Debug)]
struct PacketInFlight {
    segment: Segment,
    agent: usize,
    denied: [bool; AGENTS],
}

#[derive(Clone, Debug, Default)]
struct Backend {
    started_at: u64,
    heartbeats: u64,
    /// Number of the connection that the backend server holds, and whether it is established.
    connection: Option<(u32, bool)>,
}

#[derive(Clone, Debug)]
struct State {
    agents: Vec<Agent>,
    backends: Vec<Backend>,
    packets: Vec<PacketInFlight>,
    syn_acks: Vec<u32>,
    /// Connection that the caller follows, which is the first one that it acknowledged.
    acknowledged: Option<u32>,
    connections: u32,
    syns_sent: u32,
    data_segments_sent: u32,
    agent_restarts: u32,
    backend_restarts: u32,
    counts: StepCounts,
}

/// Counts of the steps that the checks depend on, to detect bounds that exclude these steps.
#[derive(Clone, Copy, Debug, Default)]
struct StepCounts {
    resets: u64,
    bounced: u64,
    denied: u64,
    established: u64,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    SendSyn(usize),
    SendData(usize),
    Deliver(usize),
    /// Delivers a copy for verification.
    Verify(usize),
    Drop(usize),
    ReceiveSynAck,
    RestartAgent(usize),
    RestartBackend(usize),
}

fn flow() -> Flow {
    let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 40_000);
    Flow::new(caller, SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443))
}

fn segment(flags: Flags, sequence: u32, acknowledgment: u32, length: u16) -> Segment {
    Segment {
        flow: flow(),
        flags,
        sequence,
        acknowledgment,
        payload_length: length,
    }
}

/// Returns the initial sequence number of a connection.
///
/// The numbers of different connections are far apart, as are those of different backend servers.
fn isn(connection: u32) -> u32 {
    connection.wrapping_mul(0x2000_0001)
}

impl State {
    fn new() -> Self {
        let mut state = Self {
            agents: Vec::new(),
            backends: vec![Backend::default(); AGENTS],
            packets: Vec::new(),
            syn_acks: Vec::new(),
            acknowledged: None,
            connections: 0,
            syns_sent: 0,
            data_segments_sent: 0,
            agent_restarts: 0,
            backend_restarts: 0,
            counts: StepCounts::default(),
        };
        for index in 0..AGENTS {
            state.agents.push(agent(0));
            state.send_heartbeat(index);
        }
        state
    }

    fn enabled_steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let has_room = self.packets.len() < MAX_IN_FLIGHT;
        for agent in 0..AGENTS {
            if has_room && self.syns_sent < MAX_SYNS && self.acknowledged.is_none() {
                steps.push(Step::SendSyn(agent));
            }
            if has_room
                && self.data_segments_sent < MAX_DATA_SEGMENTS
                && self.acknowledged.is_some()
            {
                steps.push(Step::SendData(agent));
            }
            if self.agent_restarts < 1 {
                steps.push(Step::RestartAgent(agent));
            }
            if self.backend_restarts < 1 {
                steps.push(Step::RestartBackend(agent));
            }
        }
        for packet in 0..self.packets.len() {
            steps.push(Step::Deliver(packet));
            if !self.packets[packet].segment.is_syn() {
                steps.push(Step::Verify(packet));
            }
            steps.push(Step::Drop(packet));
        }
        if !self.syn_acks.is_empty() {
            steps.push(Step::ReceiveSynAck);
        }
        steps
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::SendSyn(agent) => {
                self.syns_sent += 1;
                let syn = Flags {
                    syn: true,
                    ..Flags::default()
                };
                self.send(agent, segment(syn, 0, self.syns_sent - 1, 0));
            }
            Step::SendData(agent) => {
                self.data_segments_sent += 1;
                let ack = Flags {
                    ack: true,
                    ..Flags::default()
                };
                let isn = isn(self.acknowledged.unwrap());
                self.send(agent, segment(ack, 1, isn.wrapping_add(1), 100));
            }
            Step::Deliver(packet) => {
                let packet = self.packets.remove(packet);
                self.deliver(packet);
            }
            Step::Verify(packet) => {
                let packet = self.packets.remove(packet);
                self.verify(packet);
            }
            Step::Drop(packet) => {
                self.packets.remove(packet);
            }
            Step::ReceiveSynAck => {
                let connection = self.syn_acks.remove(0);
                self.acknowledged.get_or_insert(connection);
            }
            Step::RestartAgent(index) => {
                self.agent_restarts += 1;
                self.agents[index] = agent(u64::from(self.agent_restarts));
                self.send_heartbeat(index);
            }
            Step::RestartBackend(index) => {
                self.backend_restarts += 1;
                let backend = &mut self.backends[index];
                backend.started_at += 1;
                backend.heartbeats = 0;
                backend.connection = None;
                self.send_heartbeat(index);
            }
        }
    }

    fn send(&mut self, agent: usize, segment: Segment) {
        let denied = [false; AGENTS];
        self.packets.push(PacketInFlight {
            segment,
            agent,
            denied,
        });
    }

    fn send_heartbeat(&mut self, index: usize) {
        // A backend server sends the next heartbeat at once if one isn't acknowledged.
        while matches!(
            self.send_one_heartbeat(index),
            HeartbeatEffect::Starting { .. }
        ) {}
    }

    fn send_one_heartbeat(&mut self, index: usize) -> HeartbeatEffect {
        let backend = &mut self.backends[index];
        backend.heartbeats += 1;
        let heartbeat = Heartbeat {
            id: format!("b-{index}"),
            started_at_ms: backend.started_at,
            sequence: backend.heartbeats,
            service: SERVICE.to_owned(),
            address: BACKEND,
            domain: "a".to_owned(),
            draining: false,
            slots: 8,
            cold_remaining: Duration::ZERO,
        };
        self.agents[index].on_heartbeat(&heartbeat, NOW).unwrap()
    }

    /// Returns `true` if the connection that the caller follows is established at a backend server.
    fn is_held(&self) -> bool {
        let open = |backend: &Backend| {
            backend
                .connection
                .is_some_and(|(connection, open)| open && self.acknowledged == Some(connection))
        };
        self.backends.iter().any(open)
    }

    /// Delivers a packet as a copy for verification.
    fn verify(&mut self, packet: PacketInFlight) {
        let index = packet.agent;
        match self.agents[index].on_verification(&packet.segment, BALANCER, NOW) {
            Verification::Held { mark, .. } | Verification::Deliver { mark } => {
                self.deliver_to_backend(packet, mark);
            }
            Verification::Denied(denial) => self.on_flow_denied(packet, denial),
        }
    }

    fn on_flow_denied(&mut self, packet: PacketInFlight, denial: FlowDenial) {
        let reason = if denial.has_ended {
            Reason::Ended
        } else {
            Reason::NotHeld
        };
        self.on_denied(packet, reason);
    }

    /// Asks an agent about the flow of a packet in flight to it.
    fn location_reply(&mut self, packet: &PacketInFlight) -> LocationReply {
        let probe = FlowProbe {
            flow: packet.segment.flow,
            acknowledgment: Some(packet.segment.acknowledgment),
        };
        let query = LocationQuery {
            number: 1,
            probes: vec![probe],
        };
        self.agents[packet.agent].on_location_query(&query, BALANCER, NOW)
    }

    /// Checks that an agent has answered a location query as it answers a packet of the flow.
    fn check_location_reply(reply: &LocationReply, verdict: &Verdict) {
        let reason = match verdict {
            Verdict::Return(returned) => Some(returned.reason),
            _ => None,
        };
        let is_delivered = matches!(verdict, Verdict::Deliver { .. });
        assert_eq!(!reply.ended.is_empty(), reason == Some(Reason::Ended));
        let may_be_held = !reply.held.is_empty() || !reply.unverified.is_empty();
        assert_eq!(may_be_held, is_delivered, "{reply:?} for {verdict:?}");
    }

    fn deliver(&mut self, packet: PacketInFlight) {
        let header = ForwardHeader {
            service: ServiceId::new(SERVICE),
            wants_confirmation: false,
            attempted: AttemptedTargets::default(),
        };
        let index = packet.agent;
        let reply = self.location_reply(&packet);
        let agent = &mut self.agents[index];
        let verdict = agent.on_forwarded_packet(&packet.segment, header, BALANCER, NOW);
        if !packet.segment.is_syn() {
            Self::check_location_reply(&reply, &verdict);
        }
        match verdict {
            Verdict::Deliver { mark, .. } => self.deliver_to_backend(packet, mark),
            Verdict::Return(returned) => self.on_denied(packet, returned.reason),
            Verdict::Drop => {}
        }
    }

    fn deliver_to_backend(&mut self, packet: PacketInFlight, mark: u32) {
        let index = packet.agent;
        let backend = &mut self.backends[index];
        if packet.segment.is_syn() {
            let (connection, _) = *backend.connection.get_or_insert_with(|| {
                self.connections += 1;
                (self.connections, false)
            });
            let flags = Flags {
                syn: true,
                ack: true,
                ..Flags::default()
            };
            self.agents[index].on_backend_packet(&segment(flags, isn(connection), 1, 0), None, NOW);
            self.syn_acks.push(connection);
            return;
        }
        let matches_connection =
            |connection: u32| isn(connection).wrapping_add(1) == packet.segment.acknowledgment;
        match &mut backend.connection {
            Some((connection, open)) if matches_connection(*connection) => {
                *open = true;
                self.counts.established += 1;
                let flags = Flags {
                    ack: true,
                    ..Flags::default()
                };
                let response = segment(flags, isn(*connection).wrapping_add(1), 101, 50);
                self.agents[index].on_backend_packet(&response, None, NOW);
            }
            _ => {
                self.counts.bounced += 1;
                match self.agents[index].on_backend_packet(&packet.segment, Some(mark), NOW) {
                    OutboundVerdict::Return { returned, .. } => {
                        self.on_denied(packet, returned.reason);
                    }
                    OutboundVerdict::Deny { denial, .. } => self.on_flow_denied(packet, denial),
                    OutboundVerdict::Drop => {}
                    OutboundVerdict::SendToCaller { .. } => {
                        panic!("bounced packet was sent to the caller")
                    }
                }
            }
        }
    }

    fn on_denied(&mut self, mut packet: PacketInFlight, reason: Reason) {
        self.counts.denied += 1;
        packet.denied[packet.agent] = true;
        let is_data = !packet.segment.is_syn();
        let is_reset = reason == Reason::Ended || packet.denied.iter().all(|denied| *denied);
        if is_data && is_reset {
            self.counts.resets += 1;
            assert!(!self.is_held(), "reset of a held flow: {self:?}");
        }
        if !is_reset {
            packet.agent = 1 - packet.agent;
            self.packets.push(packet);
        }
    }
}

fn agent(run: u64) -> Agent {
    Agent::new(Identity {
        service: SERVICE.to_owned(),
        domain: "a".to_owned(),
        backend_address: BACKEND,
        run_id: run,
    })
}

fn explore(state: &State, depth: usize, counts: &mut StepCounts) {
    counts.add(state.counts);
    if depth == 0 {
        return;
    }
    for step in state.enabled_steps() {
        let mut next = state.clone();
        next.counts = StepCounts::default();
        next.apply(step);
        explore(&next, depth - 1, counts);
    }
}

impl StepCounts {
    fn add(&mut self, other: Self) {
        self.resets += other.resets;
        self.bounced += other.bounced;
        self.denied += other.denied;
        self.established += other.established;
    }

    fn assert_all_positive(self) {
        let all = [self.resets, self.bounced, self.denied, self.established];
        assert!(all.iter().all(|count| *count > 0), "{self:?}");
    }
}

#[test]
fn exhaustive_short_sequences_never_reset_held_flow() {
    let mut counts = StepCounts::default();
    explore(&State::new(), EXHAUSTIVE_STEPS, &mut counts);
    counts.assert_all_positive();
}

#[test]
fn random_long_sequences_never_reset_held_flow() {
    let mut counts = StepCounts::default();
    for sample in 0..RANDOM_SEQUENCES {
        let mut state = State::new();
        for step in 0..RANDOM_STEPS {
            let steps = state.enabled_steps();
            let Some(last) = steps.len().checked_sub(1) else {
                break;
            };
            let choice = score(sample, step as u64) % (last as u64 + 1);
            state.apply(steps[choice as usize]);
        }
        counts.add(state.counts);
    }
    counts.assert_all_positive();
}
