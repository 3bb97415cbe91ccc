//! Flow and retry counters of a caller.

use std::fmt;
use std::net::SocketAddr;

/// Flow and retry counters of a caller.
#[derive(Clone, Debug, Default)]
pub struct Statistics {
    /// Number of flows established.
    pub flows_opened: u64,
    /// Number of flows that could not be established.
    pub flows_failed: u64,
    /// Established flows that were lost without being closed by either side.
    pub broken_flows: Vec<BrokenFlow>,
    /// Number of times that a feed was reopened on another flow.
    pub feeds_reopened: u64,
    /// Number of retries.
    pub retries: u64,
}

/// Flow that was lost without being closed by either side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenFlow {
    /// Local address of the flow.
    pub local_address: SocketAddr,
    /// How the loss was detected.
    pub detection: BreakDetection,
}

/// How the loss of a flow was detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakDetection {
    /// Nothing was received for the idle timeout.
    IdleTimeout,
    /// A stateless reset was received.
    StatelessReset,
}

impl fmt::Display for BreakDetection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::IdleTimeout => "silence",
            Self::StatelessReset => "reset",
        })
    }
}
