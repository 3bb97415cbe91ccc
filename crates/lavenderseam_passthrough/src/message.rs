//! What balancers and agents tell each other, one message a datagram.
//!
//! A message that concerns a packet is followed by the packet's bytes, unchanged.

use std::fmt;
use std::net::SocketAddrV4;

use lavenderseam_core::catalog::Revision;
use lavenderseam_core::rank::score;
use serde::{Deserialize, Serialize};

use crate::flow::Flow;

/// Targets that a packet is tried at before it is given up.
pub const TRAIL_LIMIT: usize = 96;

/// Short name of a target: a hash of its agent's address.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tag(pub u32);

/// Short name of a service: a hash of its name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ServiceTag(pub u64);

/// Why an agent returns a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Neither the agent nor its backend server holds the flow.
    NotHeld,
    /// The backend server that held the flow has ended.
    Ended,
    /// All slots are in use.
    Busy,
    /// A cold backend server has received what it bears.
    Cold,
    /// The backend server holds as many flows as it may.
    Full,
    /// The backend server is leaving.
    Draining,
    /// No backend server has announced itself there.
    Unready,
    /// The backend server belongs to another service.
    OtherService,
    /// The backend server itself rejected the flow.
    Shed,
    /// The failure domain is out.
    DomainOut,
}

/// Where a packet has been.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trail {
    /// Targets that can't take it.
    pub refused: Vec<Tag>,
    /// Targets that could take it if it must wait.
    pub busy: Vec<Tag>,
    /// Targets that haven't answered, so that nothing is known of them.
    pub silent: Vec<Tag>,
    /// Whether a target may queue the flow, because none has a free slot.
    pub queues: bool,
}

/// A packet from a balancer to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Carry {
    /// Service that the packet is for.
    pub service: ServiceTag,
    /// Whether the balancer wants to hear that the flow is held.
    pub asks: bool,
    /// Where the packet has been.
    pub trail: Trail,
}

/// A packet that an agent can't take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Returned {
    /// Why.
    pub reason: Reason,
    /// The agent's load.
    pub load: Load,
    /// The message that the packet came with.
    pub carry: Carry,
}

/// An agent holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The flow.
    pub flow: Flow,
    /// The agent's load.
    pub load: Load,
}

/// Work at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Flows that wait for an answer now, and slots that failed requests keep.
    pub busy: u16,
    /// Mean of `busy` over the last second, in hundredths.
    pub mean: u16,
    /// Requests that the backend server handles at once.
    pub slots: u16,
    /// Flows held.
    pub flows: u32,
    /// Mean wait of its last answers, in tenths of a millisecond; none before it has given some.
    pub wait: Option<u16>,
    /// Openers that a cold backend server still bears in this second; none if it is warm.
    pub cold: Option<u16>,
}

/// State of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It takes flows.
    Ready,
    /// It keeps its flows and takes no more.
    Draining,
    /// Its backend server has ended, and its flows with it.
    Ended,
    /// The agent hasn't heard its backend server yet, which may hold flows.
    #[default]
    Unknown,
}

/// A target as a balancer knows it, told to other balancers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// Address of its agent.
    pub agent: SocketAddrV4,
    /// Time since a balancer heard it, in milliseconds.
    pub age_ms: u64,
    /// The last announcement that was heard.
    pub announcement: Announcement,
}

/// What an agent tells balancers of its target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Present run of the agent, drawn at its start.
    pub run: u64,
    /// Counts the announcements of a run, so that a late one can be told.
    pub count: u64,
    /// Name of the target's service.
    pub service: String,
    /// Failure domain that it lives in.
    pub domain: String,
    /// Its state.
    pub standing: Standing,
    /// Its load.
    pub load: Load,
    /// Whether the agent has lately heard the balancer that this goes to: packets may pass in one
    /// direction only.
    pub hears: bool,
    /// Whether the agent wants to know the balancers.
    pub asks: bool,
}

/// A balancer's answer to an announcement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Welcome {
    /// The balancers known, if the agent asked for them.
    pub balancers: Vec<SocketAddrV4>,
    /// Revision of the desired state behind the fields below.
    pub revision: Revision,
    /// Whether that desired state names the target's service.
    pub known: bool,
    /// Revision of the failure domains that are out.
    pub outs: Revision,
    /// Whether the target's failure domain is out.
    pub out: bool,
    /// Openers a second that a cold backend server of the service bears.
    pub cold_rate: Option<f64>,
    /// Flows that a backend server of the service holds.
    pub connections: Option<u32>,
}

/// What a balancer tells other balancers of its records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Revision of the desired state; 0 if it holds none.
    pub desired: Revision,
    /// Revision of the failure domains that are out.
    pub outs: Revision,
    /// Digest of the targets known that haven't ended.
    pub targets: u64,
    /// Address for remote calls.
    pub rpc: Option<SocketAddrV4>,
    /// The balancers known.
    pub balancers: Vec<SocketAddrV4>,
}

/// A message between processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A packet to an agent.
    Carry(Carry),
    /// A packet back to a balancer.
    Returned(Returned),
    /// An agent holds a flow.
    Held(Held),
    /// An agent's state.
    Announcement(Announcement),
    /// A balancer's answer.
    Welcome(Welcome),
    /// A balancer's records.
    Gossip(Gossip),
}

/// A datagram is no message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub postcard::Error);

impl Message {
    /// Writes the message into `buffer`, followed by a packet.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] if the message can't be serialised.
    pub fn encode(&self, packet: &[u8], buffer: &mut Vec<u8>) -> Result<(), Malformed> {
        buffer.clear();
        let taken = std::mem::take(buffer);
        *buffer = postcard::to_extend(self, taken).map_err(Malformed)?;
        buffer.extend_from_slice(packet);
        Ok(())
    }

    /// Reads a datagram: the message, and the packet behind it.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] if it doesn't begin with a message.
    pub fn decode(datagram: &[u8]) -> Result<(Self, &[u8]), Malformed> {
        postcard::take_from_bytes(datagram).map_err(Malformed)
    }
}

impl Tag {
    /// The tag of the target with an agent at this address.
    #[must_use]
    pub fn new(agent: SocketAddrV4) -> Self {
        let word = (u64::from(agent.ip().to_bits()) << 16) | u64::from(agent.port());
        Self((score(word, TAG_SEED) >> 32) as u32)
    }
}

/// Keeps tags apart from other uses of the same mixing function.
const TAG_SEED: u64 = 0x54_4147;

impl ServiceTag {
    /// The tag of a service.
    #[must_use]
    pub fn new(name: &str) -> Self {
        let word = name
            .bytes()
            .fold(0, |word, byte| score(word, u64::from(byte)));
        Self(word)
    }
}

impl Trail {
    /// Whether the packet has been at a target.
    #[must_use]
    pub fn visited(&self, tag: Tag) -> bool {
        let visited = [&self.refused, &self.busy, &self.silent];
        visited.iter().any(|tags| tags.contains(&tag))
    }

    /// Number of targets visited.
    #[must_use]
    pub fn len(&self) -> usize {
        self.refused.len() + self.busy.len() + self.silent.len()
    }

    /// Whether the packet hasn't been anywhere.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Reason {
    /// Its name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotHeld => "not_held",
            Self::Ended => "ended",
            Self::Busy => "busy",
            Self::Cold => "cold",
            Self::Full => "full",
            Self::Draining => "draining",
            Self::Unready => "unready",
            Self::OtherService => "other_service",
            Self::Shed => "shed",
            Self::DomainOut => "domain_out",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "datagram is no message: {}", self.0)
    }
}

impl std::error::Error for Malformed {}
