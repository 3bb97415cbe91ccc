//! Faults of the platform.

use serde::{Deserialize, Serialize};

/// A fault that the platform stand-in is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Whether calls end without an answer and without effect.
    Down {
        /// Whether it holds from now on.
        on: bool,
    },
    /// Delays each answer.
    Slow {
        /// Delay in milliseconds; 0 ends the fault.
        delay_ms: u64,
    },
    /// Loses answers to writes that have taken effect.
    LoseAnswers {
        /// Writes out of a hundred whose answer is lost; 0 ends the fault.
        percent: u8,
    },
}

/// The faults in force.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) down: bool,
    pub(crate) delay_ms: u64,
    pub(crate) lost_percent: u8,
}

impl Faults {
    pub(crate) fn set(&mut self, fault: Fault) {
        match fault {
            Fault::Down { on } => self.down = on,
            Fault::Slow { delay_ms } => self.delay_ms = delay_ms,
            Fault::LoseAnswers { percent } => self.lost_percent = percent,
        }
    }
}
