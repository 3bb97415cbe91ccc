//! Discrete-event simulation of a service: callers, balancers, agents and backend servers in
//! simulated time.
//!
//! Balancers and agents are the real state machines. The network only delays and drops messages,
//! and the backend servers are minimal models with slots, a queue and flows.

#![allow(dead_code, reason = "each test file uses a part of it")]

mod backend;
mod caller;
mod network;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lavenderseam_core::catalog::Revision;
use lavenderseam_core::time::Instant;
use lavenderseam_passthrough::agent::{self, Agent, HeartbeatEffect};
use lavenderseam_passthrough::balancer::{self, Balancer, Checkpoint};
use lavenderseam_passthrough::desired::{
    DesiredState, OutOfServiceDomains, RegisteredAgent, Repeatability, Route, ServiceLimits,
    WeightedService,
};
use lavenderseam_passthrough::flow::Flow;
use lavenderseam_passthrough::message::Message;
use lavenderseam_passthrough::segment::Segment;

pub use backend::Backend;
pub use caller::{Caller, Outcome};

pub const SERVICE: &str = "edits";
pub const VIRTUAL_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const PROCESS_PORT: u16 = 7_000;
const TICK_US: u64 = 100_000;
const HEARTBEAT_US: u64 = 800_000;
/// Time until the next heartbeat after one that wasn't acknowledged.
const UNACKNOWLEDGED_HEARTBEAT_US: u64 = 50_000;
/// Packets and messages that the receive buffers of a balancer hold.
const RECEIVE_BUFFER_PACKETS: u64 = 400;
/// One-way latencies in microseconds: within a failure domain, between two domains, and to callers.
const LOCAL_LATENCY_US: u64 = 200;
const CROSS_DOMAIN_LATENCY_US: u64 = 1_400;
const CALLER_LATENCY_US: u64 = 1_000;

/// Event of the simulation.
#[derive(Clone, Debug)]
enum Event {
    Tick,
    Heartbeat(usize),
    Packet(usize, Segment),
    Message {
        to: SocketAddrV4,
        from: SocketAddrV4,
        message: Message,
        packet: Option<Segment>,
    },
    /// A balancer reads a packet or message from its receive queue. The duration is the time for
    /// which the queue had a backlog: from when it was last empty until this read.
    ReadQueued(usize, Duration, Box<Event>),
    ToBackend(usize, Segment, u32),
    FromBackend(usize, Segment, Option<u32>),
    RequestDone(usize, Flow, u64),
    ToCaller(Segment),
    Reset(Flow),
    Timer(usize, u64),
    PollSearches(usize),
    Call(usize),
}

/// A node with a backend server and its agent.
pub struct TargetNode {
    pub agent: Option<Agent>,
    pub backend: Backend,
    pub domain: String,
    pub service: String,
    pub address: SocketAddrV4,
    runs: u64,
    /// Time of the next heartbeat.
    next_heartbeat_us: u64,
}

/// A node that runs a balancer.
pub struct BalancerNode {
    pub balancer: Option<Balancer>,
    pub domain: String,
    pub address: SocketAddrV4,
    /// Packets that the balancer keeps while it searches for the owners of their flows.
    held_packets: BTreeMap<Flow, Vec<Segment>>,
    /// Messages that the balancer has received.
    pub messages: u64,
    /// Time that the balancer needs for each packet or message, in microseconds.
    pub cost_us: u64,
    /// Time at which the balancer will have handled everything in its receive queue.
    idle_at_us: u64,
    /// Time since which the receive queue of the balancer has never been empty.
    busy_since_us: u64,
}

/// Messages, with the packets that they carry, and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SearchCost {
    pub messages: u64,
    pub bytes: u64,
}

type Callback = Box<dyn FnOnce(&mut Simulation)>;

