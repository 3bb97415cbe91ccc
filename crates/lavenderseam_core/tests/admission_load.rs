//! Simulates a steady load on a window that starts cold.

use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_core::admission::{Capacity, Outcome, Window};
use lavenderseam_core::record::Slots;
use lavenderseam_core::time::Instant;

/// Time that the backend server needs for a request.
const REQUEST_TIME: Duration = Duration::from_millis(40);
/// Deadline of a request relative to its start, including retries.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Request that waits for its next attempt.
struct PendingRequest {
    next_attempt_at: Instant,
    deadline: Instant,
}

/// Request in flight.
struct Running {
    start: Instant,
    deadline: Instant,
}

/// Callers of one backend server, which retry after the returned delay until their deadlines pass.
struct Callers {
    window: Window,
    waiting: Vec<PendingRequest>,
    running: Vec<Running>,
    missed_deadlines: u32,
}

impl Callers {
    fn new() -> Self {
        let capacity = Capacity::new(Slots(4), Slots(1), 2_000);
        Self {
            window: Window::new(capacity, Instant::default()),
            waiting: Vec::new(),
            running: Vec::new(),
            missed_deadlines: 0,
        }
    }

    fn submit(&mut self, now: Instant) {
        let deadline = now + REQUEST_TIMEOUT;
        self.waiting.push(PendingRequest {
            next_attempt_at: now,
            deadline,
        });
    }

    fn step(&mut self, now: Instant) {
        let ends = |run: &mut Running| now >= run.deadline || now.since(run.start) >= REQUEST_TIME;
        for run in self.running.extract_if(.., ends) {
            let held = now.since(run.start);
            if held >= REQUEST_TIME {
                self.window.release(Outcome::Answered(held), held, now);
            } else {
                self.missed_deadlines += 1;
                self.window.release(Outcome::DeadlineExceeded, held, now);
            }
        }
        let due: Vec<PendingRequest> = self
            .waiting
            .extract_if(.., |request| request.next_attempt_at <= now)
            .collect();
        for PendingRequest { deadline, .. } in due {
            if now >= deadline {
                self.missed_deadlines += 1;
                continue;
            }
            match self.window.acquire(now) {
                Ok(()) => self.running.push(Running {
                    start: now,
                    deadline,
                }),
                Err(full) => self.waiting.push(PendingRequest {
                    next_attempt_at: now + full.retry_after,
                    deadline,
                }),
            }
        }
    }
}

// Under a steady load on a cold window, callers queue up and some attempts start shortly before
// their deadlines. The failures of these attempts must not keep the window small forever.
#[gtest]
fn window_warms_up_under_steady_load() {
    let mut callers = Callers::new();
    let mut missed_at_half_time = 0;
    for millisecond in 0..60_000_u64 {
        let now = Instant::default() + Duration::from_millis(millisecond);
        if millisecond.is_multiple_of(20) {
            callers.submit(now);
        }
        callers.step(now);
        if millisecond == 30_000 {
            missed_at_half_time = callers.missed_deadlines;
        }
    }
    expect_that!(callers.window.limit(), eq(4));
    expect_that!(callers.missed_deadlines - missed_at_half_time, eq(0));
}
