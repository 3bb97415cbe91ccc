//! Counts of the platform.

use std::collections::BTreeMap;
use std::net::IpAddr;

use serde::{Deserialize, Serialize};

/// Counts of the platform stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Reads and watches served.
    pub reads: u64,
    /// Writes that took effect.
    pub writes: u64,
    /// Writes whose condition failed.
    pub conflicts: u64,
    /// Calls refused for their rate.
    pub throttled: u64,
    /// Answers lost after the write took effect.
    pub answers_lost: u64,
    /// Calls that ended without effect in an outage.
    pub unserved: u64,
    /// Calls by the caller's address.
    pub calls: BTreeMap<IpAddr, u64>,
    /// Bytes of content received and sent by the caller's address.
    pub bytes: BTreeMap<IpAddr, u64>,
    /// Revision of the last write.
    pub revision: u64,
}
