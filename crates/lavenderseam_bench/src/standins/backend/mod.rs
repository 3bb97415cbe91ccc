//! The backend server: slots, a connection limit, cold starts, health and load endpoints that may
//! lie, and a log of every run of an edit.
//!
//! A cold backend server bears little, then more and more until it has all its slots. Work beyond
//! what it bears is counted as an overload; beyond twice that it falls over, fails what it has and
//! starts cold again. A warm one sheds what exceeds its slots with 503.

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
pub use fault::{Fault, Lie};
pub use journal::{Journal, Line};
pub use report::Report;
pub use serve::run;

/// Settings of a backend server stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the target.
    pub target: String,
    /// Service that it serves.
    pub service: String,
    /// Address that it serves at.
    pub address: SocketAddr,
    /// Address for faults and counts.
    pub control: SocketAddr,
    /// Concurrent requests that it bears when warm.
    pub slots: u32,
    /// Concurrent connections that it accepts.
    pub connections: usize,
    /// Time during which it bears one request only, in milliseconds.
    pub cold_ms: u64,
    /// Time from then until it has all its slots, in milliseconds.
    pub ramp_ms: u64,
    /// Time that a request takes, in milliseconds.
    pub work_ms: u64,
    /// Whether it starts cold.
    pub cold: bool,
    /// File that its journal is appended to.
    pub journal: PathBuf,
}
