//! What becomes of a load that meets a cold window.

use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_core::admission::{Bounds, Outcome, Window};
use lavenderseam_core::record::Slots;
use lavenderseam_core::time::Instant;

/// Time that a request takes at the backend server.
const WORK: Duration = Duration::from_millis(40);
/// Time that a caller gives its request, retries included.
const PATIENCE: Duration = Duration::from_secs(3);

/// A request that waits for its next attempt.
struct Waiting {
    at: Instant,
    deadline: Instant,
}

/// A request that runs.
struct Running {
    began: Instant,
    deadline: Instant,
}

/// Callers of one backend server, which retry when they are told until their deadlines pass.
struct Callers {
    window: Window,
    waiting: Vec<Waiting>,
    running: Vec<Running>,
    late: u32,
}

impl Callers {
    fn new() -> Self {
        let bounds = Bounds::new(Slots(4), Slots(1), 2_000);
        Self {
            window: Window::new(bounds, Instant::default()),
            waiting: Vec::new(),
            running: Vec::new(),
            late: 0,
        }
    }

    fn ask(&mut self, now: Instant) {
        let deadline = now + PATIENCE;
        self.waiting.push(Waiting { at: now, deadline });
    }

    fn step(&mut self, now: Instant) {
        let ends = |run: &mut Running| now >= run.deadline || now.since(run.began) >= WORK;
        for run in self.running.extract_if(.., ends) {
            let held = now.since(run.began);
            if held >= WORK {
                self.window.release(Outcome::Answered(held), held, now);
            } else {
                self.late += 1;
                self.window.release(Outcome::Late, held, now);
            }
        }
        let due: Vec<Waiting> = self
            .waiting
            .extract_if(.., |request| request.at <= now)
            .collect();
        for Waiting { deadline, .. } in due {
            if now >= deadline {
                self.late += 1;
                continue;
            }
            match self.window.acquire(now) {
                Ok(()) => self.running.push(Running {
                    began: now,
                    deadline,
                }),
                Err(full) => self.waiting.push(Waiting {
                    at: now + full.retry_after,
                    deadline,
                }),
            }
        }
    }
}

// Pattern: a steady load meets a window that has just started cold, so callers queue up and some
// attempts begin shortly before their deadlines. These must not keep the window small.
#[gtest]
fn a_cold_start_under_a_load_that_it_bears_later_ends() {
    let mut callers = Callers::new();
    let mut late_at_half = 0;
    for millisecond in 0..60_000_u64 {
        let now = Instant::default() + Duration::from_millis(millisecond);
        if millisecond.is_multiple_of(20) {
            callers.ask(now);
        }
        callers.step(now);
        if millisecond == 30_000 {
            late_at_half = callers.late;
        }
    }
    expect_that!(callers.window.limit(), eq(4));
    expect_that!(callers.late - late_at_half, eq(0));
}
