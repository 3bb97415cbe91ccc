//! Detects that the process was paused, and holds it back until its records are confirmed.
//!
//! There is no time limit: a process that acted on unconfirmed records might send to a failure
//! domain that was taken out during its pause. It stays closed only while neither the store nor any
//! process that wasn't paused can be reached.

use std::time::Duration;

use super::MemberId;
use crate::time::Instant;

/// Time between two events after which a process counts as paused.
pub const PAUSE_LIMIT: Duration = Duration::from_millis(1500);

/// What lets a process act on its records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// The store answered after the pause.
    Store,
    /// A peer that wasn't paused answered after the pause.
    Peer(MemberId),
}

/// Whether the process was paused and what came after.
#[derive(Clone, Debug)]
pub(crate) struct Gap {
    last: Instant,
    /// When the process resumed, while its records aren't confirmed.
    resumed: Option<Instant>,
}

impl Gap {
    /// A process that starts counts as just resumed.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            last: now,
            resumed: Some(now),
        }
    }

    /// Notes that the process runs; returns whether it was paused before.
    pub(crate) fn observe(&mut self, now: Instant) -> bool {
        let paused = now.since(self.last) > PAUSE_LIMIT;
        self.last = self.last.max(now);
        if paused {
            self.resumed = Some(now);
        }
        paused
    }

    /// Whether the records are confirmed.
    pub(crate) fn is_closed(&self) -> bool {
        self.resumed.is_some()
    }

    /// When the process resumed; the last event if its records are confirmed.
    pub(crate) fn since(&self) -> Instant {
        self.resumed.unwrap_or(self.last)
    }

    /// Takes an answer to a question asked at `asked`; returns whether it confirms the records.
    pub(crate) fn confirm(&mut self, asked: Instant) -> bool {
        let confirms = self.resumed.is_some_and(|resumed| asked >= resumed);
        if confirms {
            self.resumed = None;
        }
        confirms
    }
}
