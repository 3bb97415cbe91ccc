//! The bounded table of the flows that an agent owns.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::Settings;
use crate::flow::Key;
use crate::time::Instant;

/// State of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// The caller hasn't proved that it follows this owner.
    Embryonic,
    /// The caller follows this owner; the transport reports the end.
    Established,
}

/// A flow held.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    state: State,
    touched: Instant,
}

/// The flows held, with a queue of the times at which some may have expired.
#[derive(Clone, Debug)]
pub(super) struct Table {
    settings: Settings,
    entries: HashMap<Key, Entry>,
    embryonic: VecDeque<(Instant, Key)>,
}

impl Table {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            settings,
            entries: HashMap::new(),
            embryonic: VecDeque::new(),
        }
    }

    /// Opens a flow; false if the table is full.
    pub(super) fn open(&mut self, flow: Key, now: Instant) -> bool {
        if self.entries.len() >= self.settings.limit {
            return false;
        }
        let entry = Entry {
            state: State::Embryonic,
            touched: now,
        };
        self.entries.insert(flow, entry);
        self.embryonic.push_back((now, flow));
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
        let entry = Entry {
            state: State::Established,
            touched: now,
        };
        self.entries.insert(flow, entry);
    }

    pub(super) fn remove(&mut self, flow: Key) {
        self.entries.remove(&flow);
    }

    pub(super) fn remove_embryonic(&mut self, flow: Key) -> bool {
        let embryonic = self.get(flow).is_some_and(|e| e.state == State::Embryonic);
        if embryonic {
            self.entries.remove(&flow);
        }
        embryonic
    }

    pub(super) fn get(&self, flow: Key) -> Option<&Entry> {
        self.entries.get(&flow)
    }

    pub(super) fn is_established(&self, flow: Key) -> bool {
        self.get(flow)
            .is_some_and(|e| e.state == State::Established)
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Removes embryonic flows that are older than their time.
    pub(super) fn expire(&mut self, now: Instant) {
        let span: Duration = self.settings.embryonic;
        while let Some((opened, flow)) = self.embryonic.front().copied() {
            if now.since(opened) < span {
                return;
            }
            self.embryonic.pop_front();
            self.remove_embryonic(flow);
        }
    }
}
