//! Cache of the target that each flow was last sent to.
//!
//! The cache has two generations. A flow that is used moves to the current one; on a rotation the
//! previous generation is discarded and the current one becomes the previous one. So a flow is kept
//! for between one and two rotation periods after its last use, and no sweep over all entries is
//! needed.

use std::time::Duration;

use lavenderseam_core::time::Instant;

use crate::flow::{Flow, FlowMap};
use crate::message::TargetId;

/// Confidence in the owner of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnerState {
    /// A SYN was sent to the target.
    SynSent,
    /// A packet of a flow with unknown owner was sent to the target.
    Searching,
    /// The caller has acknowledged the target's SYN, or the agent has confirmed that it holds the
    /// flow.
    Confirmed,
}

/// Cached target of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CacheEntry {
    /// Target that the flow was last sent to.
    pub(crate) target: TargetId,
    /// Confidence that the target owns the flow.
    pub(crate) state: OwnerState,
    /// Time at which the flow was first sent to the target.
    pub(crate) first_sent: Instant,
}

/// Two-generation cache of flows that evicts idle ones.
#[derive(Debug)]
pub(crate) struct FlowCache {
    current: FlowMap<CacheEntry>,
    previous: FlowMap<CacheEntry>,
    rotated_at: Instant,
    retention: Duration,
    capacity: usize,
}

impl FlowCache {
    /// Creates a cache that keeps idle flows for at least `retention`, and at most `capacity` flows
    /// per generation.
    pub(crate) fn new(retention: Duration, capacity: usize) -> Self {
        Self {
            current: FlowMap::default(),
            previous: FlowMap::default(),
            rotated_at: Instant::default(),
            retention,
            capacity,
        }
    }

    /// Returns the entry of a flow, and moves it to the current generation.
    pub(crate) fn get(&mut self, flow: Flow) -> Option<CacheEntry> {
        if let Some(entry) = self.current.get(&flow) {
            return Some(*entry);
        }
        let entry = self.previous.remove(&flow)?;
        self.current.insert(flow, entry);
        Some(entry)
    }

    /// Inserts an entry, after a rotation if the period has elapsed or the current generation is
    /// full.
    pub(crate) fn insert(&mut self, flow: Flow, entry: CacheEntry, now: Instant) {
        if now.since(self.rotated_at) >= self.retention || self.current.len() >= self.capacity {
            self.rotate(now);
        }
        self.current.insert(flow, entry);
    }

    /// Removes a flow.
    pub(crate) fn remove(&mut self, flow: Flow) {
        self.current.remove(&flow);
        self.previous.remove(&flow);
    }

    /// Returns the number of cached flows.
    pub(crate) fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    fn rotate(&mut self, now: Instant) {
        self.rotated_at = now;
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.clear();
    }
}
