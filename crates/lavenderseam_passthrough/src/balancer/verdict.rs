//! Decisions of a balancer about a packet.

use std::fmt;
use std::net::SocketAddrV4;

use serde::Serialize;

use crate::message::ForwardHeader;

/// Decision of a balancer about a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Forward the packet to an agent.
    Forward {
        /// Address of the agent.
        agent: SocketAddrV4,
        /// Header to forward the packet with.
        header: ForwardHeader,
    },
    /// Keep the packet until the search for the owner of its flow ends.
    Hold,
    /// Reset the flow at the caller.
    Reset(DiscardReason),
    /// Drop the packet.
    Drop(DiscardReason),
}

/// Reason for which a packet isn't forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscardReason {
    /// The balancer has no desired state yet.
    Unconfigured,
    /// No route leads to the virtual address.
    NoRoute,
    /// No target of the service accepts flows.
    NoTarget,
    /// No target of the service has announced its state yet.
    NotHeard,
    /// Every target has rejected the flow.
    AllRefused,
    /// The receive queue of the balancer is too long to open flows in time.
    Overloaded,
    /// Some targets have rejected the flow, and others don't respond.
    Unanswered,
    /// The backend server that held the flow has terminated.
    Ended,
    /// The target that had confirmed the flow no longer holds it.
    DeniedByOwner,
    /// No target is known to hold the flow.
    Unowned,
    /// The packet has been sent to the maximum number of targets.
    HopLimit,
    /// Too many flows with unknown owners are being searched for.
    SearchLimit,
    /// Callers don't send packets with these flags.
    Unexpected,
}

impl DiscardReason {
    /// Returns the cause's name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unconfigured => "unconfigured",
            Self::NoRoute => "no_route",
            Self::NoTarget => "no_target",
            Self::NotHeard => "not_heard",
            Self::AllRefused => "all_refused",
            Self::Overloaded => "overloaded",
            Self::Unanswered => "unanswered",
            Self::Ended => "ended",
            Self::DeniedByOwner => "denied_by_owner",
            Self::Unowned => "unowned",
            Self::HopLimit => "hop_limit",
            Self::SearchLimit => "search_limit",
            Self::Unexpected => "unexpected",
        }
    }
}

impl fmt::Display for DiscardReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
