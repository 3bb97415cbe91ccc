//! The steps of `model/passthrough.pml` against real agents: every sequence up to a bound, and
//! long ones drawn from seeds.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lavenderseam_core::rank::score;
use lavenderseam_core::time::Instant;
use lavenderseam_passthrough::agent::{Agent, Heartbeat, Outbound, Place, Verdict};
use lavenderseam_passthrough::flow::Flow;
use lavenderseam_passthrough::message::{Carry, Reason, ServiceTag, Trail};
use lavenderseam_passthrough::segment::{Flags, Segment};

const SERVICE: &str = "edits";
const AGENTS: usize = 2;
const OPENERS: u32 = 2;
const CONTINUING: u32 = 3;
const IN_FLIGHT: usize = 2;
const SHORT: usize = 8;
const LONG: usize = 40;
const SAMPLES: u64 = 20_000;
const NOW: Instant = Instant(3_600_000_000);
const BALANCER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 7_000);

/// A packet on its way to an agent, with those that have denied it.
#[derive(Clone, Debug)]
struct Sent {
    segment: Segment,
    agent: usize,
    denied: [bool; AGENTS],
}

#[derive(Clone, Debug, Default)]
struct Backend {
    born: u64,
    beats: u64,
    /// Number of the flow that it holds, and whether it is open.
    holds: Option<(u32, bool)>,
}

#[derive(Clone, Debug)]
struct State {
    agents: Vec<Agent>,
    backends: Vec<Backend>,
    packets: Vec<Sent>,
    answers: Vec<u32>,
    follows: Option<u32>,
    numbers: u32,
    openers: u32,
    sent: u32,
    agent_restarts: u32,
    backend_restarts: u32,
    seen: Seen,
}

/// How often the steps that matter were taken, so that the bounds can't leave them out.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    given_up: u64,
    tried: u64,
    denied: u64,
    opened: u64,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Open(usize),
    Continue(usize),
    Deliver(usize),
    Lose(usize),
    Answer,
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
        length,
    }
}

/// Numbers are far apart, as sequence numbers of different backend servers are.
fn sequence(number: u32) -> u32 {
    number.wrapping_mul(0x2000_0001)
}

impl State {
    fn new() -> Self {
        let mut state = Self {
            agents: Vec::new(),
            backends: vec![Backend::default(); AGENTS],
            packets: Vec::new(),
            answers: Vec::new(),
            follows: None,
            numbers: 0,
            openers: 0,
            sent: 0,
            agent_restarts: 0,
            backend_restarts: 0,
            seen: Seen::default(),
        };
        for index in 0..AGENTS {
            state.agents.push(agent(0));
            state.beat(index);
        }
        state
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let room = self.packets.len() < IN_FLIGHT;
        for agent in 0..AGENTS {
            if room && self.openers < OPENERS && self.follows.is_none() {
                steps.push(Step::Open(agent));
            }
            if room && self.sent < CONTINUING && self.follows.is_some() {
                steps.push(Step::Continue(agent));
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
            steps.push(Step::Lose(packet));
        }
        if !self.answers.is_empty() {
            steps.push(Step::Answer);
        }
        steps
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Open(agent) => {
                self.openers += 1;
                let syn = Flags {
                    syn: true,
                    ..Flags::default()
                };
                self.send(agent, segment(syn, 0, self.openers - 1, 0));
            }
            Step::Continue(agent) => {
                self.sent += 1;
                let ack = Flags {
                    ack: true,
                    ..Flags::default()
                };
                let number = sequence(self.follows.unwrap());
                self.send(agent, segment(ack, 1, number.wrapping_add(1), 100));
            }
            Step::Deliver(packet) => {
                let sent = self.packets.remove(packet);
                self.deliver(sent);
            }
            Step::Lose(packet) => {
                self.packets.remove(packet);
            }
            Step::Answer => {
                let number = self.answers.remove(0);
                self.follows.get_or_insert(number);
            }
            Step::RestartAgent(index) => {
                self.agent_restarts += 1;
                self.agents[index] = agent(u64::from(self.agent_restarts));
                self.beat(index);
            }
            Step::RestartBackend(index) => {
                self.backend_restarts += 1;
                let backend = &mut self.backends[index];
                backend.born += 1;
                backend.beats = 0;
                backend.holds = None;
                self.beat(index);
            }
        }
    }

    fn send(&mut self, agent: usize, segment: Segment) {
        let denied = [false; AGENTS];
        self.packets.push(Sent {
            segment,
            agent,
            denied,
        });
    }

