//! Events in the log.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use lavenderseam_core::catalog::{Epoch, Revision};
use lavenderseam_passthrough::balancer::{DiscardReason, Premises, TargetCounts};
use lavenderseam_passthrough::desired::ServiceLimits;
use lavenderseam_passthrough::flow::Flow;
use lavenderseam_passthrough::message::{AttemptedTargets, Load, Reason, TargetState};
use serde::Serialize;

/// Revision as log lines show it: the number that the store assigned, and the epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LoggedRevision {
    revision: u64,
    epoch: Epoch,
}

/// Change in the availability of a dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DependencyChange {
    /// The dependency no longer responds.
    Lost,
    /// The dependency responds again.
    Regained,
}

/// What a balancer does with a packet that it can't forward as usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PacketAction {
    /// Sends the caller a reset, which ends the flow.
    Reset,
    /// Drops the packet.
    Drop,
    /// Forwards the packet to another target.
    Forward,
}

/// Event that is logged as one line of JSON.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The process has started.
    Start {
        /// Role of the process: `balancer` or `agent`.
        role: &'static str,
        /// Failure domain of the process.
        domain: String,
        /// Address of the process for messages between processes.
        address: SocketAddrV4,
    },
    /// The process was requested to stop.
    Stop,
    /// The process has read its settings again.
    Reload {
        /// `true` if the new settings are valid; otherwise the process keeps the old ones.
        accepted: bool,
        /// Reason why the new settings are invalid.
        error: Option<String>,
    },
    /// A dependency became unavailable or available again.
    Dependency {
        /// Name of the dependency.
        name: &'static str,
        /// Whether the dependency was lost or regained.
        change: DependencyChange,
        /// Error, or the name of the records that can be read again.
        reason: String,
    },
    /// The readiness of the process has changed.
    Ready {
        /// `true` if the process can serve traffic.
        ready: bool,
    },
    /// The store was restored from a copy, so that it lacks recent writes.
    #[serde(rename = "restored")]
    StoreRestored {
        /// Epoch since the restore.
        epoch: Epoch,
        /// Epoch before the restore.
        previous: Epoch,
        /// Where the process learned of the restore: `store` or `balancer`.
        source: &'static str,
    },
    /// A newer desired state has taken effect.
    Desired {
        /// Store revision of the desired state.
        #[serde(flatten)]
        revision: LoggedRevision,
        /// Version number that the operators gave the desired state.
        version: u64,
        /// Number of routes.
        routes: usize,
        /// Limits of each service's backend servers, by service name.
        services: BTreeMap<String, ServiceLimits>,
        /// Idle time after which a flow may be removed, in milliseconds.
        idle_ms: u64,
        /// Where the desired state came from: `store` or `balancer`.
        source: &'static str,
    },
    /// The set of disabled failure domains has changed.
    #[serde(rename = "outs")]
    DisabledDomains {
        /// Store revision of the set.
        #[serde(flatten)]
        revision: LoggedRevision,
        /// Names of the disabled failure domains.
        domains: Vec<String>,
        /// Names of those that stay disabled although the restored store lacks their orders.
        carried_over: Vec<String>,
        /// Where the set came from: `store` or `balancer`.
        source: &'static str,
    },
    /// A record was ignored because the process holds a newer one.
    #[serde(rename = "ignored")]
    RecordIgnored {
        /// Name of the record's kind.
        record: &'static str,
        /// Revision of the record that was ignored.
        #[serde(flatten)]
        revision: LoggedRevision,
        /// Version number that the operators gave it; `None` if the kind has no versions.
        version: Option<u64>,
        /// Number of the revision that the process holds.
        held_revision: u64,
        /// Epoch of the revision that the process holds.
        held_epoch: Epoch,
        /// Version number of the record that the process holds.
        held_version: Option<u64>,
        /// Where the ignored record came from: `store` or `balancer`.
        source: &'static str,
    },
    /// All records of a kind were read from the store; watches continue from there.
    #[serde(rename = "listed")]
    RecordsListed {
        /// Name of the kind.
        record: &'static str,
        /// Revision of the store at which the records were read.
        #[serde(flatten)]
        revision: LoggedRevision,
        /// Number of records.
        records: usize,
        /// Number of records that are kept although the restored store lacks them.
        carried_over: usize,
        /// Why the records were listed, such as `start`, `history gone` or `restored`.
        reason: &'static str,
    },
    /// A balancer has given up a watch because fewer balancers run than at its start.
    WatchAbandoned {
        /// Name of the kind of records.
        record: &'static str,
        /// Time that the watch has lasted, in milliseconds.
        lasted_ms: u64,
        /// Number of balancers that run, including this one.
        balancers: usize,
    },
    /// A balancer has discovered a target, or the state of a target has changed.
    Target {
        /// Address of the target's agent.
        agent: SocketAddrV4,
        /// Service of the target.
        service: String,
        /// Failure domain of the target.
        domain: String,
        /// State of the target, such as ready or draining.
        #[serde(rename = "standing")]
        state: TargetState,
        /// Load of the target.
        load: Load,
    },
    /// A balancer has removed an agent that sent nothing for longer than the expiry time.
    #[serde(rename = "forgot")]
    AgentExpired {
        /// Address of the agent.
        agent: SocketAddrV4,
    },
    /// A balancer reports to the store whether an agent still sends messages.
    #[serde(rename = "silence")]
    SilenceReported {
        /// Address of the agent.
        agent: SocketAddrV4,
        /// `true` if the agent has sent no message for some time.
        #[serde(rename = "silent")]
        is_silent: bool,
    },
    /// A balancer has written the open flows that it collects to the store.
    #[serde(rename = "checkpoint")]
    CheckpointWritten {
        /// Number of the partition.
        partition: u32,
        /// Number of balancers that have reported flows.
        balancers: usize,
        /// Number of flows.
        flows: usize,
        /// `true` if the store has accepted the checkpoint.
        accepted: bool,
    },
    /// A balancer that has started has read the open flows that it had reported before.
    #[serde(rename = "checkpoint_restored")]
    CheckpointRestored {
        /// Number of flows in the checkpoints of all balancers.
        flows: usize,
        /// Number of flows that this balancer had reported and didn't know yet.
        restored: usize,
    },
    /// A balancer can't forward a packet to a target.
    #[serde(rename = "packet")]
    UnroutablePacket {
        /// Flow of the packet.
        flow: Flow,
        /// `true` if the packet opens its flow.
        opener: bool,
        /// What the balancer does with the packet.
        #[serde(rename = "measure")]
        action: PacketAction,
        /// Why the packet can't be forwarded.
        #[serde(rename = "cause")]
        reason: DiscardReason,
        /// Revision of the desired state on which the decision rests.
        #[serde(flatten)]
        revision: LoggedRevision,
        /// Number of the revision of the set of disabled failure domains on which the decision
        /// rests.
        #[serde(rename = "outs")]
        disabled_domains: u64,
        /// Summary of the service's targets, as this balancer knows them.
        targets: TargetCounts,
        /// What the conclusion rests on that no target holds the flow; `None` for other causes.
        #[serde(skip_serializing_if = "Option::is_none")]
        premises: Option<Premises>,
    },
    /// A balancer resets a flow whose caller has sent no packet since the flow ended.
    #[serde(rename = "reset_idle")]
    IdleFlowReset {
        /// Flow that has ended.
        flow: Flow,
        /// Agent that had confirmed the flow and denies it now.
        owner: SocketAddrV4,
        /// Time for which the balancer has known the flow, in milliseconds.
        known_ms: u64,
        /// Why the flow is reset.
        #[serde(rename = "cause")]
        reason: DiscardReason,
    },
    /// A balancer has received a packet that an agent returned undelivered.
    #[serde(rename = "returned")]
    ReturnReceived {
        /// Flow of the packet.
        flow: Flow,
        /// `true` if the packet opens its flow.
        opener: bool,
        /// Address of the agent that returned the packet.
        agent: SocketAddrV4,
        /// Why the agent returned the packet.
        reason: Reason,
        /// Load of the agent's target.
        load: Load,
        /// Targets at which the packet was already tried, by outcome.
        #[serde(rename = "trail")]
        attempted: AttemptedTargets,
    },
    /// An agent returns a packet undelivered to a balancer.
    #[serde(rename = "return")]
    ReturnSent {
        /// Flow of the packet.
        flow: Flow,
        /// `true` if the packet opens its flow.
        opener: bool,
        /// Address of the balancer that receives the packet.
        balancer: SocketAddrV4,
        /// Why the agent returns the packet.
        reason: Reason,
        /// Load of the agent's target.
        load: Load,
    },
    /// The backend server ended a flow without answering the request on it.
    #[serde(rename = "broken")]
    RequestUnanswered {
        /// Flow of the request.
        flow: Flow,
        /// Time since the request arrived, in milliseconds.
        waited_ms: u64,
        /// Load of the target after the flow has ended.
        load: Load,
    },
    /// An agent no longer tracks flows that were idle for the maximum age of a flow, and denies them.
    #[serde(rename = "expired")]
    FlowsExpired {
        /// Number of flows.
        flows: usize,
        /// Maximum age of a flow, in milliseconds.
        max_age_ms: u64,
    },
    /// The state of an agent's backend server has changed.
    #[serde(rename = "backend")]
    BackendStateChanged {
        /// Instance id of the backend server; empty if the event that caused the change has none.
        id: String,
        /// State of the backend server, such as ready or draining.
        #[serde(rename = "standing")]
        state: TargetState,
        /// Sequence number of the heartbeat that caused the change; `None` for other causes.
        sequence: Option<u64>,
        /// `true` if the agent denies the flows that it doesn't know, because it has seen every flow
        /// that the backend server may hold.
        #[serde(rename = "knows_flows")]
        all_flows_seen: bool,
        /// What caused the change, such as `started` or `port closed`.
        reason: &'static str,
    },
    /// An agent has rejected a heartbeat.
    #[serde(rename = "heartbeat")]
    HeartbeatRejected {
        /// Instance id of the sender.
        id: String,
        /// Start time of the sender in milliseconds since the Unix epoch, as it reports it.
        #[serde(rename = "started_at")]
        started_at_ms: u64,
        /// Sequence number of the heartbeat.
        sequence: u64,
        /// Name of the reason, such as `out of order`.
        reason: &'static str,
        /// The reason, with the value that decided it.
        error: String,
    },
    /// Input could not be decoded.
    #[serde(rename = "malformed")]
    MalformedInput {
        /// Kind of sender of the input, such as `caller` or `store`.
        source: &'static str,
        /// Decoding error.
        error: String,
    },
    /// An operation on a socket failed.
    #[serde(rename = "socket")]
    SocketFailed {
        /// Name of the socket, such as `packets` or `peers`.
        socket: &'static str,
        /// Error that the operating system returned.
        error: String,
    },
    /// Lines were not logged because they exceeded the rate limit of their key.
    #[serde(rename = "suppressed")]
    LinesSuppressed {
        /// Event kind of the lines.
        #[serde(rename = "of")]
        kind: &'static str,
        /// Second part of the lines' rate limit key; empty if the event kind has none.
        reason: &'static str,
        /// Number of lines that were not logged since the previous report.
        lines: u32,
    },
    /// Lines were lost because the reader of the log was too slow and the buffer was full.
    #[serde(rename = "lost")]
    LinesLost {
        /// Number of lines lost since the previous report.
        lines: u32,
    },
}

