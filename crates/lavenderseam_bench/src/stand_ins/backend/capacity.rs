//! Request capacity of a simulated backend server, from a cold start until it is warm.

use std::time::Duration;

/// Concurrent requests that a cold backend server can handle.
const COLD_SLOTS: u32 = 1;
/// Multiple of the current limit beyond which a cold backend server crashes.
const CRASH_LOAD_FACTOR: u32 = 2;

/// Decision on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs.
    Run,
    /// The request is rejected before it runs.
    Shed,
    /// The backend server crashes and fails all requests that run.
    Crash,
}

/// Concurrency limit and slots in use; times count from the start of the process.
#[derive(Clone, Debug)]
pub struct Capacity {
    slots: u32,
    cold_duration: Duration,
    ramp_duration: Duration,
    cold_since: Option<Duration>,
    in_use: u32,
    generation: u64,
    peak_overload: f64,
}

impl Capacity {
    /// Creates the state of a warm backend server. After a cold start, its limit stays at one
    /// request for `cold_duration` and then grows linearly to `slots` during `ramp_duration`.
    #[must_use]
    pub const fn new(slots: u32, cold_duration: Duration, ramp_duration: Duration) -> Self {
        Self {
            slots,
            cold_duration,
            ramp_duration,
            cold_since: None,
            in_use: 0,
            generation: 0,
            peak_overload: 0.0,
        }
    }

    /// Starts a cold phase; requests that already run continue.
    pub const fn start_cold_phase(&mut self, now: Duration) {
        self.cold_since = Some(now);
    }

    /// Number of concurrent requests that it can handle at `now`.
    #[must_use]
    pub fn limit(&self, now: Duration) -> u32 {
        let Some(since) = self.cold_since else {
            return self.slots;
        };
        let ramp_elapsed = now.saturating_sub(since).saturating_sub(self.cold_duration);
        if now.saturating_sub(since) < self.cold_duration {
            return COLD_SLOTS;
        }
        let share =
            (ramp_elapsed.as_secs_f64() / self.ramp_duration.as_secs_f64().max(1e-9)).min(1.0);
        let extra = f64::from(self.slots - COLD_SLOTS) * share;
        COLD_SLOTS + extra as u32
    }

    /// `true` while the limit is below the number of slots.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        self.limit(now) < self.slots
    }

    /// Decides whether a request runs, is shed, or crashes the backend server.
    ///
    /// Returns the decision with the current generation, which counts crashes. The generation of a
    /// request that runs must be passed to [`Self::finish`], which uses it to detect a crash in
    /// between.
    pub fn admit(&mut self, now: Duration) -> (Admission, u64) {
        let limit = self.limit(now);
        let requested = self.in_use + 1;
        if !self.is_cold(now) {
            self.cold_since = None;
            if requested > self.slots {
                return (Admission::Shed, self.generation);
            }
            self.in_use = requested;
            return (Admission::Run, self.generation);
        }
        self.peak_overload = self
            .peak_overload
            .max(f64::from(requested) / f64::from(limit));
        if requested > CRASH_LOAD_FACTOR * limit {
            self.crash(now);
            return (Admission::Crash, self.generation);
        }
        self.in_use = requested;
        (Admission::Run, self.generation)
    }

    /// Frees the slot of a request; returns `false` if a crash ended the request.
    pub const fn finish(&mut self, generation: u64) -> bool {
        if generation != self.generation {
            return false;
        }
        self.in_use = self.in_use.saturating_sub(1);
        true
    }

    /// Number of slots in use.
    #[must_use]
    pub const fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Number of crashes.
    #[must_use]
    pub const fn crashes(&self) -> u64 {
        self.generation
    }

    /// Highest ratio of concurrent requests to the limit while cold.
    #[must_use]
    pub const fn peak_overload(&self) -> f64 {
        self.peak_overload
    }

    const fn crash(&mut self, now: Duration) {
        self.generation += 1;
        self.in_use = 0;
        self.cold_since = Some(now);
    }
}
