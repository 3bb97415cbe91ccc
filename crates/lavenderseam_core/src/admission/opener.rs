//! Whether another flow may be opened.

use std::fmt;

/// What the decision on an opener depends on beside the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opener {
    /// Connections that are open.
    pub connections: u32,
    /// Targets that have passed it on.
    pub passes: usize,
    /// Whether the target drains or leaves.
    pub draining: bool,
    /// Whether operators have taken the target's failure domain out.
    pub domain_out: bool,
}

/// Why an opener isn't admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The target's failure domain is out.
    DomainOut,
    /// The target drains or leaves.
    Draining,
    /// The backend server can't be reached.
    Unreachable,
    /// The backend server bears no more connections now.
    Connections,
    /// The backend server isn't warm and bears no more requests now.
    Window,
}

/// Whether an opener is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is.
    Admitted,
    /// It isn't.
    Refused(Reason),
}

impl Reason {
    /// The reason's name in metrics.
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
