//! Heartbeats of a backend server, and what becomes of one.

use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Sequence number of the first heartbeat of a run.
pub(super) const FIRST_HEARTBEAT_SEQUENCE: u64 = 1;
/// Sequence number of the serving heartbeat, from which a run gets flows.
///
/// After a loss of power, the first heartbeats fail until the agent listens. Earlier ones aren't
/// acknowledged, so that the next one follows soon.
pub const SERVING_HEARTBEAT_SEQUENCE: u64 = 4;

/// Highest sequence number that a heartbeat can have: 13 years of ten heartbeats a second. A higher one
/// would let all further heartbeats of the run look stale.
pub(super) const MAX_HEARTBEAT_SEQUENCE: u64 = 1 << 32;

/// Heartbeat of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Identifier of the backend server.
    pub id: String,
    /// Start time of the backend server in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Sequence number of the heartbeat within one run of the backend server.
    pub sequence: u64,
    /// Name of the service that the backend server belongs to.
    pub service: String,
    /// Address at which the backend server receives packets.
    pub address: SocketAddrV4,
    /// Failure domain of the backend server.
    pub domain: String,
    /// `true` if the backend server is draining and accepts no new flows.
    pub draining: bool,
    /// Requests that the backend server processes concurrently.
    pub slots: u16,
    /// Time for which the backend server remains cold.
    pub cold_remaining: Duration,
}

/// Notice of a backend server that it terminates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Deregistration {
    /// Identifier of the backend server.
    pub id: String,
    /// Start time of the backend server in milliseconds since the Unix epoch; `None` if it isn't
    /// reported.
    pub started_at_ms: Option<u64>,
}

/// Effect of a deregistration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// The known run terminates.
    Accepted,
    /// The known run hasn't announced a drain, so the notice may come from another writer.
    Unexpected,
    /// The notice belongs to another run than the known one, or none is known.
    OtherRun,
}

/// Effect of an accepted heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatEffect {
    /// The known run continues in the same state.
    Unchanged,
    /// The known run continues, and the state of the target has changed.
    StateChanged,
    /// The known run continues, although it was taken to have terminated.
    Resumed,
    /// Another run may have started, or is heard beside the known one. If it may not have reached its
    /// serving heartbeat, no flows are let through until that is certain.
    Starting {
        /// `true` if this is the first heartbeat of the run that the agent has received.
        is_new: bool,
    },
    /// A new run has started.
    NewRun {
        /// `true` if the new run replaces a run that was still considered alive.
        replaces_running: bool,
        /// `true` if the agent has seen every flow that the new run may hold.
        all_flows_seen: bool,
    },
}

/// Reason for which a heartbeat is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The number doesn't follow that of the last heartbeat of the same run; holds the last number.
    OutOfOrder(u64),
    /// The sender belongs to another service; holds the name of that service.
    OtherService(String),
    /// The sender receives packets at another address than the backend server; holds that address.
    OtherAddress(SocketAddrV4),
    /// The sender belongs to another failure domain; holds the name of that domain.
    OtherDomain(String),
    /// The sequence number is one that no backend server sends; holds the number.
    ImplausibleSequence(u64),
}

impl Heartbeat {
    /// Returns `true` if the run may get flows from this heartbeat on, or gets none anyway.
    pub(super) const fn may_serve(&self) -> bool {
        self.sequence >= SERVING_HEARTBEAT_SEQUENCE || self.draining
    }

    /// Returns `true` if the heartbeat belongs to the run with this identifier and start.
    pub(super) fn belongs_to(&self, id: &str, started_at_ms: u64) -> bool {
        self.id == id && self.started_at_ms == started_at_ms
    }
}

impl Deregistration {
    /// Returns `true` if the notice belongs to the run with this identifier and start.
    pub(super) fn belongs_to(&self, id: &str, started_at_ms: u64) -> bool {
        self.id == id
            && self
                .started_at_ms
                .is_none_or(|start| start == started_at_ms)
    }
}

impl Rejection {
    /// Returns the name of the reason, as logs and metrics have it.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::OutOfOrder(_) => "out of order",
            Self::OtherService(_) => "other service",
            Self::OtherAddress(_) => "other address",
            Self::OtherDomain(_) => "other domain",
            Self::ImplausibleSequence(_) => "implausible sequence",
        }
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OutOfOrder(last) => {
                write!(
                    formatter,
                    "heartbeat {last} of the same run has arrived before"
                )
            }
            Self::ImplausibleSequence(sequence) => {
                write!(
                    formatter,
                    "no backend server sends a heartbeat with sequence number {sequence}"
                )
            }
            Self::OtherService(service) => {
                write!(
                    formatter,
                    "heartbeat comes from a backend server of another service, {service:?}"
                )
            }
            Self::OtherAddress(address) => {
                write!(
                    formatter,
                    "heartbeat comes from a backend server at another address, {address}"
                )
            }
            Self::OtherDomain(domain) => {
                write!(
                    formatter,
                    "heartbeat comes from a backend server in another failure domain, {domain:?}"
                )
            }
        }
    }
}

impl std::error::Error for Rejection {}
