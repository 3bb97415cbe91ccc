//! Protocol between balancers and agents: one message per datagram.
//!
//! A message about a packet is followed by the unmodified bytes of that packet.

use std::fmt;
use std::net::SocketAddrV4;

use lavenderseam_core::catalog::{Epoch, Revision};
use lavenderseam_core::rank::score;
use serde::{Deserialize, Serialize};

use crate::flow::Flow;

/// Maximum number of targets that the balancer sends a packet to before it drops the packet.
pub const MAX_ATTEMPTED_TARGETS: usize = 96;
/// Maximum number of flows that one location query asks about.
pub const MAX_PROBES_PER_QUERY: usize = 32;

/// Maximum number of flows in one [`FlowReport`], so that it fits into a datagram.
pub const MAX_FLOWS_PER_REPORT: usize = 40;

/// Digest in the gossip of a balancer that has just started and may not know all targets yet.
pub const INCOMPLETE_TARGETS: u64 = 0;

/// Identifies a target by a hash of its agent's address.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TargetId(pub u32);

/// Identifies a service by a hash of its name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ServiceId(pub u64);

/// Reason for which an agent returns a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Neither the agent nor its backend server holds the flow.
    NotHeld,
    /// The backend server that held the flow has terminated.
    Ended,
    /// All request slots of the backend server are in use.
    Busy,
    /// The backend server is cold and has reached its rate limit for new flows.
    Cold,
    /// The backend server holds its maximum number of flows.
    Full,
    /// The backend server is draining.
    Draining,
    /// No running backend server is known to the agent.
    Unready,
    /// The backend server belongs to another service.
    OtherService,
    /// The backend server itself rejected the flow.
    Shed,
    /// The failure domain of the target is out of service.
    DomainOut,
}

/// Targets that a packet has been sent to so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptedTargets {
    /// Targets that rejected the packet and won't accept it if it is sent again.
    pub refused: Vec<TargetId>,
    /// Targets without a free slot, which may still accept the flow into their queue.
    pub busy: Vec<TargetId>,
    /// Targets that haven't responded, so that it is unknown whether they hold the flow.
    #[serde(rename = "silent")]
    pub unresponsive: Vec<TargetId>,
    /// `true` if the target may queue the flow because no target has a free slot.
    #[serde(rename = "queues")]
    pub may_queue: bool,
}

/// Header of a packet that a balancer forwards to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHeader {
    /// Service that the packet is addressed to.
    pub service: ServiceId,
    /// `true` if the balancer requests a [`FlowConfirmation`] message in case the agent holds the
    /// flow.
    #[serde(rename = "asks")]
    pub wants_confirmation: bool,
    /// Targets that the packet has been sent to before.
    #[serde(rename = "trail")]
    pub attempted: AttemptedTargets,
}

/// Header of a packet that an agent returns to a balancer because it can't accept it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnHeader {
    /// Reason for which the packet was returned.
    pub reason: Reason,
    /// Current load of the target.
    pub load: Load,
    /// Header that the packet was forwarded with.
    #[serde(rename = "carry")]
    pub header: ForwardHeader,
}

/// Confirms that an agent holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowConfirmation {
    /// Flow that the agent holds.
    pub flow: Flow,
    /// Current load of the target.
    pub load: Load,
}

/// Asks an agent which of several flows its target holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocationQuery {
    /// Number that the reply repeats.
    pub number: u32,
    /// Flows in question, at most [`MAX_PROBES_PER_QUERY`].
    pub probes: Vec<FlowProbe>,
}

/// A flow whose owner is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowProbe {
    /// Flow in question.
    pub flow: Flow,
    /// Acknowledgment number of the caller's most recent packet, which tells apart two targets that
    /// both hold the flow half open; `None` if the packet acknowledges nothing.
    pub acknowledgment: Option<u32>,
}

/// Answer of an agent to a location query. The target holds none of the flows that aren't listed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocationReply {
    /// Number of the query.
    pub number: u32,
    /// Current load of the target.
    pub load: Load,
    /// Indices of the flows that the target holds.
    pub held: Vec<u8>,
    /// Indices of the flows whose backend server has terminated.
    pub ended: Vec<u8>,
    /// Indices of the flows that the agent doesn't know, but that its backend server may hold.
    pub unverified: Vec<u8>,
}

/// Reports that a target doesn't hold a flow, as an answer to a packet for its verification.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowDenial {
    /// Flow that the target doesn't hold.
    pub flow: Flow,
    /// `true` if the backend server held the flow and has terminated.
    pub has_ended: bool,
    /// Current load of the target.
    pub load: Load,
}

/// An open flow as its balancer knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownFlow {
    /// Flow that the target holds.
    pub flow: Flow,
    /// Target that has confirmed the flow.
    pub target: TargetId,
    /// Last acknowledgment of the caller.
    pub acknowledgment: u32,
}

