//! Detects pauses of the process, after which it must not act on its records until they are
//! confirmed.
//!
//! The wait has no time limit: a process that acted on unconfirmed records might send packets to a
//! failure domain that was taken out of service during the pause. It ends once the store, or a
//! process whose own records are confirmed, can be reached.

use std::time::Duration;

use super::MemberId;
use crate::time::Instant;

/// Maximum time between two events of a process; after a longer gap it counts as paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(1500);

/// Source that confirmed that a process's records are up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// The store answered a request sent after the pause.
    Store,
    /// This process, whose own records are confirmed, answered a request sent after the pause.
    Peer(MemberId),
}

/// Detects pauses and tracks whether the records have been confirmed since the last one.
#[derive(Clone, Debug)]
pub(crate) struct PauseDetector {
    last_event: Instant,
    /// Time at which the process resumed; `None` once its records are confirmed.
    unconfirmed_since: Option<Instant>,
}

impl PauseDetector {
    /// Creates the detector of a process that starts, which counts as just resumed.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            last_event: now,
            unconfirmed_since: Some(now),
        }
    }

    /// Records an event of the process; returns `true` if the process was paused before it.
    pub(crate) fn observe(&mut self, now: Instant) -> bool {
        let paused = now.since(self.last_event) > PAUSE_THRESHOLD;
        self.last_event = self.last_event.max(now);
        if paused {
            self.unconfirmed_since = Some(now);
        }
        paused
    }

    /// Returns `true` if the records are not confirmed, so that the process must not act on them.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        self.unconfirmed_since.is_some()
    }

    /// Returns the time at which the process resumed, or that of the last event if the records are
    /// confirmed.
    pub(crate) fn resumed_at(&self) -> Instant {
        self.unconfirmed_since.unwrap_or(self.last_event)
    }

    /// Handles an answer to a request sent at `requested_at`. Returns `true` if it
    /// confirms the records: they were unconfirmed and the request was sent after the pause.
    pub(crate) fn confirm(&mut self, requested_at: Instant) -> bool {
        let confirms = self
            .unconfirmed_since
            .is_some_and(|resumed| requested_at >= resumed);
        if confirms {
            self.unconfirmed_since = None;
        }
        confirms
    }
}
