//! The platform's object API: versions, conditional updates and watches in memory, with enforced
//! rates and sizes.
//!
//! Faults: an outage (connections end without an answer and nothing is done), slow answers, and
//! answers that are lost after the write has taken effect.

mod fault;
mod objects;
mod quota;
mod report;
mod routes;
mod serve;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

pub use fault::Fault;
pub use objects::{Change, Condition, Listing, Object, Objects, Rejection};
pub use quota::Quota;
pub use report::Report;
pub use serve::run;

/// Settings of the platform stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address of the object API.
    pub address: SocketAddr,
    /// Address for faults and counts.
    pub control: SocketAddr,
    /// Writes that are served a second.
    #[serde(default = "writes_default")]
    pub writes_per_second: u32,
    /// Reads and watches that are served a second.
    #[serde(default = "reads_default")]
    pub reads_per_second: u32,
    /// Seed of the lost answers.
    #[serde(default)]
    pub seed: u64,
}

const fn writes_default() -> u32 {
    400
}

const fn reads_default() -> u32 {
    2000
}
