//! Faults of a backend server.

use serde::{Deserialize, Serialize};

/// What an endpoint says against the truth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lie {
    /// None: it says the truth.
    None,
    /// Health: always 200.
    Healthy,
    /// Health: always 503.
    Unhealthy,
    /// Load: no slot in use.
    Idle,
    /// Load: all slots in use.
    Full,
}

/// A fault that a backend server stand-in is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Turns it cold.
    Cold,
    /// Makes its endpoints lie.
    Lie {
        /// The lie.
        lie: Lie,
    },
    /// Whether it sheds all requests.
    Shed {
        /// Whether it holds from now on.
        on: bool,
    },
}
