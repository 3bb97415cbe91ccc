//! What a backend server bears, from cold to warm.

use std::time::Duration;

/// Requests that a cold backend server bears.
const COLD_SLOTS: u32 = 1;
/// Multiple of what it bears beyond which a cold backend server falls over.
const FALL_OVER: u32 = 2;

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs.
    Run,
    /// It is shed before it runs.
    Shed,
    /// The backend server falls over.
    FallOver,
}

/// Slots in use and what is borne; times are counted from the start of the process.
#[derive(Clone, Debug)]
pub struct Capacity {
    slots: u32,
    cold: Duration,
    ramp: Duration,
    cold_since: Option<Duration>,
    in_use: u32,
    generation: u64,
    peak: f64,
}

impl Capacity {
    /// A warm backend server with a number of slots; `cold` is how long it bears one request after
    /// a cold start and `ramp` how long it then takes to bear them all.
    #[must_use]
    pub const fn new(slots: u32, cold: Duration, ramp: Duration) -> Self {
        Self {
            slots,
            cold,
            ramp,
            cold_since: None,
            in_use: 0,
            generation: 0,
            peak: 0.0,
        }
    }

    /// Turns it cold; requests that run go on.
    pub const fn turn_cold(&mut self, now: Duration) {
        self.cold_since = Some(now);
    }

    /// Concurrent requests that it bears.
    #[must_use]
    pub fn bears(&self, now: Duration) -> u32 {
        let Some(since) = self.cold_since else {
            return self.slots;
        };
        let warming = now.saturating_sub(since).saturating_sub(self.cold);
        if now.saturating_sub(since) < self.cold {
            return COLD_SLOTS;
        }
        let share = (warming.as_secs_f64() / self.ramp.as_secs_f64().max(1e-9)).min(1.0);
        let extra = f64::from(self.slots - COLD_SLOTS) * share;
        COLD_SLOTS + extra as u32
    }

    /// Whether it bears less than all its slots.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        self.bears(now) < self.slots
    }

    /// Decides on a request; one that runs must be finished with the generation returned.
    pub fn admit(&mut self, now: Duration) -> (Admission, u64) {
        let bears = self.bears(now);
        let wanted = self.in_use + 1;
        if !self.is_cold(now) {
            self.cold_since = None;
            if wanted > self.slots {
                return (Admission::Shed, self.generation);
            }
            self.in_use = wanted;
            return (Admission::Run, self.generation);
        }
        self.peak = self.peak.max(f64::from(wanted) / f64::from(bears));
        if wanted > FALL_OVER * bears {
            self.fall_over(now);
            return (Admission::FallOver, self.generation);
        }
        self.in_use = wanted;
        (Admission::Run, self.generation)
    }

    /// Frees the slot of a request; whether the request survived.
    pub const fn finish(&mut self, generation: u64) -> bool {
        if generation != self.generation {
            return false;
        }
        self.in_use = self.in_use.saturating_sub(1);
        true
    }

    /// Slots in use.
    #[must_use]
    pub const fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Number of times that it fell over.
    #[must_use]
    pub const fn falls(&self) -> u64 {
        self.generation
    }

    /// Most concurrent work while cold, over what it bore at that time.
    #[must_use]
    pub const fn peak(&self) -> f64 {
        self.peak
    }

    const fn fall_over(&mut self, now: Duration) {
        self.generation += 1;
        self.in_use = 0;
        self.cold_since = Some(now);
    }
}
