//! A baseline for comparison: a balancer that does hashing alone.
//!
//! It hands each packet to the target that ranks first for the caller's address among those that
//! are healthy and in use at that moment. It reads no token and remembers no flow, and the packet
//! is delivered at that target whoever owns the flow.

mod forward;
mod pool;

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

pub use forward::run;

/// Settings of the hashing baseline.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address that the fabric sends packets to.
    pub address: SocketAddr,
    /// File with the shared key.
    pub key_file: PathBuf,
    /// Address of the object API, for failure domains out and drains.
    pub store: SocketAddr,
    /// The services.
    pub services: Vec<Service>,
    /// The targets.
    pub targets: Vec<Target>,
}

/// A service as the baseline knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Address that callers send to.
    pub address: SocketAddr,
    /// Group that serves it.
    pub group: String,
}

/// A target as the baseline knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name.
    pub name: String,
    /// Its group.
    pub group: String,
    /// Its failure domain.
    pub domain: String,
    /// Address of its agent for sealed frames.
    pub peer: SocketAddr,
    /// Address of its backend server, for health checks.
    pub backend: SocketAddr,
}
