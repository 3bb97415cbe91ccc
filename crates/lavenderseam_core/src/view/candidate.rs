//! A target as routing sees it.

use std::fmt;
use std::net::SocketAddr;

use crate::{id, record};

/// What a target may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// New flows and packets of its own flows.
    Serving,
    /// Packets of its own flows; new flows only if no other target takes them.
    Down,
    /// Packets of its own flows only.
    Draining,
    /// Nothing: its failure domain is out.
    Out,
}

/// A target as routing sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name.
    pub name: id::Target,
    /// Tag of the name.
    pub tag: id::Tag,
    /// Group that it belongs to.
    pub group: id::Group,
    /// Failure domain that it lives in.
    pub domain: id::Domain,
    /// Region that it lives in.
    pub region: id::Region,
    /// Address of its agent for sealed frames.
    pub peer: SocketAddr,
    /// Address of its agent for remote calls.
    pub rpc: SocketAddr,
    /// Its agent's present run.
    pub incarnation: id::Incarnation,
    /// What it may be given.
    pub standing: Standing,
}

impl Candidate {
    /// A candidate from a target's record.
    #[must_use]
    pub fn new(name: id::Target, target: record::Target, standing: Standing) -> Self {
        Self {
            tag: id::Tag::new(&name),
            name,
            group: target.group,
            domain: target.domain,
            region: target.region,
            peer: target.peer,
            rpc: target.rpc,
            incarnation: target.incarnation,
            standing,
        }
    }

    /// Whether it may hold established flows.
    #[must_use]
    pub fn holds_flows(&self) -> bool {
        self.standing != Standing::Out
    }

    /// Whether it may be offered new flows.
    #[must_use]
    pub fn takes_flows(&self) -> bool {
        matches!(self.standing, Standing::Serving | Standing::Down)
    }
}

impl fmt::Display for Standing {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Serving => "serving",
            Self::Down => "down",
            Self::Draining => "draining",
            Self::Out => "out",
        })
    }
}
