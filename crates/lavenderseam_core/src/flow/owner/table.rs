//! Bounded table of the flows that an agent owns.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use super::Settings;
use crate::flow::Key;
use crate::flow::key::BuildFlowKeyHasher;
use crate::time::Instant;

/// Handshake state of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// No packet from the caller has confirmed the connection with this owner yet.
    Embryonic,
    /// The caller has confirmed the connection with this owner.
    Established,
}

/// Entry of an owned flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    state: State,
    last_packet_at: Instant,
    /// Distinguishes this entry from earlier ones of the same flow, whose deadlines may still be
    /// queued.
    generation: u64,
}

/// Time at which a flow expires unless a later packet has extended its lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    expires_at: Instant,
    flow: Key,
    generation: u64,
}

/// Owned flows with their expiry queue.
///
/// The deadline of a removed flow stays queued and is ignored when it is reached.
#[derive(Clone, Debug)]
pub(super) struct Table {
    settings: Settings,
    entries: HashMap<Key, Entry, BuildFlowKeyHasher>,
    deadlines: BinaryHeap<Reverse<Deadline>>,
    generation: u64,
}

impl Table {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            settings,
            entries: HashMap::default(),
            deadlines: BinaryHeap::new(),
            generation: 0,
        }
    }

    /// Adds an embryonic flow; returns `false` if the table is full.
    pub(super) fn open(&mut self, flow: Key, now: Instant) -> bool {
        if self.entries.len() >= self.settings.max_flows {
            return false;
        }
        self.insert(flow, State::Embryonic, now);
        true
    }

    /// Records a packet of a flow; returns `false` if the flow isn't in the table.
    pub(super) fn record_packet(&mut self, flow: Key, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&flow) else {
            return false;
        };
        entry.last_packet_at = now;
        true
    }

    pub(super) fn establish(&mut self, flow: Key, now: Instant) {
        if self.is_established(flow) {
            self.record_packet(flow, now);
        } else {
            self.insert(flow, State::Established, now);
        }
    }

    pub(super) fn remove(&mut self, flow: Key) {
        self.entries.remove(&flow);
    }

    pub(super) fn remove_embryonic(&mut self, flow: Key) -> bool {
        let embryonic = self.contains(flow) && !self.is_established(flow);
        if embryonic {
            self.entries.remove(&flow);
        }
        embryonic
    }

    pub(super) fn contains(&self, flow: Key) -> bool {
        self.entries.contains_key(&flow)
    }

    pub(super) fn is_established(&self, flow: Key) -> bool {
        let entry = self.entries.get(&flow);
        entry.is_some_and(|entry| entry.state == State::Established)
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Removes the flows without packets for as long as the timeout of their state.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some(Reverse(deadline)) = self.deadlines.peek().copied() {
            if deadline.expires_at > now {
                return;
            }
            self.deadlines.pop();
            self.expire_or_requeue(deadline, now);
        }
    }

    /// Removes a flow at its deadline, or queues a later deadline if a packet arrived since.
    fn expire_or_requeue(&mut self, deadline: Deadline, now: Instant) {
        let entry = self.entries.get(&deadline.flow);
        let Some(entry) = entry.filter(|entry| entry.generation == deadline.generation) else {
            return;
        };
        let Some(timeout) = self.timeout(entry.state) else {
            return;
        };
        let expires_at = entry.last_packet_at + timeout;
        if expires_at <= now {
            self.entries.remove(&deadline.flow);
        } else {
            self.deadlines.push(Reverse(Deadline {
                expires_at,
                ..deadline
            }));
        }
    }

    fn insert(&mut self, flow: Key, state: State, now: Instant) {
        self.generation += 1;
        let generation = self.generation;
        let entry = Entry {
            state,
            last_packet_at: now,
            generation,
        };
        self.entries.insert(flow, entry);
        if let Some(timeout) = self.timeout(state) {
            let expires_at = now + timeout;
            self.deadlines.push(Reverse(Deadline {
                expires_at,
                flow,
                generation,
            }));
        }
    }

    fn timeout(&self, state: State) -> Option<Duration> {
        match state {
            State::Embryonic => Some(self.settings.embryonic_timeout),
            State::Established => self.settings.idle_timeout,
        }
    }
}
