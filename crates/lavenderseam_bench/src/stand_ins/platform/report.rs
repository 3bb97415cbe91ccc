//! Counts that the simulated platform reports.

use std::collections::BTreeMap;
use std::net::IpAddr;

use serde::{Deserialize, Serialize};

/// Counts of the simulated platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of reads and watches.
    pub reads: u64,
    /// Number of writes that took effect.
    pub writes: u64,
    /// Number of writes that were rejected.
    pub conflicts: u64,
    /// Number of calls rejected by the rate limit.
    pub throttled: u64,
    /// Number of responses dropped after the write took effect.
    pub answers_lost: u64,
    /// Number of calls that had no effect because of an outage.
    pub unserved: u64,
    /// Number of calls, by the IP address of the client.
    pub calls: BTreeMap<IpAddr, u64>,
    /// Bytes of bodies received and sent, by the IP address of the client.
    pub bytes: BTreeMap<IpAddr, u64>,
    /// Revision of the last write.
    pub revision: u64,
    /// Revision of each copy that the objects were replaced by.
    #[serde(default)]
    pub restored_revisions: Vec<u64>,
}
