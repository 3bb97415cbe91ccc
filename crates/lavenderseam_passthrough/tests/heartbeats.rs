//! Replays the steps of the model `heartbeats` against an agent, in random order.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod fixture;

use std::time::Duration;

use fixture::{
    BALANCER, agent_without_heartbeat, at_ms, header, heartbeat, is_delivered, open_with_request,
    request, return_reason, syn,
};
use googletest::prelude::*;
use lavenderseam_core::random::Sequence;
use lavenderseam_core::time::Instant;
use lavenderseam_passthrough::agent::{Agent, Heartbeat, SERVING_HEARTBEAT_SEQUENCE};
use lavenderseam_passthrough::message::{Reason, RunReply, TargetState};

const SEEDS: u64 = 20_000;
const STEPS: u64 = 44;
/// Heartbeats of the running backend server after which its agent must know it, whoever else was heard.
const ROW: u64 = 24;

/// An agent, its backend server, and a heartbeat that is under way.
struct Pair {
    agent: Agent,
    /// Number of the backend server's run.
    run: u64,
    /// Start of the run by a clock that jumps.
    started_at_ms: u64,
    sent: u64,
    late: Option<Heartbeat>,
    /// `true` if another writer sends heartbeats.
    has_other_writer: bool,
    /// Heartbeats that it has sent.
    other: u64,
    /// Flows that the backend server holds, by the ports of their callers.
    held: Vec<u16>,
    /// `true` if the balancers know of an agent before this one.
    has_predecessor: bool,
    last_port: u16,
    now: Instant,
    random: Sequence,
}

impl Pair {
    fn new(seed: u64) -> Self {
        Self {
            agent: agent_without_heartbeat(),
            run: 0,
            started_at_ms: 1_000,
            sent: 1,
            late: None,
            has_other_writer: seed % 2 == 1,
            other: 0,
            held: Vec::new(),
            has_predecessor: false,
            last_port: 0,
            now: at_ms(0),
            random: Sequence::new(seed),
        }
    }

    /// Draws a number below `end`.
    fn draw(&mut self, end: u32) -> u32 {
        (self.random.next_fraction() * f64::from(end)) as u32
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            id: format!("b-{}", self.run),
            started_at_ms: self.started_at_ms,
            ..heartbeat(self.sent)
        }
    }

    fn receive(&mut self, heartbeat: &Heartbeat) {
        // A heartbeat may be rejected.
        let _ = self.agent.on_heartbeat(heartbeat, self.now);
    }

    fn send_heartbeat(&mut self) {
        self.sent += 1;
        let heartbeat = self.heartbeat();
        match self.draw(8) {
            // The agent hears the first heartbeat.
            _ if self.sent == 1 => self.receive(&heartbeat),
            0 => {}
            1 => self.late = self.late.take().or(Some(heartbeat)),
            _ => self.receive(&heartbeat),
        }
    }

    /// Sends a heartbeat of another writer, which passes for one of a run: in a row from beyond the serving
    /// one, or a single early one.
    fn send_other_heartbeat(&mut self) {
        self.other += 1;
        let in_a_row = self.draw(4) > 0;
        let (id, sequence) = if in_a_row {
            (
                "b-other".to_owned(),
                SERVING_HEARTBEAT_SEQUENCE + self.other,
            )
        } else {
            (
                format!("b-other-{}", self.other),
                1 + u64::from(self.draw(3)),
            )
        };
        let heartbeat = Heartbeat {
            id,
            draining: self.draw(2) == 0,
            ..heartbeat(sequence)
        };
        self.receive(&heartbeat);
    }

    /// Sends heartbeats of the running backend server in a row, as it does while they aren't acknowledged.
    fn send_row(&mut self) {
        for _ in 0..ROW {
            self.now = self.now + Duration::from_millis(50);
            self.sent += 1;
            let heartbeat = self.heartbeat();
            self.receive(&heartbeat);
        }
    }

    fn open_flow(&mut self) {
        let port = self.last_port + 1;
        let verdict =
            self.agent
                .clone()
                .on_forwarded_packet(&syn(port), header(), BALANCER, self.now);
        if is_delivered(&verdict) && self.held.len() < 2 {
            open_with_request(&mut self.agent, port, self.now);
            self.last_port = port;
            self.held.push(port);
        }
    }

    fn restart_backend(&mut self) {
        self.run += 1;
        self.started_at_ms = 1 + u64::from(self.draw(2_000));
        self.sent = 0;
        self.held.clear();
    }

    /// Starts the agent again.
    fn restart_agent(&mut self) {
        self.agent = agent_without_heartbeat();
        self.has_predecessor = true;
    }

    /// Answers the agent's question about earlier runs of it.
    fn answer_question(&mut self) {
        let reply = RunReply {
            run: 1,
            has_predecessor: self.has_predecessor,
        };
        self.agent.on_run_reply(reply, BALANCER, self.now);
        self.agent.tick(self.now);
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(1 + u64::from(self.draw(400)));
        match self.draw(26) {
            24..26 => self.answer_question(),
            20..24 if self.has_other_writer => self.send_other_heartbeat(),
            20..24 => {}
            0..9 => self.send_heartbeat(),
            9..12 => {
                if let Some(late) = self.late.take() {
                    self.receive(&late);
                }
            }
            12..16 => self.open_flow(),
            16 | 17 => self.restart_agent(),
            18 => {
                self.restart_backend();
                if self.draw(2) == 0 {
                    self.agent.on_connection_refused(self.now);
                }
            }
            _ => {
                self.restart_backend();
                self.sent = 1;
                self.restart_agent();
                // The balancers may have lost power as well.
                self.has_predecessor = self.draw(2) == 0;
                if self.draw(2) == 0 {
                    self.late = Some(self.heartbeat());
                }
            }
        }
    }

    /// Returns the reason for which the agent denies a flow that its backend server holds.
    fn wrong_denial(&self) -> Option<Reason> {
        self.held.iter().find_map(|port| {
            let mut agent = self.agent.clone();
            let verdict =
                agent.on_forwarded_packet(&request(*port, 901), header(), BALANCER, self.now);
            return_reason(&verdict)
        })
    }
}

/// Guards against an agent that takes a running backend server for new or ended, by heartbeats that are
/// lost or late, or come from another writer, and denies its open flows or locks it out.
#[gtest]
fn held_flows_are_never_denied() {
    let mut opened = 0;
    let mut denying = 0;
    for seed in 0..SEEDS {
        let mut pair = Pair::new(seed);
        for step in 0..STEPS {
            pair.step();
            assert_that!(pair.wrong_denial(), none(), "seed {seed}, step {step}");
            denying += u64::from(pair.agent.has_seen_all_flows());
        }
        opened += u64::from(pair.last_port);
        pair.send_row();
        assert_that!(pair.wrong_denial(), none(), "seed {seed}, row");
        let state = pair.agent.target_state();
        assert_that!(state, eq(TargetState::Ready), "seed {seed}");
    }
    // The sequences reach what they are about.
    expect_that!(opened, ge(SEEDS));
    expect_that!(denying, ge(SEEDS));
}
