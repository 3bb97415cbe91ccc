//! Faults that a simulated backend server can be given.

use serde::{Deserialize, Serialize};

/// False answer of the health or load endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FalseReport {
    /// Endpoints report the actual state.
    None,
    /// The health endpoint always answers 200.
    Healthy,
    /// The health endpoint always answers 503.
    Unhealthy,
    /// The load endpoint reports no slot in use.
    Idle,
    /// The load endpoint reports all slots in use.
    Full,
}

/// A fault injected into a simulated backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Starts a cold phase.
    Cold,
    /// Sets the false answer of an endpoint.
    Lie {
        /// The false answer, or `none` to end the fault.
        lie: FalseReport,
    },
    /// Starts or stops rejecting all requests.
    Shed {
        /// `true` to start the fault, `false` to end it.
        on: bool,
    },
}