/// State of the simulation.
pub struct Simulation {
    now_us: u64,
    last_event_id: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    callbacks: Vec<Option<Callback>>,
    pub balancer_nodes: Vec<BalancerNode>,
    pub target_nodes: Vec<TargetNode>,
    pub callers: Vec<Caller>,
    pub desired_state: DesiredState,
    pub out_of_service: OutOfServiceDomains,
    /// Pairs of addresses that can't reach each other.
    pub cuts: BTreeSet<(SocketAddrV4, SocketAddrV4)>,
    /// Pairs of addresses where messages from the first to the second are lost.
    pub one_way_cuts: BTreeSet<(SocketAddrV4, SocketAddrV4)>,
    /// Packets that agents have returned to balancers.
    pub returned: u64,
    /// Agents that balancers have reported as silent.
    pub silent_agents: BTreeSet<SocketAddrV4>,
    /// Open flows that balancers have written to the store, by partition.
    pub checkpoints: BTreeMap<u32, Checkpoint>,
    /// Copies of packets that balancers have sent for verification.
    pub verifications: u64,
    /// Location queries that balancers have sent.
    pub queries: u64,
    /// Messages that the search for the owners of open flows has cost, and their bytes.
    pub search_cost: SearchCost,
    /// Percentage of messages between processes that are lost.
    pub loss_percent: u64,
    /// Flows that were reset although a running backend server held them open.
    pub resets_of_held_flows: Vec<Flow>,
    /// Resets that balancers have sent.
    pub resets: u64,
    /// `true` if the network routes each further attempt of a caller to another balancer.
    pub rotates_balancers: bool,
    next_port: u32,
}

impl Simulation {
    /// Creates a simulation with a balancer in each of the failure domains `balancers`, and a
    /// target with `slots` slots in each of `nodes`.
    pub fn new(balancers: &[&str], nodes: &[&str], slots: usize) -> Self {
        let mut sim = Self {
            now_us: 3_600_000_000,
            last_event_id: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            callbacks: Vec::new(),
            balancer_nodes: Vec::new(),
            target_nodes: Vec::new(),
            callers: Vec::new(),
            desired_state: desired_state(None),
            out_of_service: OutOfServiceDomains::default(),
            cuts: BTreeSet::new(),
            one_way_cuts: BTreeSet::new(),
            returned: 0,
            silent_agents: BTreeSet::new(),
            checkpoints: BTreeMap::new(),
            queries: 0,
            verifications: 0,
            search_cost: SearchCost::default(),
            loss_percent: 0,
            resets_of_held_flows: Vec::new(),
            resets: 0,
            rotates_balancers: false,
            next_port: 0,
        };
        for domain in balancers {
            sim.add_balancer(domain);
        }
        for domain in nodes {
            sim.add_node(domain, slots);
        }
        for index in 0..balancers.len() {
            sim.start_balancer(index);
        }
        for index in 0..nodes.len() {
            sim.join(index);
        }
        sim.schedule(0, Event::Tick);
        sim.run_for(Duration::from_secs(4));
        sim
    }

    /// Adds a balancer that isn't started; returns its index.
    pub fn add_balancer(&mut self, domain: &str) -> usize {
        let index = self.balancer_nodes.len();
        self.balancer_nodes.push(BalancerNode {
            balancer: None,
            domain: domain.to_owned(),
            address: process_address(1, index),
            held_packets: BTreeMap::new(),
            messages: 0,
            cost_us: 0,
            idle_at_us: 0,
            busy_since_us: 0,
        });
        index
    }

    /// Adds a node whose agent isn't started; returns its index.
    pub fn add_node(&mut self, domain: &str, slots: usize) -> usize {
        let index = self.target_nodes.len();
        self.target_nodes.push(TargetNode {
            agent: None,
            backend: Backend::new(slots, index as u32 + 1),
            domain: domain.to_owned(),
            service: SERVICE.to_owned(),
            address: process_address(2, index),
            runs: 0,
            next_heartbeat_us: 0,
        });
        index
    }

    /// Adds a node of another service, and starts it; returns its index.
    pub fn add_node_of(&mut self, service: &str, domain: &str, slots: usize) -> usize {
        let index = self.add_node(domain, slots);
        self.target_nodes[index].service = service.to_owned();
        self.target_nodes[index].backend.service = service.to_owned();
        self.join(index);
        index
    }

    /// Starts the agent of a node and the heartbeats of its backend server.
    pub fn join(&mut self, index: usize) {
        self.start_agent(index);
        self.schedule_heartbeat(index, 0);
    }

    /// Returns the registrations of all agents.
    pub fn registrations(&self) -> Vec<RegisteredAgent> {
        let registration = |node: &TargetNode| RegisteredAgent {
            address: node.address,
            is_silent: false,
        };
        self.target_nodes.iter().map(registration).collect()
    }

