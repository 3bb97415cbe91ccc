//! Baseline for comparison: a balancer that uses rendezvous hashing only.
//!
//! It sends each packet to the target that ranks first for the flow among those that are healthy
//! and neither leaving, drained nor evacuated at that moment. It reads no tokens and caches no
//! flows, and the chosen target receives the packet even if another one owns the flow.

mod forward;
mod target_pool;

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

pub use forward::run;

/// Settings of the hashing baseline.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address at which the balancer receives packets from the fabric.
    pub address: SocketAddr,
    /// Path of the shared key.
    pub key_file: PathBuf,
    /// Address of the object API, which holds evacuated failure domains and drains.
    pub store: SocketAddr,
    /// Services whose packets the balancer distributes.
    pub services: Vec<Service>,
    /// Targets of all services.
    pub targets: Vec<Target>,
}

/// A service and the group that serves it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Address that callers send to.
    pub address: SocketAddr,
    /// Group of the targets that serve the service.
    pub group: String,
}

/// A target and its addresses.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the target.
    pub name: String,
    /// Group that the target belongs to.
    pub group: String,
    /// Failure domain that the target belongs to.
    pub domain: String,
    /// Address at which the target's agent receives sealed frames.
    pub peer: SocketAddr,
    /// Address of the target's backend server, for health checks.
    pub backend: SocketAddr,
}
