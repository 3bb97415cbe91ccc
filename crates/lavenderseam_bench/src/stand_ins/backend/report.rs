//! Counts that a simulated backend server reports.

use serde::{Deserialize, Serialize};

/// Counts of a simulated backend server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the target.
    pub target: String,
    /// Service that the backend server belongs to.
    pub service: String,
    /// Number of edits that ran.
    pub runs: u64,
    /// Number of requests that ran.
    pub requests: u64,
    /// Number of requests that were rejected before they ran.
    pub shed: u64,
    /// Number of feeds opened.
    pub feeds: u64,
    /// Number of feeds that are open.
    pub feeds_open: u64,
    /// Highest number of concurrent connections.
    pub connections_peak: usize,
    /// Number of connections closed because of the connection limit.
    pub connections_refused: u64,
    /// Number of crashes from overload.
    pub falls: u64,
    /// Highest ratio of concurrent requests to the limit while cold.
    pub overload_peak: f64,
    /// When the last request or feed arrived, in milliseconds since the Unix epoch.
    pub last_request_ms: u64,
    /// Number of slots in use.
    pub slots_in_use: u32,
}
