//! The fabric: hands every packet from a caller to any serving balancer, and packets from agents
//! back to the caller from the service's own address.
//!
//! The fabric keeps the caller's address. It delays packets in each direction, counts them, and
//! as a fault drops the packets between two processes or of one caller's flows.

mod delay;
mod fault;
mod health;
mod link;
mod report;
mod serve;
mod state;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

pub use fault::Fault;
pub use report::{Count, Report};
pub use serve::run;
pub use state::State;

/// Path at which the fabric tells the owner of each caller's flow.
pub const OWNERS_PATH: &str = "/stand-in/owners";

/// Settings of the fabric stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Addresses of the services; callers send to them.
    pub services: Vec<SocketAddr>,
    /// Address that packets are handed to balancers from.
    pub ingress: SocketAddr,
    /// Address that agents send packets to.
    pub egress: SocketAddr,
    /// Address for faults and counts.
    pub control: SocketAddr,
    /// The balancers.
    pub balancers: Vec<Balancer>,
    /// Delay from a caller to a balancer, in microseconds.
    pub delay_in_us: u64,
    /// Delay from an agent to a caller, in microseconds.
    pub delay_out_us: u64,
    /// Seed of the choice of balancers.
    pub seed: u64,
}

/// A balancer as the fabric knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Balancer {
    /// Name.
    pub name: String,
    /// Address that it takes packets at.
    pub address: SocketAddr,
}
