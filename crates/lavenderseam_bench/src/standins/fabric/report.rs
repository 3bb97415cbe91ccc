//! Counts of the fabric.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

/// Packets of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Number.
    pub packets: u64,
    /// Content, in bytes.
    pub bytes: u64,
    /// When the last one passed, in milliseconds since the epoch.
    pub last_ms: u64,
}

/// Counts of the fabric stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Packets handed to each balancer, by its name.
    pub to_balancers: BTreeMap<String, Count>,
    /// Packets taken from each agent, by its IP address.
    pub from_agents: BTreeMap<IpAddr, Count>,
    /// Balancers that serve now.
    pub serving: Vec<String>,
    /// Packets dropped because no balancer served.
    pub unserved: u64,
    /// Packets dropped by a fault.
    pub cut: u64,
    /// Datagrams from agents that could not be read or named no service of the fabric.
    pub malformed: u64,
    /// Callers whose flows were forgotten.
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
