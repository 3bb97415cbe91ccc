//! Detects that the process was paused, and holds it back until its records are confirmed.

use std::time::Duration;

use super::MemberId;
use crate::time::Instant;

/// Time between two events after which a process counts as paused.
pub const PAUSE_LIMIT: Duration = Duration::from_millis(1500);
/// Time after which a process that no one can confirm acts on the records it has.
const GIVE_UP: Duration = Duration::from_secs(15);

/// What lets a process act on its records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// The store answered after the pause.
    Store,
    /// A peer that wasn't paused answered after the pause.
    Peer(MemberId),
    /// No one answered in time. The process acts on what it holds, which may be old: all others
    /// may have been paused together with it.
    GaveUp,
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

    /// Whether waiting is given up now.
    pub(crate) fn give_up(&mut self, now: Instant) -> bool {
        let late = self
            .resumed
            .is_some_and(|resumed| now.since(resumed) >= GIVE_UP);
        if late {
            self.resumed = None;
        }
        late
    }
}
