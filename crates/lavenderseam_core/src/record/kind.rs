//! Kinds of records.

use std::fmt;
use std::str::FromStr;

/// Kind of a record.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub enum Kind {
    /// A service and its addresses. Written by operators.
    Service,
    /// A group of backend servers and the limits of each. Written by operators.
    BackendGroup,
    /// A failure domain and whether it receives traffic. Written by operators.
    FailureDomain,
    /// A request to drain a target. Written by operators.
    Drain,
    /// Announcement of a backend server. Written by its agent.
    Target,
    /// Announcement of a balancer. Written by the balancer.
    Balancer,
    /// The targets that fail one balancer's health checks. Written by the balancer.
    Verdict,
}

/// Error for a text that doesn't name a kind of record; holds the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownKind(pub String);

impl Kind {
    /// All kinds of records.
    pub const ALL: [Self; 7] = [
        Self::Service,
        Self::BackendGroup,
        Self::FailureDomain,
        Self::Drain,
        Self::Target,
        Self::Balancer,
        Self::Verdict,
    ];

    /// Returns the kind's name as it is stored.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Service => "Service",
            Self::BackendGroup => "BackendGroup",
            Self::FailureDomain => "FailureDomain",
            Self::Drain => "Drain",
            Self::Target => "Target",
            Self::Balancer => "Balancer",
            Self::Verdict => "Verdict",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str().eq_ignore_ascii_case(text))
            .ok_or_else(|| UnknownKind(text.to_owned()))
    }
}

impl fmt::Display for UnknownKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "unknown record kind {:?}; known kinds:", self.0)?;
        for kind in Kind::ALL {
            write!(formatter, " {kind}")?;
        }
        Ok(())
    }
}

impl std::error::Error for UnknownKind {}