    /// Schedules the next heartbeat of a backend server, in place of the one scheduled before.
    fn schedule_heartbeat(&mut self, index: usize, delay_us: u64) {
        self.target_nodes[index].next_heartbeat_us = self.now_us + delay_us;
        self.schedule(delay_us, Event::Heartbeat(index));
    }

    pub fn start_balancer(&mut self, index: usize) {
        let peers: Vec<_> = self
            .balancer_nodes
            .iter()
            .map(|balancer_node| balancer_node.address)
            .collect();
        let balancer_node = &self.balancer_nodes[index];
        let mut balancer = Balancer::new(balancer::Identity {
            domain: balancer_node.domain.clone(),
            address: balancer_node.address,
            rpc_address: balancer_node.address,
        });
        balancer.set_desired_state(self.desired_state.clone());
        balancer.set_out_of_service_domains(self.out_of_service.clone());
        let now = Instant(self.now_us);
        for peer in peers {
            balancer.add_peer(peer, now);
        }
        self.balancer_nodes[index].balancer = Some(balancer);
        self.balancer_nodes[index].held_packets.clear();
    }

    pub fn start_agent(&mut self, index: usize) {
        let seeds: Vec<_> = self
            .balancer_nodes
            .iter()
            .map(|balancer_node| balancer_node.address)
            .collect();
        let now = self.instant();
        let node = &mut self.target_nodes[index];
        node.runs += 1;
        let mut agent = Agent::new(agent::Identity {
            service: node.service.clone(),
            domain: node.domain.clone(),
            backend_address: node.address,
            run_id: node.runs,
        });
        for seed in seeds {
            agent.add_balancer(seed, now);
        }
        node.agent = Some(agent);
    }

    /// Stops a backend server without notice: its flows are lost and its port is closed.
    pub fn crash_backend(&mut self, index: usize) {
        let now = self.instant();
        let node = &mut self.target_nodes[index];
        node.backend.stop();
        if let Some(agent) = &mut node.agent {
            agent.on_connection_refused(now);
        }
    }

    pub fn start_backend(&mut self, index: usize, cold: Duration) {
        self.start_backend_unheard(index, cold, Duration::ZERO);
    }

    /// Starts a backend server that sends its first heartbeat after a delay.
    pub fn start_backend_unheard(&mut self, index: usize, cold: Duration, delay: Duration) {
        let now_us = self.now_us;
        self.target_nodes[index].backend.start(now_us, cold);
        self.schedule_heartbeat(index, as_micros(delay));
    }

    /// Applies a desired state at all balancers.
    pub fn apply_desired_state(&mut self, desired_state: DesiredState) {
        self.desired_state = desired_state;
        for balancer_node in &mut self.balancer_nodes {
            if let Some(balancer) = &mut balancer_node.balancer {
                balancer.set_desired_state(self.desired_state.clone());
            }
        }
    }

    /// Runs a closure after a delay.
    pub fn call_after(&mut self, span: Duration, callback: impl FnOnce(&mut Simulation) + 'static) {
        self.callbacks.push(Some(Box::new(callback)));
        self.schedule(as_micros(span), Event::Call(self.callbacks.len() - 1));
    }

    /// Sends requests at a constant rate to one balancer for some time.
    pub fn add_load(&mut self, balancer: usize, per_second: u64, span: Duration, work: Duration) {
        let period = 1_000_000 / per_second;
        for index in 0..as_micros(span) / period {
            self.call_after(Duration::from_micros(index * period), move |sim| {
                sim.send_request_to(balancer, work);
            });
        }
    }

    /// Sends one request to a balancer; returns the index of its caller.
    pub fn send_request_to(&mut self, balancer: usize, request_duration: Duration) -> usize {
        let caller = self.callers.len();
        self.callers
            .push(Caller::new(balancer, self.now_us, request_duration));
        self.open_flow(caller);
        caller
    }

    pub fn run_for(&mut self, span: Duration) {
        let end_us = self.now_us + as_micros(span);
        while let Some(Reverse((at, event_id))) = self.queue.peek().copied() {
            if at > end_us {
                break;
            }
            self.queue.pop();
            self.now_us = at;
            let event = self.events.remove(&event_id).unwrap();
            self.receive(event);
        }
        self.now_us = end_us;
    }

    pub fn instant(&self) -> Instant {
        Instant(self.now_us)
    }

