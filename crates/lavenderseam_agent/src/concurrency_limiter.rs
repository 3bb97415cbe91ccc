//! Limits the number of concurrent requests to the backend server.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use lavenderseam_core::admission::{Admission, Capacity, Full, NewFlow, Outcome, Window};
use lavenderseam_core::time::Instant;
use lavenderseam_telemetry::Log;
use parking_lot::Mutex;

use crate::clock::Clock;

/// Adaptive concurrency limit of the backend server, shared by all requests.
pub(crate) struct ConcurrencyLimiter {
    clock: Clock,
    log: Log,
    window: Mutex<Window>,
}

/// Permit for one concurrent request; dropping it without an outcome records a cancellation.
pub(crate) struct Permit {
    limiter: Arc<ConcurrencyLimiter>,
    started_at: Instant,
    time_to_first_byte: Option<Duration>,
    released: bool,
}

impl ConcurrencyLimiter {
    pub(crate) fn new(capacity: Capacity, clock: Clock, log: Log) -> Self {
        Self {
            window: Mutex::new(Window::new(capacity, clock.now())),
            clock,
            log,
        }
    }

    /// Acquires a permit for one request; if the limit is reached, the error contains the retry
    /// delay.
    pub(crate) fn acquire(self: &Arc<Self>) -> Result<Permit, Full> {
        let now = self.clock.now();
        self.update_window("request started", |window| window.acquire(now))?;
        Ok(Permit {
            limiter: Arc::clone(self),
            started_at: now,
            time_to_first_byte: None,
            released: false,
        })
    }

    /// Decides whether a new flow may be opened.
    pub(crate) fn admission(&self, new_flow: &NewFlow) -> Admission {
        self.window
            .lock()
            .check_admission(new_flow, self.clock.now())
    }

    /// Replaces the capacity of the window by that of a new group record.
    pub(crate) fn set_capacity(&self, capacity: Capacity) {
        self.update_window("group record changed", |window| {
            window.set_capacity(capacity);
        });
    }

    /// Records that a connection to the backend server couldn't be established.
    pub(crate) fn on_unreachable(&self) {
        let now = self.clock.now();
        self.update_window("backend server unreachable", |window| {
            window.mark_unreachable(now);
        });
    }

    /// Returns the limit of concurrent requests and the number of requests in flight.
    pub(crate) fn limit_and_in_flight(&self) -> (u32, u32) {
        let window = self.window.lock();
        (window.limit(), window.in_flight())
    }

    /// Updates the window and logs its limit if that has changed.
    fn update_window<T>(
        &self,
        cause: impl fmt::Display,
        update: impl FnOnce(&mut Window) -> T,
    ) -> T {
        let mut window = self.window.lock();
        let (previous_limit, in_flight) = (window.limit(), window.in_flight());
        let result = update(&mut window);
        let new_limit = window.limit();
        drop(window);
        if new_limit != previous_limit {
            self.log.info(format_args!(
                "concurrency limit changed from {previous_limit} to {new_limit} with {in_flight} slots in use: {cause}"
            ));
        }
        result
    }
}

impl Permit {
    /// Records the arrival of the response head.
    pub(crate) fn record_first_byte(&mut self) {
        let now = self.limiter.clock.now();
        self.time_to_first_byte = Some(now.since(self.started_at));
        self.limiter.window.lock().record_activity(now);
    }

    /// Records that the backend server has sent more of the response body.
    pub(crate) fn record_progress(&self) {
        let now = self.limiter.clock.now();
        self.limiter.window.lock().record_activity(now);
    }

    /// Releases the permit after a complete response.
    pub(crate) fn release_completed(&mut self) {
        let time_to_first_byte = self.time_to_first_byte.unwrap_or_default();
        self.release(Outcome::Answered(time_to_first_byte));
    }

    /// Releases the permit with an outcome; has no effect if it is released already.
    pub(crate) fn release(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.released, true) {
            return;
        }
        let now = self.limiter.clock.now();
        let elapsed = now.since(self.started_at);
        self.limiter
            .update_window(outcome, |window| window.release(outcome, elapsed, now));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.release(Outcome::Cancelled);
    }
}
