//! Role, location and addresses of a process.

use std::net::SocketAddr;

use lavenderseam_core::id;
use lavenderseam_wire::SymmetricKey;

/// Kind of a process and the record name that it registers under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// A balancer, with its name.
    Balancer(id::Balancer),
    /// An agent, which runs beside a backend server.
    Agent {
        /// Name of the target that the agent registers.
        target: id::Target,
        /// Group of targets that the target belongs to.
        group: id::Group,
    },
}

/// Role, location, addresses and keys of a process; a resource of every daemon.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Kind and name of the process.
    pub role: Role,
    /// Failure domain that the process runs in.
    pub domain: id::Domain,
    /// Region that the process runs in.
    pub region: id::Region,
    /// UDP address for authenticated frames between processes.
    pub peer_address: SocketAddr,
    /// TCP address for RPC calls.
    pub rpc_address: SocketAddr,
    /// Random number drawn at every start, which distinguishes this run from earlier ones.
    pub incarnation: id::Incarnation,
    /// Secret key shared by all processes of the installation.
    pub shared_key: SymmetricKey,
}
