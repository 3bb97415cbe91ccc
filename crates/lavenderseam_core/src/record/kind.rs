//! The kinds of record.

use std::fmt;
use std::str::FromStr;

/// Kind of a record.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub enum Kind {
    /// A service and its addresses; written by operators.
    Service,
    /// A group of backend servers and what one of them bears; written by operators.
    BackendGroup,
    /// A failure domain and whether it is in use; written by operators.
    FailureDomain,
    /// An order to drain a target; written by operators.
    Drain,
    /// A backend server's announcement; written by its agent.
    Target,
    /// A balancer's announcement; written by the balancer.
    Balancer,
    /// The targets that one balancer finds down; written by the balancer.
    Verdict,
}

/// A text that names no kind of record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownKind(pub String);

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 7] = [
        Self::Service,
        Self::BackendGroup,
        Self::FailureDomain,
        Self::Drain,
        Self::Target,
        Self::Balancer,
        Self::Verdict,
    ];

    /// The kind's name as stored.
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
        write!(formatter, "unknown kind {:?}; known:", self.0)?;
        for kind in Kind::ALL {
            write!(formatter, " {kind}")?;
        }
        Ok(())
    }
}

impl std::error::Error for UnknownKind {}
