//! Simulated object API of the platform: versioned objects in memory with conditional writes,
//! watches, rate limits and a size limit.
//!
//! Faults: an outage, in which connections close without a response and nothing is written, slow
//! responses, responses that are dropped after the write took effect, and a return from an older
//! copy, which loses writes and assigns their revisions again.

mod fault;
mod objects;
mod report;
mod routes;
mod serve;
mod token_bucket;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

pub use fault::Fault;
pub use objects::{Change, Listing, Object, ObjectStore, Precondition, Rejection};
pub use report::Report;
pub(crate) use serve::EPOCH_HEADER;
pub use serve::run;
pub use token_bucket::TokenBucket;

/// Settings of the simulated platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address of the object API.
    pub address: SocketAddr,
    /// Address of the control API.
    pub control: SocketAddr,
    /// Maximum number of writes per second.
    #[serde(default = "writes_default")]
    pub writes_per_second: u32,
    /// Maximum number of reads and watches per second.
    #[serde(default = "reads_default")]
    pub reads_per_second: u32,
    /// Seed of the random choice of dropped responses.
    #[serde(default)]
    pub seed: u64,
}

const fn writes_default() -> u32 {
    400
}

const fn reads_default() -> u32 {
    2000
}
