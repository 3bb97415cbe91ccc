//! Results of edits as reported to their callers.

use serde::{Deserialize, Serialize};

/// Outcome of an edit as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EditOutcome {
    /// The edit was answered.
    Answered,
    /// The edit was reported as certainly not executed.
    NotRun,
    /// The edit was reported as possibly executed.
    Unknown,
}

/// An edit and the outcome that was reported to its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditResult {
    /// Id of the edit, unique within the run.
    pub id: String,
    /// Outcome that was reported to the caller.
    pub outcome: EditOutcome,
}