/// Key of a rate limit for log lines: an event kind, and a reason, cause or source within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogKey {
    /// Event kind, as the log line names it.
    pub kind: &'static str,
    /// Reason, cause, source or name in the events; empty if the event kind has none.
    pub reason: &'static str,
}

impl From<Revision> for LoggedRevision {
    fn from(revision: Revision) -> Self {
        Self {
            revision: revision.number(),
            epoch: revision.epoch(),
        }
    }
}

impl LogKey {
    /// Key of checkpoints that a balancer has written.
    pub const CHECKPOINT_WRITTEN: Self = Self {
        kind: "checkpoint",
        reason: "",
    };

    /// Returns the key of packets that a balancer can't forward, by cause.
    #[must_use]
    pub const fn unroutable_packet(reason: DiscardReason) -> Self {
        Self {
            kind: "packet",
            reason: reason.name(),
        }
    }

    /// Returns the key of idle flows that a balancer resets, by cause.
    #[must_use]
    pub const fn idle_flow_reset(reason: DiscardReason) -> Self {
        Self {
            kind: "reset_idle",
            reason: reason.name(),
        }
    }

    /// Returns the key of packets that a balancer received back from agents, by reason.
    #[must_use]
    pub const fn return_received(reason: Reason) -> Self {
        Self {
            kind: "returned",
            reason: reason.name(),
        }
    }

