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
use crate::segment::Segment;

/// Confidence in the owner of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnerState {
    /// A SYN was sent to the target.
    SynSent,
    /// A packet of a flow with unknown owner was sent to the target.
    Searching,
    /// The caller has acknowledged a SYN, most likely that of the target.
    Opened,
    /// The agent has confirmed that it holds the flow.
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
    /// Last acknowledgment of the caller; `None` if it isn't known.
    pub(crate) acknowledgment: Option<u32>,
    /// `true` if the caller has closed the flow.
    pub(crate) is_closing: bool,
}

impl CacheEntry {
    /// Updates the entry with a segment of the caller.
    ///
    /// A caller that uses its port again may have opened the flow at another target, so the agent
    /// must confirm the flow again.
    pub(crate) fn on_caller_segment(&mut self, segment: &Segment) {
        let Some(acknowledgment) = segment.acknowledged() else {
            return;
        };
        let continues = self
            .acknowledgment
            .is_none_or(|last| segment.continues(last));
        if self.state == OwnerState::Confirmed && !continues {
            self.state = OwnerState::Opened;
        }
        self.acknowledgment = Some(acknowledgment);
        self.is_closing |= segment.flags.fin || segment.flags.rst;
    }
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
        self.get_mut(flow).copied()
    }

    /// Returns the entry of a flow, which doesn't count as a use.
    pub(crate) fn peek(&self, flow: Flow) -> Option<&CacheEntry> {
        self.current.get(&flow).or_else(|| self.previous.get(&flow))
    }

    /// Returns the entry of a flow for changes, and moves it to the current generation.
    pub(crate) fn get_mut(&mut self, flow: Flow) -> Option<&mut CacheEntry> {
        if !self.current.contains_key(&flow) {
            let entry = self.previous.remove(&flow)?;
            self.current.insert(flow, entry);
        }
        self.current.get_mut(&flow)
    }

    /// Returns all flows and their entries.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Flow, &CacheEntry)> {
        let is_older = |(flow, _): &(&Flow, &CacheEntry)| !self.current.contains_key(flow);
        let entries = self.current.iter();
        entries
            .chain(self.previous.iter().filter(is_older))
            .map(|(flow, entry)| (*flow, entry))
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
