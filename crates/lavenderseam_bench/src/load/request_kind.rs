//! Kinds of request that make up the load.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// A short request that is idempotent.
    Lookup,
    /// A short request that is not idempotent.
    Edit,
    /// An idempotent request with a large response.
    Download,
}

impl RequestKind {
    /// All kinds of request.
    pub const ALL: [Self; 3] = [Self::Lookup, Self::Edit, Self::Download];

    /// Returns the name of the kind in reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Edit => "edit",
            Self::Download => "download",
        }
    }

    /// Returns the deadline of a request of this kind, from when it is sent.
    #[must_use]
    pub const fn deadline(self) -> Duration {
        match self {
            Self::Lookup | Self::Edit => Duration::from_secs(3),
            Self::Download => Duration::from_secs(8),
        }
    }
}
