//! The steps of `model/request.pml` against the real memory: every sequence up to a bound.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod explorer;

use explorer::{Path, explore};
use googletest::prelude::*;
use lavenderseam_core::id::{Incarnation, Tag};
use lavenderseam_core::request::{Begin, Binding, Inquiry, Key, Memory, Ran};
use lavenderseam_core::time::Instant;

const STEPS: usize = 6;
const ATTEMPTS: usize = 2;
const ANSWER: u32 = 7;

/// What the model's agent remembers of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Remembered {
    Unseen,
    Fenced,
    Running,
    Done,
}

/// One agent incarnation, its backend server, and the model beside it.
struct World {
    memory: Memory<u32>,
    key: Key,
    bindings: Vec<Binding>,
    model: [Remembered; ATTEMPTS],
    runs: [u32; ATTEMPTS],
    said_no: [bool; ATTEMPTS],
    gone: bool,
    now: Instant,
}

fn memory(incarnation: u64) -> Memory<u32> {
    Memory::new(Incarnation(incarnation), Tag(5))
}

impl World {
    fn new() -> Self {
        let mut memory = memory(1);
        let now = Instant(1_000);
        let first = memory.bind(now);
        Self {
            memory,
            key: "edit-1".parse().unwrap(),
            bindings: vec![first],
            model: [Remembered::Unseen; ATTEMPTS],
            runs: [0; ATTEMPTS],
            said_no: [false; ATTEMPTS],
            gone: false,
            now,
        }
    }

    fn step(&mut self, path: &mut Path) {
        self.now = Instant(self.now.0 + 10);
        let attempt = path.choose(self.bindings.len());
        match path.choose(7) {
            0 => self.copy(attempt, false),
            1 => self.copy(attempt, true),
            2 => self.ask(attempt),
            3 => self.backend_runs(attempt),
            4 => self.backend_sheds(attempt),
            5 => self.bind_anew(),
            _ => self.restart(),
        }
        self.check();
    }

    /// A copy of the request arrives; it is run, or refused before the first byte goes out.
    fn copy(&mut self, attempt: usize, refuses: bool) {
        let binding = self.bindings[attempt];
        let began = self.memory.begin(&self.key, &binding, self.now);
        assert_eq!(began, self.expected(attempt));
        if began != Begin::Run {
            self.said_no[attempt] |= began == Begin::Refuse(Ran::No);
            return;
        }
        if refuses {
            self.memory.withdraw(&self.key, &binding, self.now);
            self.model[attempt] = Remembered::Fenced;
            self.said_no[attempt] = true;
        } else {
            self.model[attempt] = Remembered::Running;
        }
    }

    /// Another agent asks for the outcome.
    fn ask(&mut self, attempt: usize) {
        let binding = self.bindings[attempt];
        let expected = match self.expected(attempt) {
            Begin::Run => Inquiry::NotRun,
            Begin::Running => Inquiry::Running,
            Begin::Replay(answer) => Inquiry::Finished(answer),
            Begin::Refuse(Ran::No) => Inquiry::NotRun,
            Begin::Refuse(Ran::Unknown) => Inquiry::Unknown,
        };
        let told = self.memory.inquire(&self.key, &binding, self.now);
        assert_eq!(told, expected);
        if told == Inquiry::NotRun {
            self.said_no[attempt] = true;
            self.model[attempt] = Remembered::Fenced;
        }
    }

    fn backend_runs(&mut self, attempt: usize) {
        if self.model[attempt] == Remembered::Running && !self.gone {
            let answer = Some((ANSWER, 4));
            self.memory.finish(&self.key, answer, self.now);
            self.runs[attempt] += 1;
            self.model[attempt] = Remembered::Done;
        }
    }

    fn backend_sheds(&mut self, attempt: usize) {
        if self.model[attempt] == Remembered::Running && !self.gone {
            let binding = self.bindings[attempt];
            self.memory.withdraw(&self.key, &binding, self.now);
            self.model[attempt] = Remembered::Fenced;
            self.said_no[attempt] = true;
        }
    }

    /// After "not run" the caller binds the same key anew.
    fn bind_anew(&mut self) {
        let present = self.bindings.len() - 1;
        if self.said_no[present] && self.bindings.len() < ATTEMPTS && !self.gone {
            self.bindings.push(self.memory.bind(self.now));
        }
    }

    /// A new incarnation knows nothing and runs nothing that is bound to the earlier one; what that
    /// one sent to the backend server may still run.
    fn restart(&mut self) {
        if self.gone {
            return;
        }
        for attempt in 0..ATTEMPTS {
            let running = self.model[attempt] == Remembered::Running;
            self.runs[attempt] += u32::from(running);
        }
        self.memory = memory(2);
        self.memory.bind(self.now);
        self.gone = true;
    }

    /// What the model's agent does with a copy.
    fn expected(&self, attempt: usize) -> Begin<u32> {
        if self.gone {
            return Begin::Refuse(Ran::Unknown);
        }
        // One key has one memory: what an attempt did answers every later copy of the other.
        if self.model.contains(&Remembered::Running) {
            return Begin::Running;
        }
        if self.model.contains(&Remembered::Done) {
            return Begin::Replay(ANSWER);
        }
        let later_fenced = self.model[attempt..].contains(&Remembered::Fenced);
        if later_fenced {
            Begin::Refuse(Ran::No)
        } else {
            Begin::Run
        }
    }

    fn check(&self) {
        assert!(self.runs.iter().sum::<u32>() <= 1);
        for attempt in 0..ATTEMPTS {
            assert!(!self.said_no[attempt] || self.runs[attempt] == 0);
        }
    }
}

#[gtest]
fn the_memory_takes_the_steps_of_the_model() {
    let paths = explore(|path| {
        let mut world = World::new();
        for _ in 0..STEPS {
            world.step(path);
        }
    });
    expect_that!(paths, ge(100_000));
}
