//! Simulated network fabric: sends each packet of a caller to a random serving balancer, and
//! packets of agents back to the caller from the service's own address.
//!
//! The fabric preserves the caller's address. It delays packets in each direction and counts them.
//! Faults drop the packets of a process, between a service and a process, or of a caller.

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
pub use state::FabricState;

/// Path of the control API that returns the owner of each caller's flow.
pub const OWNERS_PATH: &str = "/stand-in/owners";

/// Settings of the simulated fabric.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Addresses of the services, which callers send to.
    pub services: Vec<SocketAddr>,
    /// Source address of packets to balancers.
    pub ingress: SocketAddr,
    /// Address that agents send packets to.
    pub egress: SocketAddr,
    /// Address of the control API.
    pub control: SocketAddr,
    /// Balancers that packets are sent to.
    pub balancers: Vec<Balancer>,
    /// Delay from a caller to a balancer, in microseconds.
    pub delay_in_us: u64,
    /// Delay from an agent to a caller, in microseconds.
    pub delay_out_us: u64,
    /// Seed of the random choice of balancers.
    pub seed: u64,
}

/// Name and address of a balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Balancer {
    /// Name of the balancer.
    pub name: String,
    /// Address at which the balancer receives packets from the fabric.
    pub address: SocketAddr,
}
