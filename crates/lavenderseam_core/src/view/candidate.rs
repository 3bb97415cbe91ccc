//! Targets in the routing view, with the traffic that each may receive.

use std::fmt;
use std::net::SocketAddr;

use crate::{id, record};

/// Which traffic a target may receive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TargetState {
    /// New flows, and packets of its established flows.
    Serving,
    /// Packets of its established flows; new flows only if no other target accepts them.
    Down,
    /// Packets of its established flows only.
    Draining,
    /// No traffic: its failure domain is out of service.
    Out,
}

/// A target in the routing view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the target.
    pub name: id::Target,
    /// Hash of the name.
    pub tag: id::Tag,
    /// Backend group that the target belongs to.
    pub group: id::Group,
    /// Failure domain that the target runs in.
    pub domain: id::Domain,
    /// Region that the target runs in.
    pub region: id::Region,
    /// UDP address at which the target's agent receives encrypted frames.
    pub peer: SocketAddr,
    /// Address of the RPC endpoint of the target's agent.
    pub rpc: SocketAddr,
    /// Current run of the target's agent.
    pub incarnation: id::Incarnation,
    /// Which traffic the target may receive.
    pub state: TargetState,
}

impl Candidate {
    /// Creates a candidate from a target's record.
    #[must_use]
    pub fn new(name: id::Target, target: record::Target, state: TargetState) -> Self {
        Self {
            tag: id::Tag::new(&name),
            name,
            group: target.group,
            domain: target.domain,
            region: target.region,
            peer: target.peer,
            rpc: target.rpc,
            incarnation: target.incarnation,
            state,
        }
    }

    /// Returns `true` if the target may receive packets of established flows.
    #[must_use]
    pub fn accepts_established_flows(&self) -> bool {
        self.state != TargetState::Out
    }

    /// Returns `true` if the target may receive new flows, at least as a last resort.
    #[must_use]
    pub fn accepts_new_flows(&self) -> bool {
        matches!(self.state, TargetState::Serving | TargetState::Down)
    }
}

impl fmt::Display for TargetState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Serving => "serving",
            Self::Down => "down",
            Self::Draining => "draining",
            Self::Out => "out",
        })
    }
}