    fn beat(&mut self, index: usize) {
        let backend = &mut self.backends[index];
        backend.beats += 1;
        let beat = Heartbeat {
            id: format!("b-{index}"),
            born: Some(backend.born),
            sequence: backend.beats,
            service: SERVICE.to_owned(),
            draining: false,
            slots: 8,
            cold: Duration::ZERO,
        };
        self.agents[index].heartbeat(&beat, NOW).unwrap();
    }

    /// The flow is open at the backend server that the caller follows.
    fn is_held(&self) -> bool {
        let open = |backend: &Backend| {
            backend
                .holds
                .is_some_and(|(number, open)| open && self.follows == Some(number))
        };
        self.backends.iter().any(open)
    }

    fn deliver(&mut self, sent: Sent) {
        let carry = Carry {
            service: ServiceTag::new(SERVICE),
            asks: false,
            trail: Trail::default(),
        };
        let index = sent.agent;
        match self.agents[index].carried(&sent.segment, carry, BALANCER, NOW) {
            Verdict::Deliver { mark, .. } => self.backend_takes(sent, mark),
            Verdict::Return(returned) => self.deny(sent, returned.reason),
            Verdict::Drop => {}
        }
    }

    fn backend_takes(&mut self, sent: Sent, mark: u32) {
        let index = sent.agent;
        let backend = &mut self.backends[index];
        if sent.segment.is_opener() {
            let (number, _) = *backend.holds.get_or_insert_with(|| {
                self.numbers += 1;
                (self.numbers, false)
            });
            let flags = Flags {
                syn: true,
                ack: true,
                ..Flags::default()
            };
            self.agents[index].outbound(&segment(flags, sequence(number), 1, 0), None, NOW);
            self.answers.push(number);
            return;
        }
        let fits = |number: u32| sequence(number).wrapping_add(1) == sent.segment.acknowledgment;
        match &mut backend.holds {
            Some((number, open)) if fits(*number) => {
                *open = true;
                self.seen.opened += 1;
                let flags = Flags {
                    ack: true,
                    ..Flags::default()
                };
                let answer = segment(flags, sequence(*number).wrapping_add(1), 101, 50);
                self.agents[index].outbound(&answer, None, NOW);
            }
            _ => {
                self.seen.tried += 1;
                match self.agents[index].outbound(&sent.segment, Some(mark), NOW) {
                    Outbound::Return { returned, .. } => self.deny(sent, returned.reason),
                    Outbound::Drop => {}
                    Outbound::Caller { .. } => panic!("a bounced packet went to the caller"),
                }
            }
        }
    }

    fn deny(&mut self, mut sent: Sent, reason: Reason) {
        self.seen.denied += 1;
        sent.denied[sent.agent] = true;
        let continues = !sent.segment.is_opener();
        let resets = reason == Reason::Ended || sent.denied.iter().all(|denied| *denied);
        if continues && resets {
            self.seen.given_up += 1;
            assert!(!self.is_held(), "a flow that is held is reset: {self:?}");
        }
        if !resets {
            sent.agent = 1 - sent.agent;
            self.packets.push(sent);
        }
    }
}

fn agent(run: u64) -> Agent {
    Agent::new(Place {
        service: SERVICE.to_owned(),
        domain: "a".to_owned(),
        run,
    })
}

fn explore(state: &State, depth: usize, seen: &mut Seen) {
    seen.add(state.seen);
    if depth == 0 {
        return;
    }
    for step in state.steps() {
        let mut next = state.clone();
        next.seen = Seen::default();
        next.take(step);
        explore(&next, depth - 1, seen);
    }
}

impl Seen {
    fn add(&mut self, other: Self) {
        self.given_up += other.given_up;
        self.tried += other.tried;
        self.denied += other.denied;
        self.opened += other.opened;
    }

    fn assert_all(self) {
        let all = [self.given_up, self.tried, self.denied, self.opened];
        assert!(all.iter().all(|count| *count > 0), "{self:?}");
    }
}

#[test]
fn no_short_sequence_resets_a_held_flow() {
    let mut seen = Seen::default();
    explore(&State::new(), SHORT, &mut seen);
    seen.assert_all();
}

#[test]
fn no_drawn_sequence_resets_a_held_flow() {
    let mut seen = Seen::default();
    for sample in 0..SAMPLES {
        let mut state = State::new();
        for step in 0..LONG {
            let steps = state.steps();
            let Some(last) = steps.len().checked_sub(1) else {
                break;
            };
            let draw = score(sample, step as u64) % (last as u64 + 1);
            state.take(steps[draw as usize]);
        }
        seen.add(state.seen);
    }
    seen.assert_all();
}
