//! Inputs and result of the admission decision for a new flow.

use std::fmt;

/// Inputs of the admission decision for a new flow that the window itself doesn't track.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewFlow {
    /// Number of connections open to the backend server.
    pub connections: u32,
    /// Number of targets that have already forwarded the opening packet without admitting the flow.
    pub forwards: usize,
    /// `true` if the target is draining or shutting down.
    pub draining: bool,
    /// `true` if operators have taken the target's failure domain out of service.
    pub domain_out: bool,
}

/// Why a new flow isn't admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The target's failure domain is out of service.
    DomainOut,
    /// The target is draining or shutting down.
    Draining,
    /// A recent connection attempt to the backend server failed.
    Unreachable,
    /// The backend server has reached its connection limit.
    Connections,
    /// The backend server isn't warm yet and its request window is full.
    Window,
}

/// Result of the admission decision for a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The flow is admitted.
    Admitted,
    /// The flow isn't admitted, for the given reason.
    Refused(Reason),
}

impl Reason {
    /// Returns the value of the reason label in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::DomainOut => "domain_out",
            Self::Draining => "draining",
            Self::Unreachable => "unreachable",
            Self::Connections => "connections",
            Self::Window => "window",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
