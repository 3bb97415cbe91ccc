//! Adaptive limit on concurrent requests to one backend server.

use std::fmt;
use std::time::Duration;

use super::latency::MovingAverage;
use super::{Admission, Capacity, NewFlow, Reason, Settings};
use crate::time::Instant;

/// Assumed request duration and latency before the first sample.
const DEFAULT_REQUEST_TIME: Duration = Duration::from_millis(100);
/// Number of targets that may forward a flow because their windows are full; the next target
/// admits it even though its own window is full.
const MAX_FULL_WINDOW_FORWARDS: usize = 2;

/// Outcome of a request to the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A response arrived; holds the time to its first byte.
    Answered(Duration),
    /// The backend server refused the request (503).
    Refused,
    /// The request failed: an error, a truncated response or a timeout.
    Failed,
    /// The request's deadline passed before a response arrived.
    DeadlineExceeded,
    /// No connection to the backend server could be established.
    Unreachable,
    /// The caller cancelled the request before it completed.
    Cancelled,
}

/// Error returned when the request window is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full {
    /// Time after which a slot is expected to be free.
    pub retry_after: Duration,
}

/// Adaptive limit on concurrent requests to one backend server.
#[derive(Clone, Debug)]
pub struct Window {
    capacity: Capacity,
    settings: Settings,
    limit: u32,
    /// Limit up to which increases double it; above, they add 1.
    fast_growth_limit: u32,
    in_flight: u32,
    warming: bool,
    growth_round: GrowthRound,
    failures: Vec<Instant>,
    last_activity: Instant,
    unreachable_until: Instant,
    first_byte_latency: MovingAverage,
    request_time: MovingAverage,
    /// Expected time of the last slot that was assigned to a rejected caller.
    last_assigned_slot_at: Instant,
    reported: Option<LoadReport>,
}

/// Observations since the limit last changed, which decide when it may increase.
#[derive(Clone, Copy, Debug)]
struct GrowthRound {
    started_at: Instant,
    interval: Duration,
    successes: u32,
    limit_reached: bool,
}

/// A slot count reported by the backend server that is lower than the group's.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    slots: u32,
    honored_until: Instant,
}

impl Window {
    /// Creates a window at the cold limit, with default settings.
    #[must_use]
    pub fn new(capacity: Capacity, now: Instant) -> Self {
        Self::with_settings(capacity, Settings::default(), now)
    }

    /// Creates a window at the cold limit, with the given settings.
    #[must_use]
    pub fn with_settings(capacity: Capacity, settings: Settings, now: Instant) -> Self {
        Self {
            capacity,
            settings,
            limit: capacity.cold_slots.0,
            fast_growth_limit: capacity.slots.0,
            in_flight: 0,
            warming: true,
            growth_round: GrowthRound {
                started_at: now,
                interval: settings.cold_hold,
                successes: 0,
                limit_reached: false,
            },
            failures: Vec::new(),
            last_activity: now,
            unreachable_until: Instant::default(),
            first_byte_latency: MovingAverage::default(),
            request_time: MovingAverage::default(),
            last_assigned_slot_at: now,
            reported: None,
        }
    }

    /// Acquires a slot for one request.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if as many requests are in flight as the limit allows.
    pub fn acquire(&mut self, now: Instant) -> Result<(), Full> {
        self.reset_if_silent(now);
        if self.in_flight >= self.limit() {
            self.growth_round.limit_reached = true;
            return Err(self.reject(now));
        }
        self.in_flight += 1;
        if self.in_flight == 1 {
            self.last_activity = now;
        }
        self.growth_round.limit_reached |= self.in_flight >= self.limit;
        Ok(())
    }

