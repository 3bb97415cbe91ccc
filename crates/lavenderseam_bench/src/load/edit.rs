//! What callers were told of each edit.

use serde::{Deserialize, Serialize};

/// What a caller was told of an edit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EditOutcome {
    /// It was answered.
    Answered,
    /// It surely did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// An edit and what its caller was told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Its id.
    pub id: String,
    /// What its caller was told.
    pub outcome: EditOutcome,
}
