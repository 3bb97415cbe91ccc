//! The bounded table of the flows that an agent owns.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use super::Settings;
use crate::flow::Key;
use crate::flow::key::BuildKeyHasher;
use crate::time::Instant;

/// State of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// The caller hasn't proved that it follows this owner.
    Embryonic,
    /// The caller follows this owner.
    Established,
}

/// A flow held.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    state: State,
    touched: Instant,
    /// Tells this entry from earlier ones of the same flow.
    serial: u64,
}

/// The time after which a flow may have expired, unless it was touched since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Instant,
    flow: Key,
    serial: u64,
}

/// The flows held, with their deadlines; a flow that has gone leaves its deadline behind.
#[derive(Clone, Debug)]
pub(super) struct Table {
    settings: Settings,
    entries: HashMap<Key, Entry, BuildKeyHasher>,
    deadlines: BinaryHeap<Reverse<Deadline>>,
    serial: u64,
}

impl Table {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            settings,
            entries: HashMap::default(),
            deadlines: BinaryHeap::new(),
            serial: 0,
        }
    }

    /// Opens a flow; false if the table is full.
    pub(super) fn open(&mut self, flow: Key, now: Instant) -> bool {
        if self.entries.len() >= self.settings.limit {
            return false;
        }
        self.insert(flow, State::Embryonic, now);
        true
    }

    /// Notes a packet of a flow; false if the flow isn't held.
    pub(super) fn touch(&mut self, flow: Key, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&flow) else {
            return false;
        };
        entry.touched = now;
        true
    }

    pub(super) fn establish(&mut self, flow: Key, now: Instant) {
        if self.is_established(flow) {
            self.touch(flow, now);
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

    /// Removes the flows that have been silent for as long as their state allows.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some(Reverse(deadline)) = self.deadlines.peek().copied() {
            if deadline.at > now {
                return;
            }
            self.deadlines.pop();
            self.check(deadline, now);
        }
    }

    /// Removes a flow at its deadline, or sets a later one if it was touched since.
    fn check(&mut self, deadline: Deadline, now: Instant) {
        let entry = self.entries.get(&deadline.flow);
        let Some(entry) = entry.filter(|entry| entry.serial == deadline.serial) else {
            return;
        };
        let Some(span) = self.span(entry.state) else {
            return;
        };
        let at = entry.touched + span;
        if at <= now {
            self.entries.remove(&deadline.flow);
        } else {
            self.deadlines.push(Reverse(Deadline { at, ..deadline }));
        }
    }

    fn insert(&mut self, flow: Key, state: State, now: Instant) {
        self.serial += 1;
        let serial = self.serial;
        let entry = Entry {
            state,
            touched: now,
            serial,
        };
        self.entries.insert(flow, entry);
        if let Some(span) = self.span(state) {
            let at = now + span;
            self.deadlines.push(Reverse(Deadline { at, flow, serial }));
        }
    }

    fn span(&self, state: State) -> Option<Duration> {
        match state {
            State::Embryonic => Some(self.settings.embryonic),
            State::Established => self.settings.idle,
        }
    }
}