/// Reports open flows of a balancer to the balancers that collect them for the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowReport {
    /// Round of reports; all reports of a round together hold all flows of the sender.
    pub round: u64,
    /// `true` if the sender itself writes the flows that it collects.
    pub writes: bool,
    /// Flows, at most [`MAX_FLOWS_PER_REPORT`].
    pub flows: Vec<KnownFlow>,
}

/// Load of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that wait for a response, plus slots reserved by failure penalties.
    #[serde(rename = "busy")]
    pub busy_slots: u16,
    /// Mean of `busy` over about the last second, in hundredths.
    #[serde(rename = "mean")]
    pub mean_busy_hundredths: u16,
    /// Requests that the backend server processes concurrently.
    pub slots: u16,
    /// Flows that the agent tracks.
    pub flows: u32,
    /// Mean response time of recent requests, in tenths of a millisecond; `None` until enough
    /// requests have been answered.
    #[serde(rename = "wait")]
    pub mean_response_tenths_ms: Option<u16>,
    /// New flows that a cold backend server still accepts within the current second; `None` if the
    /// backend server is warm.
    #[serde(rename = "cold")]
    pub cold_flows_left: Option<u16>,
}

/// State of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// The target accepts new flows.
    Ready,
    /// The target keeps its open flows and accepts no new ones.
    Draining,
    /// No backend server is running, so the target holds no flows.
    Ended,
    /// The agent has received no heartbeat yet; a backend server may be running and may hold flows.
    #[default]
    Unknown,
}

/// State of a target as known to one balancer, sent to other balancers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetSnapshot {
    /// Address of the target's agent.
    pub agent: SocketAddrV4,
    /// Time since a balancer last received a message from the agent, in milliseconds.
    pub age_ms: u64,
    /// Most recent announcement of the agent.
    pub announcement: Announcement,
}

/// State of a target, sent by its agent to the balancers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Random identifier of this run of the agent, generated at its start.
    pub run: u64,
    /// Sequence number within the run, by which balancers discard reordered announcements.
    #[serde(rename = "count")]
    pub sequence: u64,
    /// Name of the target's service.
    pub service: String,
    /// Failure domain of the target.
    pub domain: String,
    /// State of the target.
    #[serde(rename = "standing")]
    pub state: TargetState,
    /// Load of the target.
    pub load: Load,
    /// `true` if the agent has recently received a message from the recipient.
    ///
    /// Detects a network that passes packets in one direction only.
    #[serde(rename = "hears")]
    pub hears_recipient: bool,
    /// `true` if the agent requests the list of known balancers.
    #[serde(rename = "asks")]
    pub wants_balancers: bool,
}

/// Reply of a balancer to an announcement; also sent unsolicited to agents that don't know the
/// balancer yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Balancers known to the sender; empty unless the agent requested them.
    pub balancers: Vec<SocketAddrV4>,
    /// Revision of the desired state that the service's limits come from.
    #[serde(rename = "revision")]
    pub desired_revision: Revision,
    /// `true` if the desired state contains the target's service.
    #[serde(rename = "known")]
    pub service_known: bool,
    /// Revision of the set of failure domains that are out of service.
    #[serde(rename = "outs")]
    pub out_domains_revision: Revision,
    /// `true` if the target's failure domain is out of service.
    #[serde(rename = "out")]
    pub domain_out: bool,
    /// New flows per second that a cold backend server of the service accepts; `None` means no
    /// limit.
    pub cold_rate: Option<f64>,
    /// Flows that a backend server of the service holds at once; `None` means no limit.
    #[serde(rename = "connections")]
    pub max_flows: Option<u32>,
}

/// Versions of a balancer's records, sent to other balancers so that they can detect missing ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordVersions {
    /// Revision of the sender's desired state; 0 if it has none.
    #[serde(rename = "desired")]
    pub desired_revision: Revision,
    /// Revision of the sender's set of failure domains that are out of service.
    #[serde(rename = "outs")]
    pub out_domains_revision: Revision,
    /// Digest of the targets known to the sender, without terminated ones;
    /// [`INCOMPLETE_TARGETS`] if the sender may not know all targets yet.
    #[serde(rename = "targets")]
    pub targets_digest: u64,
    /// Address at which the sender serves its records.
    #[serde(rename = "rpc")]
    pub rpc_address: Option<SocketAddrV4>,
    /// Balancers known to the sender, including itself.
    pub balancers: Vec<SocketAddrV4>,
}

/// Asks another balancer which targets it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetsQuery {
    /// Number that the reply repeats.
    pub number: u64,
}

/// Answers another balancer that asks which targets are known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetsReply {
    /// Number of the query.
    pub number: u64,
    /// Digest of the targets known to the sender, without terminated ones.
    pub digest: u64,
    /// `true` if the sender takes these targets for all that exist.
    pub is_complete: bool,
}

