//! Counts of a backend server.

use serde::{Deserialize, Serialize};

/// One run of an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The edit's id.
    pub id: String,
    /// When it ran, in milliseconds since the epoch.
    pub at_ms: u64,
}

/// Counts of a backend server stand-in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the target.
    pub target: String,
    /// Service that it serves.
    pub service: String,
    /// Every run of an edit, in order.
    pub runs: Vec<Run>,
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
    /// Arrival times of requests and feeds, in milliseconds since the epoch.
    pub arrivals_ms: Vec<u64>,
    /// Slots in use now.
    pub slots_in_use: u32,
}
