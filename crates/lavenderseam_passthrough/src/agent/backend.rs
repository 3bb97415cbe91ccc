//! What is known of the backend server beside the agent.

use std::fmt;
use std::time::Duration;

use lavenderseam_core::time::Instant;

use crate::message::Standing;

/// Sequence number of a backend server's first heartbeats: one that was sent before the agent
/// listened may be lost, and openers are admitted only after one was acknowledged.
const FIRST: u64 = 1;

/// A heartbeat of the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The backend server's id.
    pub id: String,
    /// Time of its start, in milliseconds since the epoch; none if it doesn't say.
    pub born: Option<u64>,
    /// Counts its heartbeats.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: String,
    /// Whether it takes flows or is leaving.
    pub draining: bool,
    /// Requests that it handles at once.
    pub slots: u16,
    /// How long it stays cold.
    pub cold: Duration,
}

/// One run of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Incarnation {
    id: String,
    born: Option<u64>,
    sequence: u64,
    draining: bool,
    /// Requests that it handles at once.
    pub(crate) slots: u16,
    /// When it is warm.
    warm: Instant,
    /// Whether the agent has seen every flow that it may hold.
    certain: bool,
}

/// The backend server beside the agent.
#[derive(Clone, Debug, Default)]
pub(crate) enum Backend {
    /// Nothing has been heard.
    #[default]
    Unknown,
    /// It runs.
    Present(Incarnation),
    /// It has ended; holds the last run.
    Ended(Incarnation),
}

/// What a heartbeat means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beat {
    /// The run that is known goes on.
    Known,
    /// The run that is known goes on, with another standing.
    Changed,
    /// A run that wasn't known.
    New {
        /// Whether it replaces a run that has ended by that.
        replaces: bool,
    },
}

/// Why a heartbeat is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// It belongs to a run that has ended, or is older than one taken before.
    Late,
    /// It comes from a backend server of another service; holds the name.
    OtherService(String),
}

impl Backend {
    /// Takes a heartbeat.
    pub(crate) fn beat(&mut self, beat: &Heartbeat, now: Instant) -> Result<Beat, Rejection> {
        let held = match self {
            Self::Unknown => {
                *self = Self::Present(Incarnation::new(beat, beat.sequence <= FIRST, now));
                return Ok(Beat::New { replaces: false });
            }
            Self::Present(held) | Self::Ended(held) => held,
        };
        if held.id == beat.id && held.born == beat.born {
            if beat.sequence <= held.sequence {
                return Err(Rejection::Late);
            }
            let changed = held.draining != beat.draining;
            held.renew(beat, now);
            if let Self::Ended(held) = self {
                *self = Self::Present(held.clone());
                return Ok(Beat::Changed);
            }
            return Ok(if changed { Beat::Changed } else { Beat::Known });
        }
        if beat.born < held.born {
            return Err(Rejection::Late);
        }
        let replaces = matches!(self, Self::Present(_));
        *self = Self::Present(Incarnation::new(beat, true, now));
        Ok(Beat::New { replaces })
    }

    /// Notes that the run has ended; returns whether it ran.
    pub(crate) fn end(&mut self) -> bool {
        if let Self::Present(held) = self {
            *self = Self::Ended(held.clone());
            return true;
        }
        false
    }

    /// Notes that the run with an id has ended; returns whether it ran.
    pub(crate) fn depart(&mut self, id: &str) -> bool {
        matches!(self, Self::Present(held) if held.id == id) && self.end()
    }

    /// The run that goes on.
    pub(crate) const fn present(&self) -> Option<&Incarnation> {
        match self {
            Self::Present(held) => Some(held),
            Self::Unknown | Self::Ended(_) => None,
        }
    }

    /// Whether the agent has seen every flow that it may hold.
    pub(crate) const fn is_certain(&self) -> bool {
        match self {
            Self::Unknown => false,
            Self::Present(held) => held.certain,
            Self::Ended(_) => true,
        }
    }

    /// Its state as balancers are told.
    pub(crate) fn standing(&self) -> Standing {
        match self {
            Self::Unknown => Standing::Unknown,
            Self::Ended(_) => Standing::Ended,
            Self::Present(held) if held.draining => Standing::Draining,
            Self::Present(_) => Standing::Ready,
        }
    }
}

impl Incarnation {
    fn new(beat: &Heartbeat, certain: bool, now: Instant) -> Self {
        Self {
            id: beat.id.clone(),
            born: beat.born,
            sequence: beat.sequence,
            draining: beat.draining,
            slots: beat.slots.max(1),
            warm: now + beat.cold,
            certain,
        }
    }

    fn renew(&mut self, beat: &Heartbeat, now: Instant) {
        self.sequence = beat.sequence;
        self.draining = beat.draining;
        self.slots = beat.slots.max(1);
        self.warm = now + beat.cold;
    }

    /// Whether it is leaving.
    pub(crate) const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether it is cold.
    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        now < self.warm
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Late => formatter.write_str("heartbeat is older than one taken before"),
            Self::OtherService(service) => {
                write!(formatter, "heartbeat comes from service {service:?}")
            }
        }
    }
}

impl std::error::Error for Rejection {}
