//! Checks the request deduplicator against the model `model/request.pml`: takes all event sequences
//! up to a bound.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod explorer;

use explorer::{Path, explore};
use googletest::prelude::*;
use lavenderseam_core::id::{Incarnation, Tag};
use lavenderseam_core::request::{
    BeginDecision, Binding, Deduplicator, ExecutionStatus, IdempotencyKey, KnownOutcome,
};
use lavenderseam_core::time::Instant;

const STEPS: usize = 6;
const ATTEMPTS: usize = 2;
const ANSWER: u32 = 7;

/// State of an attempt in the model of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    Unseen,
    Fenced,
    Running,
    Done,
}

/// One incarnation of an agent, its backend server, and the state of the model.
struct Simulation {
    deduplicator: Deduplicator<u32>,
    key: IdempotencyKey,
    bindings: Vec<Binding>,
    model: [AttemptState; ATTEMPTS],
    runs: [u32; ATTEMPTS],
    reported_not_run: [bool; ATTEMPTS],
    restarted: bool,
    now: Instant,
}

fn deduplicator(incarnation: u64) -> Deduplicator<u32> {
    Deduplicator::new(Incarnation(incarnation), Tag(5))
}

impl Simulation {
    fn new() -> Self {
        let mut deduplicator = deduplicator(1);
        let now = Instant(1_000);
        let first = deduplicator.issue_binding(now);
        Self {
            deduplicator,
            key: "edit-1".parse().unwrap(),
            bindings: vec![first],
            model: [AttemptState::Unseen; ATTEMPTS],
            runs: [0; ATTEMPTS],
            reported_not_run: [false; ATTEMPTS],
            restarted: false,
            now,
        }
    }

    fn step(&mut self, path: &mut Path) {
        self.now = Instant(self.now.0 + 10);
        let attempt = path.choose(self.bindings.len());
        match path.choose(7) {
            0 => self.deliver_copy(attempt, false),
            1 => self.deliver_copy(attempt, true),
            2 => self.inquire(attempt),
            3 => self.backend_runs(attempt),
            4 => self.backend_sheds(attempt),
            5 => self.bind_anew(),
            _ => self.restart(),
        }
        self.check();
    }

    /// Delivers a copy of the request. A new request is run, or refused before its first byte is
    /// sent to the backend server.
    fn deliver_copy(&mut self, attempt: usize, refuses: bool) {
        let binding = self.bindings[attempt];
        let decision = self.deduplicator.begin(&self.key, &binding, self.now);
        assert_eq!(decision, self.expected(attempt));
        if decision != BeginDecision::Run {
            self.reported_not_run[attempt] |=
                decision == BeginDecision::Refuse(ExecutionStatus::NotRun);
            return;
        }
        if refuses {
            self.deduplicator.cancel(&self.key, &binding, self.now);
            self.model[attempt] = AttemptState::Fenced;
            self.reported_not_run[attempt] = true;
        } else {
            self.model[attempt] = AttemptState::Running;
        }
    }

    /// Queries the outcome on behalf of another agent.
    fn inquire(&mut self, attempt: usize) {
        let binding = self.bindings[attempt];
        let expected = match self.expected(attempt) {
            BeginDecision::Run => KnownOutcome::NotRun,
            BeginDecision::Running => KnownOutcome::Running,
            BeginDecision::Replay(answer) => KnownOutcome::Finished(answer),
            BeginDecision::Refuse(ExecutionStatus::NotRun) => KnownOutcome::NotRun,
            BeginDecision::Refuse(ExecutionStatus::Unknown) => KnownOutcome::Unknown,
        };
        let status = self
            .deduplicator
            .outcome_or_fence(&self.key, &binding, self.now);
        assert_eq!(status, expected);
        if status == KnownOutcome::NotRun {
            self.reported_not_run[attempt] = true;
            self.model[attempt] = AttemptState::Fenced;
        }
    }

    fn backend_runs(&mut self, attempt: usize) {
        if self.model[attempt] == AttemptState::Running && !self.restarted {
            let answer = Some((ANSWER, 4));
            self.deduplicator.complete(&self.key, answer, self.now);
            self.runs[attempt] += 1;
            self.model[attempt] = AttemptState::Done;
        }
    }

    fn backend_sheds(&mut self, attempt: usize) {
        if self.model[attempt] == AttemptState::Running && !self.restarted {
            let binding = self.bindings[attempt];
            self.deduplicator.cancel(&self.key, &binding, self.now);
            self.model[attempt] = AttemptState::Fenced;
            self.reported_not_run[attempt] = true;
        }
    }

    /// Issues a new binding for the same key, after the caller was informed that the request has
    /// not run.
    fn bind_anew(&mut self) {
        let latest = self.bindings.len() - 1;
        if self.reported_not_run[latest] && self.bindings.len() < ATTEMPTS && !self.restarted {
            self.bindings
                .push(self.deduplicator.issue_binding(self.now));
        }
    }

    /// Restarts the agent. The new incarnation has no state and runs no request that is bound to
    /// the previous one. Requests that the previous one sent to the backend server may still run.
    fn restart(&mut self) {
        if self.restarted {
            return;
        }
        for attempt in 0..ATTEMPTS {
            let running = self.model[attempt] == AttemptState::Running;
            self.runs[attempt] += u32::from(running);
        }
        self.deduplicator = deduplicator(2);
        self.deduplicator.issue_binding(self.now);
        self.restarted = true;
    }

    /// Returns the decision of the model on a copy of the request.
    fn expected(&self, attempt: usize) -> BeginDecision<u32> {
        if self.restarted {
            return BeginDecision::Refuse(ExecutionStatus::Unknown);
        }
        // The state belongs to the key, so the outcome of one attempt also applies to later copies
        // of the other.
        if self.model.contains(&AttemptState::Running) {
            return BeginDecision::Running;
        }
        if self.model.contains(&AttemptState::Done) {
            return BeginDecision::Replay(ANSWER);
        }
        let is_fenced = self.model[attempt..].contains(&AttemptState::Fenced);
        if is_fenced {
            BeginDecision::Refuse(ExecutionStatus::NotRun)
        } else {
            BeginDecision::Run
        }
    }

    fn check(&self) {
        assert!(self.runs.iter().sum::<u32>() <= 1);
        for attempt in 0..ATTEMPTS {
            assert!(!self.reported_not_run[attempt] || self.runs[attempt] == 0);
        }
    }
}

#[gtest]
fn memory_conforms_to_the_model() {
    let paths = explore(|path| {
        let mut simulation = Simulation::new();
        for _ in 0..STEPS {
            simulation.step(path);
        }
    });
    expect_that!(paths, ge(100_000));
}
