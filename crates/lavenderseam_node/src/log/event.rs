//! What is logged.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use lavenderseam_core::catalog::Revision;
use lavenderseam_passthrough::balancer::{Cause, Tally};
use lavenderseam_passthrough::desired::Service;
use lavenderseam_passthrough::flow::Flow;
use lavenderseam_passthrough::message::{Load, Reason, Standing, Trail};
use serde::Serialize;

/// Whether a dependency answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// It no longer answers.
    Lost,
    /// It answers again.
    Regained,
}

/// What the balancer does about a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// The caller is told to give the flow up.
    Reset,
    /// The packet is dropped.
    Drop,
    /// The packet goes to another target.
    Forward,
}

/// An event worth a line.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The process has started.
    Start {
        /// What it does.
        role: &'static str,
        /// Its failure domain.
        domain: String,
        /// Its address for messages between processes.
        address: SocketAddrV4,
    },
    /// The process was asked to stop.
    Stop,
    /// The settings were read again.
    Reload {
        /// Whether they can be used; the old ones are kept otherwise.
        accepted: bool,
        /// What is wrong with them.
        error: Option<String>,
    },
    /// A dependency was lost or regained.
    Dependency {
        /// What it is.
        name: &'static str,
        /// Lost or regained.
        change: Change,
        /// What was seen.
        reason: String,
    },
    /// The process can serve, or no longer can.
    Ready {
        /// Whether it can.
        ready: bool,
    },
    /// A newer desired state is in force.
    Desired {
        /// Revision of the store.
        revision: Revision,
        /// The operators' version number.
        version: u64,
        /// Number of routes.
        routes: usize,
        /// What the services' backend servers bear, by name.
        services: BTreeMap<String, Service>,
        /// Where it came from.
        source: &'static str,
    },
    /// Other failure domains are out.
    Outs {
        /// Revision of the store.
        revision: Revision,
        /// Their names.
        domains: Vec<String>,
        /// Where it came from.
        source: &'static str,
    },
    /// A target was heard of, or its standing has changed.
    Target {
        /// Its agent.
        agent: SocketAddrV4,
        /// Its service.
        service: String,
        /// Its failure domain.
        domain: String,
        /// Its state.
        standing: Standing,
        /// Its load.
        load: Load,
    },
    /// An agent has been silent for long and is forgotten.
    Forgot {
        /// The agent.
        agent: SocketAddrV4,
    },
    /// A balancer gives a packet up.
    Packet {
        /// Its flow.
        flow: Flow,
        /// Whether it opens the flow.
        opener: bool,
        /// What is done.
        measure: Measure,
        /// Why.
        cause: Cause,
        /// Revision of the desired state that decided it.
        revision: Revision,
        /// Revision of the failure domains that are out.
        outs: Revision,
        /// The service's targets as the balancer sees them.
        targets: Tally,
    },
    /// An agent has returned a packet to the balancer.
    Returned {
        /// Its flow.
        flow: Flow,
        /// Whether it opens the flow.
        opener: bool,
        /// The agent.
        agent: SocketAddrV4,
        /// Why it was returned.
        reason: Reason,
        /// The target's load.
        load: Load,
        /// Where else it has been.
        trail: Trail,
    },
    /// The agent returns a packet.
    Return {
        /// Its flow.
        flow: Flow,
        /// Whether it opens the flow.
        opener: bool,
        /// The balancer.
        balancer: SocketAddrV4,
        /// Why.
        reason: Reason,
        /// The target's load.
        load: Load,
    },
    /// The backend server ended a flow without an answer to its request.
    Broken {
        /// The flow.
        flow: Flow,
        /// How long the request had waited, in milliseconds.
        waited_ms: u64,
        /// The target's load from now on.
        load: Load,
    },
    /// The backend server's standing has changed.
    Backend {
        /// Its id.
        id: String,
        /// Its state.
        standing: Standing,
        /// Sequence number of the heartbeat; none if something else told.
        sequence: Option<u64>,
        /// What told.
        reason: &'static str,
    },
    /// Bytes that can't be read.
    Malformed {
        /// Where they came from.
        source: &'static str,
        /// What is wrong.
        error: String,
    },
    /// A socket failed.
    Socket {
        /// Which one.
        socket: &'static str,
        /// How.
        error: String,
    },
    /// Lines of a kind that exceeded its budget in the last second.
    Suppressed {
        /// The kind.
        of: &'static str,
        /// The reason or cause that they name.
        reason: &'static str,
        /// Number of lines.
        lines: u32,
    },
    /// Lines lost because the reader had no room.
    Lost {
        /// Number of lines.
        lines: u32,
    },
}

/// What shares a budget of lines: a kind of event, and the reason or cause that it names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The kind.
    pub kind: &'static str,
    /// The reason or cause; empty if the kind names none.
    pub reason: &'static str,
}

impl Key {
    /// Packets that a balancer gives up for a cause.
    #[must_use]
    pub const fn packet(cause: Cause) -> Self {
        Self {
            kind: "packet",
            reason: cause.name(),
        }
    }

    /// Packets that agents returned to a balancer for a reason.
    #[must_use]
    pub const fn returned(reason: Reason) -> Self {
        Self {
            kind: "returned",
            reason: reason.name(),
        }
    }

    /// Packets that an agent returns for a reason.
    #[must_use]
    pub const fn gives_back(reason: Reason) -> Self {
        Self {
            kind: "return",
            reason: reason.name(),
        }
    }
}

impl Event {
    /// What shares its budget; none if it always gets its line, at once.
    #[must_use]
    pub const fn key(&self) -> Option<Key> {
        let (kind, reason) = match self {
            Self::Start { .. } | Self::Stop | Self::Reload { .. } | Self::Ready { .. } => {
                return None;
            }
            Self::Packet { cause, .. } => return Some(Key::packet(*cause)),
            Self::Returned { reason, .. } => return Some(Key::returned(*reason)),
            Self::Return { reason, .. } => return Some(Key::gives_back(*reason)),
            Self::Broken { .. } => ("broken", ""),
            Self::Dependency { name, .. } => ("dependency", *name),
            Self::Desired { source, .. } => ("desired", *source),
            Self::Outs { source, .. } => ("outs", *source),
            Self::Target { .. } => ("target", ""),
            Self::Forgot { .. } => ("forgot", ""),
            Self::Backend { reason, .. } => ("backend", *reason),
            Self::Malformed { source, .. } => ("malformed", *source),
            Self::Socket { socket, .. } => ("socket", *socket),
            Self::Suppressed { .. } => ("suppressed", ""),
            Self::Lost { .. } => ("lost", ""),
        };
        Some(Key { kind, reason })
    }
}