    /// Returns the key of packets that an agent returns to balancers, by reason.
    #[must_use]
    pub const fn return_sent(reason: Reason) -> Self {
        Self {
            kind: "return",
            reason: reason.name(),
        }
    }
}

impl Event {
    /// Returns the rate limit key of this event, or `None` if the event is always logged at once.
    #[must_use]
    pub const fn rate_limit_key(&self) -> Option<LogKey> {
        let (kind, reason) = match self {
            Self::Start { .. } | Self::Stop | Self::Reload { .. } | Self::Ready { .. } => {
                return None;
            }
            Self::UnroutablePacket { reason, .. } => {
                return Some(LogKey::unroutable_packet(*reason));
            }
            Self::IdleFlowReset { reason, .. } => return Some(LogKey::idle_flow_reset(*reason)),
            Self::ReturnReceived { reason, .. } => return Some(LogKey::return_received(*reason)),
            Self::ReturnSent { reason, .. } => return Some(LogKey::return_sent(*reason)),
            Self::RequestUnanswered { .. } => ("broken", ""),
            Self::FlowsExpired { .. } => ("expired", ""),
            Self::Dependency { name, .. } => ("dependency", *name),
            Self::StoreRestored { source, .. } => ("restored", *source),
            Self::Desired { source, .. } => ("desired", *source),
            Self::DisabledDomains { source, .. } => ("outs", *source),
            Self::RecordIgnored { record, .. } => ("ignored", *record),
            Self::RecordsListed { record, .. } => ("listed", *record),
            Self::WatchAbandoned { record, .. } => ("watch_abandoned", *record),
            Self::Target { .. } => ("target", ""),
            Self::AgentExpired { .. } => ("forgot", ""),
            Self::SilenceReported { .. } => ("silence", ""),
            Self::CheckpointWritten { .. } => return Some(LogKey::CHECKPOINT_WRITTEN),
            Self::CheckpointRestored { .. } => ("checkpoint_restored", ""),
            Self::BackendStateChanged { reason, .. } => ("backend", *reason),
            Self::HeartbeatRejected { reason, .. } => ("heartbeat", *reason),
            Self::MalformedInput { source, .. } => ("malformed", *source),
            Self::SocketFailed { socket, .. } => ("socket", *socket),
            Self::LinesSuppressed { .. } => ("suppressed", ""),
            Self::LinesLost { .. } => ("lost", ""),
        };
        Some(LogKey { kind, reason })
    }
}