/// Asks a balancer whether it knows of an earlier run of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunQuery {
    /// Identifier of this run of the agent.
    pub run: u64,
}

/// Answers an agent that asks about its earlier runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReply {
    /// Identifier of the run that asked.
    pub run: u64,
    /// `true` if the balancer knows of an earlier run, to which flows may have been forwarded.
    pub has_predecessor: bool,
}

/// Message between two processes.
///
/// The binary encoding depends on the order of the variants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Forwards a packet from a balancer to an agent.
    #[serde(rename = "Carry")]
    Forward(ForwardHeader),
    /// Returns a packet from an agent to a balancer.
    #[serde(rename = "Returned")]
    Return(ReturnHeader),
    /// Confirms to a balancer that an agent holds a flow.
    #[serde(rename = "Held")]
    FlowHeld(FlowConfirmation),
    /// Announces the state of a target to a balancer.
    Announcement(Announcement),
    /// Answers an announcement, or introduces a balancer to an agent.
    #[serde(rename = "Welcome")]
    Hello(Hello),
    /// Announces the versions of a balancer's records to another balancer.
    Gossip(RecordVersions),
    /// Asks an agent which flows its target holds.
    LocationQuery(LocationQuery),
    /// Answers a location query.
    LocationReply(LocationReply),
    /// Sends an agent a copy of a packet whose flow the agent doesn't know but its backend server
    /// may hold; the agent answers with [`Message::FlowHeld`] or [`Message::FlowDenied`].
    Verify,
    /// Reports to a balancer that a target doesn't hold a flow.
    FlowDenied(FlowDenial),
    /// Reports open flows to a balancer that collects them for the store.
    FlowReport(FlowReport),
    /// Asks another balancer which targets it knows.
    TargetsQuery(TargetsQuery),
    /// Answers a [`Message::TargetsQuery`].
    TargetsReply(TargetsReply),
    /// Asks a balancer whether it knows of an earlier run of the agent.
    RunQuery(RunQuery),
    /// Answers a [`Message::RunQuery`].
    RunReply(RunReply),
    /// Tells a balancer that the agent denies flows that it doesn't know from now on.
    FlowsKnown,
}

/// Error for a datagram that can't be encoded or decoded as a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CodecError(pub postcard::Error);

impl Message {
    /// Encodes the message into `buffer`, followed by the bytes of `packet`; discards the previous
    /// contents of `buffer`.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError`] if the message can't be serialised.
    pub fn encode(&self, packet: &[u8], buffer: &mut Vec<u8>) -> Result<(), CodecError> {
        buffer.clear();
        let cleared = std::mem::take(buffer);
        *buffer = postcard::to_extend(self, cleared).map_err(CodecError)?;
        buffer.extend_from_slice(packet);
        Ok(())
    }

    /// Decodes a datagram into a message and the bytes of the packet that follows it.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError`] if the datagram doesn't begin with a valid message.
    pub fn decode(datagram: &[u8]) -> Result<(Self, &[u8]), CodecError> {
        postcard::take_from_bytes(datagram).map_err(CodecError)
    }
}

impl RecordVersions {
    /// Returns the newest epoch of the sender's records.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.desired_revision.max(self.out_domains_revision).epoch()
    }
}

impl TargetId {
    /// Returns the identifier of the target whose agent listens on `agent`.
    #[must_use]
    pub fn new(agent: SocketAddrV4) -> Self {
        let key = (u64::from(agent.ip().to_bits()) << 16) | u64::from(agent.port());
        Self((score(key, TARGET_ID_SEED) >> 32) as u32)
    }
}

/// Seed that makes the identifiers of targets independent of other uses of the same hash function.
const TARGET_ID_SEED: u64 = 0x54_4147;

impl ServiceId {
    /// Returns the identifier of the service named `name`.
    #[must_use]
    pub fn new(name: &str) -> Self {
        let key = name
            .bytes()
            .fold(0, |key, byte| score(key, u64::from(byte)));
        Self(key)
    }
}

impl AttemptedTargets {
    /// Returns `true` if the packet has been sent to the target.
    #[must_use]
    pub fn contains(&self, target: TargetId) -> bool {
        let attempted = [&self.refused, &self.busy, &self.unresponsive];
        attempted.iter().any(|targets| targets.contains(&target))
    }

    /// Returns the number of targets that the packet has been sent to.
    #[must_use]
    pub fn len(&self) -> usize {
        self.refused.len() + self.busy.len() + self.unresponsive.len()
    }

    /// Returns `true` if the packet hasn't been sent to any target.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Reason {
    /// Returns the reason's name in logs and metrics.
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

impl fmt::Display for CodecError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "invalid message: {}", self.0)
    }
}

impl std::error::Error for CodecError {}
