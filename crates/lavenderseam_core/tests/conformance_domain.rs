//! The gate's steps of `model/domain.pml` against a real relay node: every sequence up to a bound.

mod explorer;
mod fixture;

use std::time::Duration;

use explorer::{Path, explore};
use fixture::records;
use googletest::prelude::*;
use lavenderseam_core::catalog::Revision;
use lavenderseam_core::relay::{Answer, Event, Member, MemberId, Node, PAUSE_LIMIT, Pull, Stamp};
use lavenderseam_core::time::Instant;

const STEPS: usize = 4;
/// Times that pass between two steps; the last two are noticed as pauses.
const SPANS: [Duration; 4] = [
    Duration::from_millis(250),
    PAUSE_LIMIT,
    Duration::from_millis(1_501),
    Duration::from_secs(60),
];

/// How long before the present step a late answer was asked for.
const EARLIER: Duration = Duration::from_millis(100);

/// A node and the model's gate beside it.
struct World {
    node: Node,
    now: Instant,
    resumed: Instant,
    closed: bool,
}

impl World {
    fn new() -> Self {
        let now = Instant(1_000_000);
        let rpc = records::address(0);
        let own = Member {
            id: MemberId(1),
            region: records::region(0),
            rpc,
            balancer: true,
        };
        Self {
            node: Node::new(own, Vec::new(), 1, now),
            now,
            resumed: now,
            closed: true,
        }
    }

    fn step(&mut self, path: &mut Path) {
        let span = SPANS[path.choose(SPANS.len())];
        self.now = self.now + span;
        // The model's `check_clock`, which precedes whatever a process does.
        if span > PAUSE_LIMIT {
            self.closed = true;
            self.resumed = self.now;
        }
        match path.choose(6) {
            0 => {
                self.node.handle(Event::Tick, self.now);
            }
            1 => self.answer(),
            2 => self.listed(self.now),
            3 => self.listed(self.now - EARLIER),
            4 => self.told(self.now, path.choose(2) == 0),
            _ => self.told(self.now - EARLIER, true),
        }
        assert_eq!(self.node.is_open(), !self.closed);
    }

    /// Another process asks; only an open one vouches for what it holds.
    fn answer(&mut self) {
        let pull = Pull {
            from: MemberId(2),
            root: 0,
            complete: Revision(0),
            bucket: None,
        };
        let (answer, _) = self.node.answer(&pull, self.now);
        assert_eq!(answer.open, !self.closed);
    }

    /// The store's answer to a question asked at a time; one asked before the pause proves nothing.
    fn listed(&mut self, asked: Instant) {
        let listed = Event::Listed {
            asked,
            entries: Vec::new(),
            revision: Revision(1),
        };
        self.node.handle(listed, self.now);
        self.confirm(asked);
    }

    /// Another process answers with the same records; its word counts if its own gate is open.
    fn told(&mut self, asked: Instant, open: bool) {
        let stamp = Stamp {
            complete: Revision(1),
            root: 0,
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
        let answered = Event::Answered {
            address: records::address(1),
            asked,
            answer: Some(answer),
        };
        self.node.handle(answered, self.now);
        if open {
            self.confirm(asked);
        }
    }

    fn confirm(&mut self, asked: Instant) {
        if asked >= self.resumed {
            self.closed = false;
        }
    }
}

#[gtest]
fn the_gate_takes_the_steps_of_the_model() {
    let paths = explore(|path| {
        let mut world = World::new();
        for _ in 0..STEPS {
            world.step(path);
        }
    });
    expect_that!(paths, eq(614_656));
}
