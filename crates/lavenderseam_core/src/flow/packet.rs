//! Packet metadata that routing decisions use, and reasons for drops.

use std::net::SocketAddr;

use super::{Key, Token};

/// Maximum number of targets that a packet may visit before it is dropped.
pub const MAX_VISITED_TARGETS: usize = 16;

value! {
    /// Role of a packet in its flow.
    #[derive(Copy)]
    pub enum Kind {
        /// The packet may open a new flow.
        Opener,
        /// The packet belongs to an existing flow.
        Continuing,
    }
}

/// Metadata of a caller's packet, without its payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Flow that the packet belongs to.
    pub flow: Key,
    /// Service address that the caller sent the packet to.
    pub service: SocketAddr,
    /// Role of the packet in its flow.
    pub kind: Kind,
    /// Token issued by the owner, if the packet carries one.
    pub token: Option<Token>,
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No service has the destination address.
    UnknownService,
    /// The service belongs to another group than the agent's.
    OtherService,
    /// The token names a target that belongs to another service.
    ForeignToken,
    /// The token's owner isn't in the view, which may be older than the owner.
    UnknownOwner,
    /// The service has no eligible target for the packet.
    NoTarget,
    /// The agent's failure domain is out of service.
    DomainOut,
    /// The packet has visited [`MAX_VISITED_TARGETS`] targets.
    HopLimit,
    /// The packet would visit a target a second time.
    Loop,
    /// A previous hop used a newer view, so a target unknown to this view may own the flow.
    StaleView,
    /// No owner was found, but the reset delay of the flow hasn't passed yet.
    Unowned,
}

impl Reason {
    /// All reasons, to create one counter for each.
    pub const ALL: [Self; 10] = [
        Self::UnknownService,
        Self::OtherService,
        Self::ForeignToken,
        Self::UnknownOwner,
        Self::NoTarget,
        Self::DomainOut,
        Self::HopLimit,
        Self::Loop,
        Self::StaleView,
        Self::Unowned,
    ];

    /// Returns the value of the reason label in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::UnknownService => "unknown_service",
            Self::OtherService => "other_service",
            Self::ForeignToken => "foreign_token",
            Self::UnknownOwner => "unknown_owner",
            Self::NoTarget => "no_target",
            Self::DomainOut => "domain_out",
            Self::HopLimit => "hop_limit",
            Self::Loop => "loop",
            Self::StaleView => "stale_view",
            Self::Unowned => "unowned",
        }
    }
}

impl std::fmt::Display for Reason {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.name())
    }
}