    /// Releases a slot that was held for `held`, and adapts the limit to the outcome.
    pub fn release(&mut self, outcome: Outcome, held: Duration, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered(first_byte) => self.on_success(first_byte, held, now),
            Outcome::Refused | Outcome::Failed => self.on_failure(now),
            Outcome::DeadlineExceeded if self.exceeded_usual_latency(held) => self.on_failure(now),
            // The last retry before a deadline has little time left, so missing it doesn't
            // indicate a failure of the backend server.
            Outcome::DeadlineExceeded => {}
            Outcome::Unreachable => self.mark_unreachable(now),
            Outcome::Cancelled => {}
        }
    }

    /// Records activity of a request in flight, which restarts the stall timeout.
    pub fn record_activity(&mut self, now: Instant) {
        self.last_activity = now;
    }

    /// Records that the backend server is unreachable: resets the limit to the cold one and admits
    /// no new flows for [`Settings::unreachable_backoff`].
    pub fn mark_unreachable(&mut self, now: Instant) {
        self.unreachable_until = now + self.settings.unreachable_backoff;
        self.reset_to_cold(now);
        // Connection attempts are repeated while the backend server is down, so they must not
        // double the growth interval; only failures after it is reachable again do.
        self.start_growth_round(self.settings.cold_hold, now);
    }

    /// Applies the number of slots that the backend server reports to have.
    ///
    /// A report can only lower the limit, and never below the cold slots. Repeats of the same
    /// number are ignored after [`Settings::report_timeout`], so that successful requests can raise
    /// the limit again.
    pub fn apply_load_report(&mut self, slots: u32, now: Instant) {
        let slots = slots.max(self.capacity.cold_slots.0);
        if slots >= self.capacity.slots.0 {
            self.reported = None;
            return;
        }
        let honored_until = match self.reported {
            Some(report) if report.slots == slots => report.honored_until,
            _ => now + self.settings.report_timeout,
        };
        let is_honored = now < honored_until;
        self.reported = Some(LoadReport {
            slots,
            honored_until,
        });
        if is_honored {
            self.limit = self.limit.min(slots);
        }
    }

    /// Replaces the configured capacity and clamps the limit to it.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        if self.fast_growth_limit >= self.capacity.slots.0 {
            self.fast_growth_limit = capacity.slots.0;
        }
        self.fast_growth_limit = self.fast_growth_limit.min(capacity.slots.0);
        self.limit = self.limit.clamp(capacity.cold_slots.0, capacity.slots.0);
        self.capacity = capacity;
    }

    /// Decides whether the backend server accepts another flow.
    #[must_use]
    pub fn check_admission(&self, request: &NewFlow, now: Instant) -> Admission {
        if request.domain_out {
            return Admission::Refused(Reason::DomainOut);
        }
        if request.draining {
            return Admission::Refused(Reason::Draining);
        }
        if now < self.unreachable_until {
            return Admission::Refused(Reason::Unreachable);
        }
        if request.connections >= self.capacity.max_connections {
            return Admission::Refused(Reason::Connections);
        }
        // After other targets have forwarded the flow too, admitting it is better than rejecting
        // it: it may carry a live feed, which occupies no request slot.
        let is_full = !self.is_warm() && self.in_flight >= self.limit;
        if is_full && request.forwards < MAX_FULL_WINDOW_FORWARDS {
            return Admission::Refused(Reason::Window);
        }
        Admission::Admitted
    }

    /// Returns the current limit on concurrent requests.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns `true` if the limit has reached the group's configured slots.
    #[must_use]
    pub fn is_warm(&self) -> bool {
        self.limit >= self.capacity.slots.0
    }

    fn on_success(&mut self, first_byte: Duration, held: Duration, now: Instant) {
        self.last_activity = now;
        self.unreachable_until = Instant::default();
        self.request_time.add(held);
        if self
            .first_byte_latency
            .add_and_detect_jump(first_byte, &self.settings)
        {
            // A latency jump delays all requests in flight at once, so it may halve the limit only
            // once per interval.
            if now.since(self.growth_round.started_at) >= self.settings.growth_interval {
                self.shrink(now);
            }
            return;
        }
        self.growth_round.successes += 1;
        let saturated =
            self.growth_round.successes >= self.limit && self.growth_round.limit_reached;
        if saturated && now.since(self.growth_round.started_at) >= self.growth_round.interval {
            self.grow(now);
        }
    }

    /// Returns `true` if a request was held for far longer than the mean time to the first byte.
    fn exceeded_usual_latency(&self, held: Duration) -> bool {
        let baseline = self.first_byte_latency.mean_or(DEFAULT_REQUEST_TIME);
        self.settings.is_jump(held, baseline)
    }

    fn on_failure(&mut self, now: Instant) {
        self.last_activity = now;
        let burst_window = self.settings.burst_window;
        self.failures
            .retain(|failure| now.since(*failure) < burst_window);
        self.failures.push(now);
        if self.failures.len() >= self.settings.burst_failures as usize {
            self.reset_to_cold(now);
        } else {
            self.shrink(now);
        }
    }

    fn grow(&mut self, now: Instant) {
        let grown = if self.limit < self.fast_growth_limit {
            (self.limit * 2).min(self.fast_growth_limit)
        } else {
            self.limit + 1
        };
        self.limit = grown.min(self.max_limit(now)).max(self.limit);
        self.warming &= !self.is_warm();
        let min_interval = if self.warming {
            self.settings.warming_growth_interval
        } else {
            self.settings.growth_interval
        };
        self.start_growth_round(min_interval.max(self.growth_round.interval / 2), now);
    }

    fn shrink(&mut self, now: Instant) {
        self.fast_growth_limit = (self.limit / 2).max(self.capacity.cold_slots.0);
        self.limit = self.fast_growth_limit;
        self.extend_growth_interval(Duration::ZERO, now);
    }

    fn reset_to_cold(&mut self, now: Instant) {
        if self.limit > self.capacity.cold_slots.0 {
            self.fast_growth_limit = (self.limit / 2).max(self.capacity.cold_slots.0);
        }
        self.limit = self.capacity.cold_slots.0;
        self.warming = true;
        self.failures.clear();
        self.first_byte_latency = MovingAverage::default();
        self.extend_growth_interval(self.settings.cold_hold, now);
    }

    /// Doubles the growth interval up to its maximum, and extends it to at least `min_interval`.
    fn extend_growth_interval(&mut self, min_interval: Duration, now: Instant) {
        let interval = (self.growth_round.interval * 2).min(self.settings.max_growth_interval);
        self.start_growth_round(interval.max(min_interval), now);
    }

    fn start_growth_round(&mut self, interval: Duration, now: Instant) {
        self.growth_round = GrowthRound {
            started_at: now,
            interval,
            successes: 0,
            limit_reached: false,
        };
    }

    /// Returns the highest limit that the configured capacity and the last report allow.
    fn max_limit(&self, now: Instant) -> u32 {
        let reported = self.reported.filter(|report| now < report.honored_until);
        let reported = reported.map_or(u32::MAX, |report| report.slots);
        self.capacity.slots.0.min(reported)
    }

    fn reset_if_silent(&mut self, now: Instant) {
        let timeout = if self.in_flight == 0 {
            self.settings.idle_timeout
        } else {
            self.settings.stall_timeout
        };
        if now.since(self.last_activity) >= timeout {
            self.last_activity = now;
            self.reset_to_cold(now);
        }
    }

    /// Returns an error that assigns each rejected caller its own expected slot, spaced by the mean
    /// time between releases, so that callers don't retry at the same moment.
    fn reject(&mut self, now: Instant) -> Full {
        let slot_interval = self.request_time.mean_or(DEFAULT_REQUEST_TIME) / self.limit.max(1);
        self.last_assigned_slot_at = self.last_assigned_slot_at.max(now) + slot_interval;
        let wait = self.last_assigned_slot_at.since(now);
        let limit = self.settings.max_retry_after;
        self.last_assigned_slot_at = self.last_assigned_slot_at.min(now + limit);
        Full {
            retry_after: wait.clamp(self.settings.min_retry_after, limit),
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered(first_byte) => {
                write!(
                    formatter,
                    "response started after {} ms",
                    first_byte.as_millis()
                )
            }
            Self::Refused => formatter.write_str("refused by the backend server"),
            Self::Failed => formatter.write_str("failed"),
            Self::DeadlineExceeded => formatter.write_str("deadline passed without a response"),
            Self::Unreachable => formatter.write_str("backend server is unreachable"),
            Self::Cancelled => formatter.write_str("cancelled by the caller"),
        }
    }
}

impl fmt::Display for Full {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let wait = self.retry_after.as_millis();
        write!(formatter, "request window is full; retry after {wait} ms")
    }
}

impl std::error::Error for Full {}
