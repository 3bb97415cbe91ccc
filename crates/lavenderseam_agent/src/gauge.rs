//! The window of the backend server, shared by all requests.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use lavenderseam_core::admission::{Admission, Bounds, Full, Opener, Outcome, Window};
use lavenderseam_core::time::Instant;
use lavenderseam_telemetry::Log;
use parking_lot::Mutex;

use crate::clock::Clock;

/// The window of the backend server.
pub(crate) struct Gauge {
    clock: Clock,
    log: Log,
    window: Mutex<Window>,
}

/// A slot of the backend server; dropped without an outcome it counts as cancelled.
pub(crate) struct Permit {
    gauge: Arc<Gauge>,
    began: Instant,
    first_byte: Option<Duration>,
    ended: bool,
}

impl Gauge {
    pub(crate) fn new(bounds: Bounds, clock: Clock, log: Log) -> Self {
        Self {
            window: Mutex::new(Window::new(bounds, clock.now())),
            clock,
            log,
        }
    }

    /// Takes a slot.
    pub(crate) fn acquire(self: &Arc<Self>) -> Result<Permit, Full> {
        let now = self.clock.now();
        self.change("a request", |window| window.acquire(now))?;
        Ok(Permit {
            gauge: Arc::clone(self),
            began: now,
            first_byte: None,
            ended: false,
        })
    }

    pub(crate) fn admits(&self, opener: &Opener) -> Admission {
        self.window.lock().admits(opener, self.clock.now())
    }

    pub(crate) fn set_bounds(&self, bounds: Bounds) {
        self.change("the group's record", |window| window.set_bounds(bounds));
    }

    /// Notes that the backend server can't be reached.
    pub(crate) fn lost(&self) {
        let now = self.clock.now();
        self.change("a failed probe", |window| window.lost(now));
    }

    /// Concurrent requests that the backend server is given, and those that run.
    pub(crate) fn level(&self) -> (u32, u32) {
        let window = self.window.lock();
        (window.limit(), window.in_flight())
    }

    /// Changes the window, and logs its limit if that is another one now.
    fn change<T>(&self, cause: impl fmt::Display, change: impl FnOnce(&mut Window) -> T) -> T {
        let mut window = self.window.lock();
        let (before, in_flight) = (window.limit(), window.in_flight());
        let result = change(&mut window);
        let after = window.limit();
        drop(window);
        if after != before {
            self.log.info(format_args!(
                "window goes from {before} to {after} slots with {in_flight} in use: {cause}"
            ));
        }
        result
    }
}

impl Permit {
    /// Notes the first byte of the answer.
    pub(crate) fn answered(&mut self) {
        let now = self.gauge.clock.now();
        self.first_byte = Some(now.since(self.began));
        self.gauge.window.lock().progress(now);
    }

    /// Notes a sign of life.
    pub(crate) fn progress(&self) {
        let now = self.gauge.clock.now();
        self.gauge.window.lock().progress(now);
    }

    /// Gives the slot back after a whole answer.
    pub(crate) fn succeed(&mut self) {
        let first_byte = self.first_byte.unwrap_or_default();
        self.end(Outcome::Answered(first_byte));
    }

    /// Gives the slot back with another outcome.
    pub(crate) fn end(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.gauge.clock.now();
        let held = now.since(self.began);
        self.gauge
            .change(outcome, |window| window.release(outcome, held, now));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.end(Outcome::Cancelled);
    }
}
