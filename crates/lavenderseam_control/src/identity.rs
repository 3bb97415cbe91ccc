//! Who a process is.

use std::net::SocketAddr;

use lavenderseam_core::id;
use lavenderseam_wire::Key;

/// What a process is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// A balancer.
    Balancer(id::Balancer),
    /// The agent of a target in a group.
    Agent {
        /// The target.
        target: id::Target,
        /// Its group.
        group: id::Group,
    },
}

/// Who a process is; a resource of every daemon.
#[derive(Clone, Debug)]
pub struct Identity {
    /// What the process is.
    pub role: Role,
    /// Failure domain that it lives in.
    pub domain: id::Domain,
    /// Region that it lives in.
    pub region: id::Region,
    /// Its address for sealed frames.
    pub peer: SocketAddr,
    /// Its address for remote calls.
    pub rpc: SocketAddr,
    /// Its present run.
    pub incarnation: id::Incarnation,
    /// Key that the processes of the installation share.
    pub key: Key,
}
