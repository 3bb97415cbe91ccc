//! Simulated backend server: slots, a connection limit, cold starts, health and load endpoints that
//! can report false values, and a journal of every edit that ran.
//!
//! After a cold start, the concurrency limit is one request and then grows until all slots are
//! available. Requests above the limit count as overload; above twice the limit the backend server
//! crashes: it fails its requests and starts cold again. A warm one rejects requests above its
//! number of slots with 503.

mod capacity;
pub mod content;
mod fault;
mod journal;
mod report;
mod routes;
mod serve;

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

pub use capacity::{Admission, Capacity};
pub use fault::{FalseReport, Fault};
pub use journal::{Journal, JournalEntry};
pub use report::Report;
pub use serve::run;

/// Settings of a simulated backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the target.
    pub target: String,
    /// Service that the backend server belongs to.
    pub service: String,
    /// Address that the backend server listens on.
    pub address: SocketAddr,
    /// Address of the control API.
    pub control: SocketAddr,
    /// Maximum number of concurrent requests when warm.
    pub slots: u32,
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Time after a cold start with a limit of one request, in milliseconds.
    pub cold_ms: u64,
    /// Time after that until the limit reaches `slots`, in milliseconds.
    pub ramp_ms: u64,
    /// Processing time of a request, in milliseconds.
    pub work_ms: u64,
    /// `true` to start cold.
    pub cold: bool,
    /// Path of the backend server's journal.
    pub journal: PathBuf,
}
