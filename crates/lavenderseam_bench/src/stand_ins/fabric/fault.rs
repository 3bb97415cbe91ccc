//! Faults that the simulated fabric can be given.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

/// A fault injected into the simulated fabric.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Drops all packets between the fabric and one process.
    Cut {
        /// IP address of the process.
        process: IpAddr,
        /// `true` to start the fault, `false` to end it.
        on: bool,
    },
    /// Drops the packets between a service and a process.
    CutPair {
        /// Address of the service.
        service: SocketAddr,
        /// IP address of the process.
        process: IpAddr,
        /// `true` to start the fault, `false` to end it.
        on: bool,
    },
    /// Permanently drops a caller's packets in both directions.
    Forget {
        /// Address of the caller.
        caller: SocketAddr,
    },
    /// Applies [`Fault::Forget`] to the flows that have been open longest.
    ForgetOldest {
        /// Number of flows.
        count: usize,
    },
}
