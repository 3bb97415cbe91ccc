//! Actions of the search for the owners of flows.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{DiscardReason, Verdict};
use crate::flow::Flow;
use crate::message::{LocationQuery, TargetsQuery};
use crate::segment::Segment;

/// Action that the search for the owners of flows requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SearchAction {
    /// Send a query to an agent.
    Query {
        /// Agent to ask.
        agent: SocketAddrV4,
        /// Query to send.
        query: LocationQuery,
    },
    /// Ask another balancer which targets it knows.
    AskBalancer {
        /// Balancer to ask.
        balancer: SocketAddrV4,
        /// Query to send.
        query: TargetsQuery,
    },
    /// Send a copy of the flow's most recent held packet to agents for verification.
    Verify {
        /// Flow to verify.
        flow: Flow,
        /// Agents whose backend servers may hold the flow.
        agents: Vec<SocketAddrV4>,
    },
    /// Handle the packets that are held for a flow, whose search has ended.
    Resolve {
        /// Flow of the packets.
        flow: Flow,
        /// What to do with them.
        resolution: Resolution,
    },
    /// Reset a flow at the caller that has ended while no packet of it was in hand.
    ResetIdle {
        /// Flow to reset.
        flow: Flow,
        /// Last acknowledgment of the caller.
        acknowledgment: u32,
        /// Agent that had confirmed the flow and denies it now.
        owner: SocketAddrV4,
        /// Time for which the balancer has known the flow.
        known_for: Duration,
        /// Why the flow is reset.
        reason: DiscardReason,
    },
}

/// What happens to the packets that are held for a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// Pass them to the balancer again, which now knows where to forward them.
    Resume,
    /// Reset the flow at the caller.
    Reset(DiscardReason),
    /// Drop them.
    Drop(DiscardReason),
}

impl Resolution {
    /// Returns the verdict about a held packet, or `None` if the packet is passed to the balancer
    /// again.
    #[must_use]
    pub const fn verdict(self, segment: &Segment) -> Option<Verdict> {
        match self {
            Self::Resume => None,
            // A reset is never answered with a reset.
            Self::Reset(reason) if !segment.flags.rst => Some(Verdict::Reset(reason)),
            Self::Reset(reason) | Self::Drop(reason) => Some(Verdict::Drop(reason)),
        }
    }
}

impl SearchAction {
    /// Creates the action that ends the search for a flow's owner.
    pub(super) const fn resolve(flow: Flow, resolution: Resolution) -> Self {
        Self::Resolve { flow, resolution }
    }
}
