//! Replays every sequence of the gate's steps of `model/domain.pml`, up to a bound, against a real
//! relay node. The gate is closed while the node must not act on its records.

mod explorer;
mod fixture;

use std::time::Duration;

use explorer::{Path, explore};
use fixture::records;
use googletest::prelude::*;
use lavenderseam_core::catalog::{Revision, Root};
use lavenderseam_core::relay::{
    Answer, Event, Member, MemberId, Node, PAUSE_THRESHOLD, Pull, Stamp,
};
use lavenderseam_core::time::Instant;

const STEPS: usize = 4;
/// Durations between two steps; the last two exceed [`PAUSE_THRESHOLD`] and count as pauses.
const STEP_INTERVALS: [Duration; 4] = [
    Duration::from_millis(250),
    PAUSE_THRESHOLD,
    Duration::from_millis(1_501),
    Duration::from_secs(60),
];

/// Time between the request for a late answer and the step in which the answer arrives.
const LATE_ANSWER_DELAY: Duration = Duration::from_millis(100);

/// A relay node and the state of the model's gate.
struct NodeWithModel {
    node: Node,
    now: Instant,
    resumed_at: Instant,
    gate_closed: bool,
}

impl NodeWithModel {
    fn new() -> Self {
        let now = Instant(1_000_000);
        let rpc = records::address(0);
        let own = Member {
            id: MemberId(1),
            region: records::region(0),
            rpc,
            is_balancer: true,
        };
        Self {
            node: Node::new(own, Vec::new(), 1, now),
            now,
            resumed_at: now,
            gate_closed: true,
        }
    }

    fn step(&mut self, path: &mut Path) {
        let interval = STEP_INTERVALS[path.choose(STEP_INTERVALS.len())];
        self.now = self.now + interval;
        // Like the model's `check_clock`, which precedes every step of a process.
        if interval > PAUSE_THRESHOLD {
            self.gate_closed = true;
            self.resumed_at = self.now;
        }
        match path.choose(6) {
            0 => {
                self.node.handle(Event::Tick, self.now);
            }
            1 => self.answer_pull(),
            2 => self.receive_list(self.now),
            3 => self.receive_list(self.now - LATE_ANSWER_DELAY),
            4 => self.receive_answer(self.now, path.choose(2) == 0),
            _ => self.receive_answer(self.now - LATE_ANSWER_DELAY, true),
        }
        assert_eq!(self.node.is_confirmed(), !self.gate_closed);
    }

    /// Another process pulls; the answer is marked open only if the node's own gate is open.
    fn answer_pull(&mut self) {
        let pull = Pull {
            from: MemberId(2),
            root: Root::default(),
            complete: Revision(0),
            bucket: None,
        };
        let (answer, _) = self.node.answer_pull(&pull, self.now);
        assert_eq!(answer.open, !self.gate_closed);
    }

    /// The store answers a request sent at `queried_at`; a request sent before the pause confirms
    /// nothing.
    fn receive_list(&mut self, queried_at: Instant) {
        let listed = Event::StoreListed {
            queried_at,
            entries: Vec::new(),
            revision: Revision(1),
        };
        self.node.handle(listed, self.now);
        self.model_confirmation(queried_at);
    }

    /// Another process answers with the same records; the answer confirms them only if that
    /// process's own gate is open.
    fn receive_answer(&mut self, queried_at: Instant, open: bool) {
        let stamp = Stamp {
            complete: Revision(1),
            root: Root::default(),
            restore: None,
            age_ms: Some(0),
            watcher: MemberId(2),
            watcher_age_ms: Some(0),
        };
        let answer = Answer {
            from: MemberId(2),
            open,
            stamp,
            digest: None,
            entries: Vec::new(),
            bucket: None,
        };
        let answered = Event::PullFinished {
            address: records::address(1),
            queried_at,
            answer: Some(answer),
        };
        self.node.handle(answered, self.now);
        if open {
            self.model_confirmation(queried_at);
        }
    }

    fn model_confirmation(&mut self, queried_at: Instant) {
        if queried_at >= self.resumed_at {
            self.gate_closed = false;
        }
    }
}

#[gtest]
fn the_gate_follows_the_model() {
    let paths = explore(|path| {
        let mut system = NodeWithModel::new();
        for _ in 0..STEPS {
            system.step(path);
        }
    });
    expect_that!(paths, eq(614_656));
}
