//! A caller's packet as the core sees it.

use std::net::SocketAddr;

use super::{Key, Token};

/// Targets that one packet may visit before it is dropped.
pub const TRAIL_LIMIT: usize = 16;

value! {
    /// What a packet means to its flow.
    #[derive(Copy)]
    pub enum Kind {
        /// It may open a flow.
        Opener,
        /// It belongs to a flow that is open already.
        Continuing,
    }
}

/// A caller's packet without its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet {
    /// The flow.
    pub flow: Key,
    /// The service address that the caller sent to.
    pub service: SocketAddr,
    /// What the packet means to its flow.
    pub kind: Kind,
    /// The owner's mark, if the packet carries one.
    pub token: Option<Token>,
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No service has the address.
    UnknownService,
    /// The service is served by another group than the agent's.
    OtherService,
    /// The token names a target of another service.
    ForeignToken,
    /// No record names the token's owner; it may be too new for this view.
    UnknownOwner,
    /// No target of the service may be given the packet.
    NoTarget,
    /// The agent's failure domain is out.
    DomainOut,
    /// The packet has visited as many targets as it may.
    HopLimit,
    /// The packet has been here before.
    Loop,
    /// The sender's view is newer: targets unknown to this view may own the flow.
    StaleView,
    /// Nobody seems to own the flow, but not for long enough to reset it.
    Unowned,
}

impl Reason {
    /// All reasons, for counters.
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

    /// The reason's name in metrics.
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
