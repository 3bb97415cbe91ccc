//! Counts that the simulated fabric reports.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

/// Count of packets and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Number of packets.
    pub packets: u64,
    /// Total payload, in bytes.
    pub bytes: u64,
    /// When the last packet was counted, in milliseconds since the Unix epoch.
    pub last_ms: u64,
}

/// Counts of the simulated fabric.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Packets sent to each balancer, by its name.
    pub to_balancers: BTreeMap<String, Count>,
    /// Packets received from each agent, by its IP address.
    pub from_agents: BTreeMap<IpAddr, Count>,
    /// Names of the balancers that serve.
    pub serving: Vec<String>,
    /// Number of packets dropped because no balancer served.
    pub unserved: u64,
    /// Number of packets dropped by a fault.
    pub cut: u64,
    /// Number of datagrams from agents that couldn't be decoded or were for an unknown service.
    pub malformed: u64,
    /// Callers whose packets are dropped permanently.
    pub forgotten: Vec<SocketAddr>,
}

impl Count {
    /// Counts one packet.
    pub fn add(&mut self, bytes: usize, now_ms: u64) {
        self.packets += 1;
        self.bytes += bytes as u64;
        self.last_ms = now_ms;
    }
}