    /// Returns the fraction of the requests sent since `from` that have been answered.
    pub fn answered_fraction(&self, from: Instant) -> f64 {
        let sent = self
            .callers
            .iter()
            .filter(|caller| caller.started_at_us >= from.0);
        let (mut total, mut answered) = (0u32, 0u32);
        for caller in sent {
            total += 1;
            answered += u32::from(caller.outcome == Outcome::Answered);
        }
        f64::from(answered) / f64::from(total)
    }

    /// Returns the time from a caller's first attempt to its response, or `None` if there was none.
    pub fn latency(&self, caller: usize) -> Option<Duration> {
        let caller = &self.callers[caller];
        let ended_at_us = caller.ended_at_us?;
        (caller.outcome == Outcome::Answered)
            .then(|| Duration::from_micros(ended_at_us - caller.started_at_us))
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.last_event_id += 1;
        self.queue
            .push(Reverse((self.now_us + delay_us, self.last_event_id)));
        self.events.insert(self.last_event_id, event);
    }

    fn receive(&mut self, event: Event) {
        let reader = match &event {
            Event::Packet(balancer_node, _) => Some(*balancer_node),
            Event::Message { to, .. } => self.balancer_index(*to),
            _ => None,
        };
        match reader {
            Some(index) if self.balancer_nodes[index].cost_us > 0 => self.enqueue(index, event),
            _ => self.dispatch(event),
        }
    }

    /// Appends a packet or message to the receive queue of a balancer, or drops it if the queue is
    /// full.
    fn enqueue(&mut self, index: usize, event: Event) {
        let balancer_node = &mut self.balancer_nodes[index];
        let queue_delay = balancer_node.idle_at_us.saturating_sub(self.now_us);
        if queue_delay == 0 {
            balancer_node.busy_since_us = self.now_us;
        }
        if queue_delay >= RECEIVE_BUFFER_PACKETS * balancer_node.cost_us {
            return;
        }
        balancer_node.idle_at_us = self.now_us + queue_delay + balancer_node.cost_us;
        let backlog =
            Duration::from_micros(self.now_us + queue_delay - balancer_node.busy_since_us);
        self.schedule(
            queue_delay,
            Event::ReadQueued(index, backlog, Box::new(event)),
        );
    }

