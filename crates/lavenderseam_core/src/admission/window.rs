//! The bound on concurrent requests to one backend server.

use std::fmt;
use std::time::Duration;

use super::latency::Mean;
use super::{Admission, Bounds, Opener, Reason, Settings};
use crate::time::Instant;

/// Time that a request is taken to last before one has ended.
const HOLD_UNKNOWN: Duration = Duration::from_millis(100);
/// Targets that pass a flow on for want of slots before one holds it all the same.
const PASSES_LIMIT: usize = 2;

/// How a request to the backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered; holds the time to the first byte of the answer.
    Answered(Duration),
    /// Refused by the backend server (503).
    Refused,
    /// Failed: an error, a cut answer or a timeout.
    Failed,
    /// The request's deadline passed before there was an answer.
    Late,
    /// The backend server can't be reached.
    Unreachable,
    /// Given up by the caller before there was an outcome.
    Cancelled,
}

/// The window is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full {
    /// When a slot can be expected.
    pub retry_after: Duration,
}

/// The bound on concurrent requests to one backend server.
#[derive(Clone, Debug)]
pub struct Window {
    bounds: Bounds,
    settings: Settings,
    limit: u32,
    threshold: u32,
    in_flight: u32,
    warming: bool,
    round: Round,
    failures: Vec<Instant>,
    alive: Instant,
    unreachable_until: Instant,
    first_byte: Mean,
    hold: Mean,
    promised: Instant,
    reported: Option<Report>,
}

/// Requests observed since the limit last changed.
#[derive(Clone, Copy, Debug)]
struct Round {
    began: Instant,
    span: Duration,
    successes: u32,
    full: bool,
}

/// A reported bound that is lower than the group's.
#[derive(Clone, Copy, Debug)]
struct Report {
    slots: u32,
    heeded_until: Instant,
}

impl Window {
    /// The window of a backend server that has just started.
    #[must_use]
    pub fn new(bounds: Bounds, now: Instant) -> Self {
        Self::with_settings(bounds, Settings::default(), now)
    }

    /// A window that reacts by other settings.
    #[must_use]
    pub fn with_settings(bounds: Bounds, settings: Settings, now: Instant) -> Self {
        Self {
            bounds,
            settings,
            limit: bounds.cold_slots.0,
            threshold: bounds.slots.0,
            in_flight: 0,
            warming: true,
            round: Round {
                began: now,
                span: settings.hold,
                successes: 0,
                full: false,
            },
            failures: Vec::new(),
            alive: now,
            unreachable_until: Instant::default(),
            first_byte: Mean::default(),
            hold: Mean::default(),
            promised: now,
            reported: None,
        }
    }

    /// Takes a slot.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if the backend server bears no more requests now.
    pub fn acquire(&mut self, now: Instant) -> Result<(), Full> {
        self.notice_silence(now);
        if self.in_flight >= self.limit() {
            self.round.full = true;
            return Err(self.full(now));
        }
        self.in_flight += 1;
        if self.in_flight == 1 {
            self.alive = now;
        }
        self.round.full |= self.in_flight >= self.limit;
        Ok(())
    }

