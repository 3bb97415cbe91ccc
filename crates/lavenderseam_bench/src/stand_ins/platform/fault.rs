//! Faults that the simulated platform can be given.

use serde::{Deserialize, Serialize};

/// A fault injected into the simulated platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Starts or ends an outage, in which calls get no response and have no effect.
    Down {
        /// `true` to start the fault, `false` to end it.
        on: bool,
    },
    /// Delays each response.
    Slow {
        /// Delay in milliseconds; 0 ends the fault.
        delay_ms: u64,
    },
    /// Drops responses to writes that have taken effect.
    LoseAnswers {
        /// Percentage of writes whose response is dropped; 0 ends the fault.
        percent: u8,
    },
    /// Replaces the objects by a copy, as after a loss of the store. Revisions after that of the
    /// copy are assigned again.
    Restore {
        /// Minimum age of the copy, in milliseconds.
        age_ms: u64,
        /// Delay after which the operators write again what they had written, in milliseconds.
        rewrite_after_ms: u64,
    },
}

/// Faults that are active.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) down: bool,
    pub(crate) delay_ms: u64,
    pub(crate) lost_percent: u8,
}

impl Faults {
    pub(crate) fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Down { on } => self.down = on,
            Fault::Slow { delay_ms } => self.delay_ms = delay_ms,
            Fault::LoseAnswers { percent } => self.lost_percent = percent,
            Fault::Restore { .. } => {}
        }
    }
}
