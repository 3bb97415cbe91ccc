//! Faults of the fabric.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

/// A fault that the fabric stand-in is given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Drops what one process exchanges with the fabric; the process is known by its IP address.
    Cut {
        /// The process's address.
        process: IpAddr,
        /// Whether it holds from now on.
        on: bool,
    },
    /// Drops the packets between a service and a process.
    CutPair {
        /// The service's address.
        service: SocketAddr,
        /// The process's address.
        process: IpAddr,
        /// Whether it holds from now on.
        on: bool,
    },
    /// Loses track of a caller's flow for good: drops its packets in both directions.
    Forget {
        /// The caller's address.
        caller: SocketAddr,
    },
    /// Loses track of the flows that are the longest established.
    ForgetOldest {
        /// Number of flows.
        count: usize,
    },
}
