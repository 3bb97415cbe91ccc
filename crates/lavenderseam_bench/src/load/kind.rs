//! Kinds of request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A short request that may be repeated.
    Lookup,
    /// A request that may not be repeated.
    Edit,
    /// A large answer.
    Download,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Lookup, Self::Edit, Self::Download];

    /// The kind's name.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Edit => "edit",
            Self::Download => "download",
        }
    }

    /// Time in which an answer is useful.
    #[must_use]
    pub const fn deadline(self) -> Duration {
        match self {
            Self::Lookup | Self::Edit => Duration::from_secs(3),
            Self::Download => Duration::from_secs(8),
        }
    }
}