    fn balancer_index(&self, address: SocketAddrV4) -> Option<usize> {
        let mut balancer_nodes = self.balancer_nodes.iter();
        balancer_nodes.position(|balancer_node| balancer_node.address == address)
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick_all(),
            Event::Heartbeat(node) => self.send_heartbeat(node),
            Event::ReadQueued(balancer_node, backlog, event) => {
                if let Some(balancer) = &mut self.balancer_nodes[balancer_node].balancer {
                    balancer.set_queue_delay(backlog);
                }
                self.dispatch(*event);
            }
            Event::Packet(index, segment) => self.packet_to_balancer(index, &segment),
            Event::Message {
                to,
                from,
                message,
                packet,
            } => self.deliver_message(to, from, message, packet),
            Event::ToBackend(node, segment, mark) => self.on_backend_segment(node, segment, mark),
            Event::FromBackend(node, segment, bounced) => {
                self.packet_from_backend(node, &segment, bounced);
            }
            Event::RequestDone(node, flow, run) => self.on_request_done(node, flow, run),
            Event::ToCaller(segment) => self.on_caller_segment(&segment),
            Event::Reset(flow) => self.reset_caller(flow),
            Event::Timer(caller, timer) => self.on_timer(caller, timer),
            Event::PollSearches(index) => self.poll_searches(index),
            Event::Call(index) => {
                let callback = self.callbacks[index].take().unwrap();
                callback(self);
            }
        }
    }

    fn tick_all(&mut self) {
        let now = self.instant();
        for index in 0..self.balancer_nodes.len() {
            let from = self.balancer_nodes[index].address;
            let Some(balancer) = &mut self.balancer_nodes[index].balancer else {
                continue;
            };
            for action in balancer.tick(now) {
                match action {
                    balancer::Action::Gossip { to, gossip } => {
                        self.send(from, to, Message::Gossip(gossip), None);
                    }
                    balancer::Action::FetchRecords { rpc } => self.fetch(index, rpc),
                    balancer::Action::SendHello { agent, hello } => {
                        self.send(from, agent, Message::Hello(hello), None);
                    }
                    balancer::Action::ReportSilence { agent, is_silent } => {
                        if is_silent {
                            self.silent_agents.insert(agent);
                        } else {
                            self.silent_agents.remove(&agent);
                        }
                    }
                    balancer::Action::QueryFlows { agent, query } => {
                        self.send(from, agent, Message::LocationQuery(query), None);
                    }
                    balancer::Action::ReportFlows { to, report } => {
                        self.send(from, to, Message::FlowReport(report), None);
                    }
                    balancer::Action::WriteCheckpoint {
                        partition,
                        checkpoint,
                    } => {
                        self.checkpoints.insert(partition, checkpoint);
                    }
                    balancer::Action::AgentExpired { .. } => {}
                }
            }
        }
        for index in 0..self.target_nodes.len() {
            let from = self.target_nodes[index].address;
            let Some(agent) = &mut self.target_nodes[index].agent else {
                continue;
            };
            let actions = agent.tick(now);
            self.announce(from, actions);
        }
        self.schedule(TICK_US, Event::Tick);
    }

    /// Copies the targets known to another balancer.
    fn fetch(&mut self, index: usize, rpc: SocketAddrV4) {
        let now = self.instant();
        let own = self.balancer_nodes[index].address;
        if self.is_disconnected(own, rpc) {
            return;
        }
        let other = self
            .balancer_nodes
            .iter()
            .find(|balancer_node| balancer_node.address == rpc);
        let snapshots = other
            .and_then(|balancer_node| balancer_node.balancer.as_ref())
            .map(|other| other.target_snapshots(now));
        let balancer = self.balancer_nodes[index].balancer.as_mut();
        if let (Some(snapshots), Some(balancer)) = (snapshots, balancer) {
            balancer.merge_targets(&snapshots, now);
        }
    }

    fn is_disconnected(&self, from: SocketAddrV4, to: SocketAddrV4) -> bool {
        let cut = self.cuts.contains(&(from, to)) || self.cuts.contains(&(to, from));
        cut || self.one_way_cuts.contains(&(from, to))
    }

    pub(super) fn announce(&mut self, from: SocketAddrV4, actions: Vec<agent::Action>) {
        for action in actions {
            match action {
                agent::Action::Announce { to, announcement } => {
                    self.send(from, to, Message::Announcement(announcement), None);
                }
                agent::Action::AskBalancer { to, query } => {
                    self.send(from, to, Message::RunQuery(query), None);
                }
                agent::Action::TellFlowsKnown { to } => {
                    self.send(from, to, Message::FlowsKnown, None);
                }
                _ => {}
            }
        }
    }

    fn send_heartbeat(&mut self, index: usize) {
        let now = self.instant();
        let node = &mut self.target_nodes[index];
        if node.next_heartbeat_us != self.now_us {
            return;
        }
        let from = node.address;
        let heartbeat = node.next_heartbeat(self.now_us);
        let mut interval = UNACKNOWLEDGED_HEARTBEAT_US;
        if let (Some(heartbeat), Some(agent)) = (heartbeat, &mut node.agent) {
            // The agent may reject a heartbeat that is out of order, which some tests cause on
            // purpose.
            let effect = agent.on_heartbeat(&heartbeat, now);
            if !matches!(effect, Ok(HeartbeatEffect::Starting { .. })) {
                interval = HEARTBEAT_US;
            }
            let actions = agent.due_announcements(now);
            self.announce(from, actions);
        }
        self.schedule_heartbeat(index, interval);
    }
}

/// Returns a desired state with one service.
pub fn desired_state(cold_rate: Option<f64>) -> DesiredState {
    let service = ServiceLimits {
        cold_rate,
        max_flows: Some(2_000),
    };
    DesiredState {
        revision: Revision(1),
        version: 1,
        services: BTreeMap::from([(SERVICE.to_owned(), service)]),
        routes: vec![Route {
            address: VIRTUAL_ADDRESS,
            services: vec![WeightedService {
                service: SERVICE.to_owned(),
                weight: 1,
            }],
            repeatability: Repeatability::AtMostOnce,
        }],
        idle_timeout: Duration::from_secs(15),
    }
}

pub fn process_address(kind: u8, index: usize) -> SocketAddrV4 {
    let [_, _, high, low] = (index as u32 + 1).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, kind, high, low), PROCESS_PORT)
}

fn as_micros(span: Duration) -> u64 {
    span.as_micros() as u64
}