    /// Gives a slot back; `held` is how long it was held.
    pub fn release(&mut self, outcome: Outcome, held: Duration, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered(first_byte) => self.succeeded(first_byte, held, now),
            Outcome::Refused | Outcome::Failed => self.failed(now),
            Outcome::Late if self.had_time(held) => self.failed(now),
            // A caller that retries until its deadline leaves little time in the end.
            Outcome::Late => {}
            Outcome::Unreachable => self.lost(now),
            Outcome::Cancelled => {}
        }
    }

    /// Notes a sign of life of a running request.
    pub fn progress(&mut self, now: Instant) {
        self.alive = now;
    }

    /// Notes that the backend server can't be reached.
    pub fn lost(&mut self, now: Instant) {
        self.unreachable_until = now + self.settings.unreachable;
        self.turn_cold(now);
        // It is tried again and again; only what it does once it is back makes it wait longer.
        self.start_round(self.settings.hold, now);
    }

    /// Heeds a report of the backend server: how many slots it says it has.
    ///
    /// A report can only lower the limit, never below the cold slots, and no longer than the
    /// outcomes contradict it for [`Settings::patience`].
    pub fn report(&mut self, slots: u32, now: Instant) {
        let slots = slots.max(self.bounds.cold_slots.0);
        if slots >= self.bounds.slots.0 {
            self.reported = None;
            return;
        }
        let heeded_until = match self.reported {
            Some(report) if report.slots == slots => report.heeded_until,
            _ => now + self.settings.patience,
        };
        let heeded = now < heeded_until;
        self.reported = Some(Report {
            slots,
            heeded_until,
        });
        if heeded {
            self.limit = self.limit.min(slots);
        }
    }

    /// Takes over changed bounds.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        if self.threshold >= self.bounds.slots.0 {
            self.threshold = bounds.slots.0;
        }
        self.threshold = self.threshold.min(bounds.slots.0);
        self.limit = self.limit.clamp(bounds.cold_slots.0, bounds.slots.0);
        self.bounds = bounds;
    }

    /// Whether another flow may be opened.
    #[must_use]
    pub fn admits(&self, opener: &Opener, now: Instant) -> Admission {
        if opener.domain_out {
            return Admission::Refused(Reason::DomainOut);
        }
        if opener.draining {
            return Admission::Refused(Reason::Draining);
        }
        if now < self.unreachable_until {
            return Admission::Refused(Reason::Unreachable);
        }
        if opener.connections >= self.bounds.connections {
            return Admission::Refused(Reason::Connections);
        }
        // Once others have refused it too, a flow is better held than turned away: it may be a
        // live feed, which takes no slot.
        let full = !self.is_warm() && self.in_flight >= self.limit;
        if full && opener.passes < PASSES_LIMIT {
            return Admission::Refused(Reason::Window);
        }
        Admission::Admitted
    }

    /// Concurrent requests that the backend server is given now.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Requests that run now.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether the limit is the group's.
    #[must_use]
    pub fn is_warm(&self) -> bool {
        self.limit >= self.bounds.slots.0
    }

    fn succeeded(&mut self, first_byte: Duration, held: Duration, now: Instant) {
        self.alive = now;
        self.unreachable_until = Instant::default();
        self.hold.add(held);
        if self.first_byte.jumped(first_byte, &self.settings) {
            // The requests of one round that a jump delays count as one.
            if now.since(self.round.began) >= self.settings.round {
                self.shrink(now);
            }
            return;
        }
        self.round.successes += 1;
        let enough = self.round.successes >= self.limit && self.round.full;
        if enough && now.since(self.round.began) >= self.round.span {
            self.grow(now);
        }
    }

    /// Whether a request was held for longer than the backend server usually takes to answer.
    fn had_time(&self, held: Duration) -> bool {
        let usual = self.first_byte.or(HOLD_UNKNOWN);
        self.settings.is_jump(held, usual)
    }

    fn failed(&mut self, now: Instant) {
        self.alive = now;
        let burst = self.settings.burst;
        self.failures.retain(|failure| now.since(*failure) < burst);
        self.failures.push(now);
        if self.failures.len() >= self.settings.burst_count as usize {
            self.turn_cold(now);
        } else {
            self.shrink(now);
        }
    }

    fn grow(&mut self, now: Instant) {
        let grown = if self.limit < self.threshold {
            (self.limit * 2).min(self.threshold)
        } else {
            self.limit + 1
        };
        self.limit = grown.min(self.ceiling(now)).max(self.limit);
        self.warming &= !self.is_warm();
        let shortest = if self.warming {
            self.settings.warming_round
        } else {
            self.settings.round
        };
        self.start_round(shortest.max(self.round.span / 2), now);
    }

    fn shrink(&mut self, now: Instant) {
        self.threshold = (self.limit / 2).max(self.bounds.cold_slots.0);
        self.limit = self.threshold;
        self.back_off(Duration::ZERO, now);
    }

    fn turn_cold(&mut self, now: Instant) {
        if self.limit > self.bounds.cold_slots.0 {
            self.threshold = (self.limit / 2).max(self.bounds.cold_slots.0);
        }
        self.limit = self.bounds.cold_slots.0;
        self.warming = true;
        self.failures.clear();
        self.first_byte = Mean::default();
        self.back_off(self.settings.hold, now);
    }

    /// Makes the next growth wait for twice as long as the last one did, and for `shortest`.
    fn back_off(&mut self, shortest: Duration, now: Instant) {
        let span = (self.round.span * 2).min(self.settings.round_limit);
        self.start_round(span.max(shortest), now);
    }

    fn start_round(&mut self, span: Duration, now: Instant) {
        self.round = Round {
            began: now,
            span,
            successes: 0,
            full: false,
        };
    }

    /// Highest limit that the bounds and the last report allow.
    fn ceiling(&self, now: Instant) -> u32 {
        let reported = self.reported.filter(|report| now < report.heeded_until);
        let reported = reported.map_or(u32::MAX, |report| report.slots);
        self.bounds.slots.0.min(reported)
    }

    fn notice_silence(&mut self, now: Instant) {
        let allowed = if self.in_flight == 0 {
            self.settings.idle
        } else {
            self.settings.stall
        };
        if now.since(self.alive) >= allowed {
            self.alive = now;
            self.turn_cold(now);
        }
    }

    /// Promises each refused caller a slot of its own, at the pace at which slots come free.
    fn full(&mut self, now: Instant) -> Full {
        let pace = self.hold.or(HOLD_UNKNOWN) / self.limit.max(1);
        self.promised = self.promised.max(now) + pace;
        let wait = self.promised.since(now);
        let limit = self.settings.retry_limit;
        self.promised = self.promised.min(now + limit);
        Full {
            retry_after: wait.clamp(self.settings.retry_floor, limit),
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered(first_byte) => {
                write!(formatter, "answered within {} ms", first_byte.as_millis())
            }
            Self::Refused => formatter.write_str("refused by the backend server"),
            Self::Failed => formatter.write_str("failed"),
            Self::Late => formatter.write_str("not answered by its deadline"),
            Self::Unreachable => formatter.write_str("backend server can't be reached"),
            Self::Cancelled => formatter.write_str("cancelled by the caller"),
        }
    }
}

impl fmt::Display for Full {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let wait = self.retry_after.as_millis();
        write!(formatter, "window is full, retry after {wait} ms")
    }
}

impl std::error::Error for Full {}
