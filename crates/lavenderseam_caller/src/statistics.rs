//! Flow and retry counters of a caller.

use std::fmt;
use std::net::SocketAddr;

/// Flow and retry counters of a caller.
#[derive(Clone, Debug, Default)]
pub struct Statistics {
    /// Number of flows established.
    pub opened: u64,
    /// Number of flows that could not be established.
    pub failed: u64,
    /// Established flows that were lost without being closed by either side.
    pub broken: Vec<BrokenFlow>,
    /// Number of times that a feed was reopened on another flow.
    pub feeds_moved: u64,
    /// Number of retries.
    pub retries: u64,
}

/// Flow that was lost without being closed by either side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenFlow {
    /// Local address of the flow.
    pub local: SocketAddr,
    /// How the loss was detected.
    pub found: Found,
}

/// How the loss of a flow was detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// Nothing was received for the idle timeout.
    IdleTimeout,
    /// A stateless reset was received.
    Reset,
}

impl fmt::Display for Found {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::IdleTimeout => "silence",
            Self::Reset => "reset",
        })
    }
}
