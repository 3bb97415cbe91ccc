//! Counts of a caller's flows.

use std::fmt;
use std::net::SocketAddr;

/// Counts of a caller's flows.
#[derive(Clone, Debug, Default)]
pub struct Statistics {
    /// Flows established.
    pub opened: u64,
    /// Flows that could not be established.
    pub failed: u64,
    /// Flows that were established and that neither side ended.
    pub broken: Vec<Broken>,
    /// Live feeds that were moved to another flow.
    pub feeds_moved: u64,
    /// Attempts beyond the first.
    pub retries: u64,
}

/// A flow that neither side ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The caller's address.
    pub local: SocketAddr,
    /// How the break was found.
    pub found: Found,
}

/// How a broken flow was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// Silence for the idle timeout.
    Silence,
    /// A stateless reset.
    Reset,
}

impl fmt::Display for Found {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Silence => "silence",
            Self::Reset => "reset",
        })
    }
}
