//! Counts of a backend server.

use serde::{Deserialize, Serialize};

/// Counts of a backend server stand-in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the target.
    pub target: String,
    /// Service that it serves.
    pub service: String,
    /// Runs of edits.
    pub runs: u64,
    /// Requests that ran.
    pub requests: u64,
    /// Requests shed before they ran.
    pub shed: u64,
    /// Feeds opened.
    pub feeds: u64,
    /// Feeds open now.
    pub feeds_open: u64,
    /// Most connections at a time.
    pub connections_peak: usize,
    /// Connections refused beyond the limit.
    pub connections_refused: u64,
    /// Times that it fell over.
    pub falls: u64,
    /// Most concurrent work while cold over what it bore.
    pub overload_peak: f64,
    /// When the last request or feed arrived, in milliseconds since the epoch.
    pub last_request_ms: u64,
    /// Slots in use now.
    pub slots_in_use: u32,
}
