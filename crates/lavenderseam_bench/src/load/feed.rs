//! Live feeds: every event must come once and in order.

use serde::{Deserialize, Serialize};

/// Counts of the feeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedCounts {
    /// Feeds followed.
    pub opened: u64,
    /// Times that no event came within the time that a feed may be silent.
    pub silences: u64,
    /// Events received.
    pub events: u64,
    /// Events missed.
    pub gaps: u64,
    /// Events received again.
    pub repeats: u64,
    /// Events of another service or in no known form.
    pub wrong: u64,
    /// Longest time without an event, in milliseconds.
    pub longest_silence_ms: u64,
}

impl FeedCounts {
    /// Notes a time without an event.
    pub(crate) fn silent(&mut self, milliseconds: u64) {
        self.longest_silence_ms = self.longest_silence_ms.max(milliseconds);
    }
}

/// What an event says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct Said {
    pub(crate) service: String,
    pub(crate) sequence: u64,
}

/// Reads the data of an event.
pub(crate) fn read(data: &str) -> Option<Said> {
    serde_json::from_str(data).ok()
}

/// Follows the sequence numbers of one feed.
#[derive(Debug, Default)]
pub(crate) struct Sequence {
    last: Option<u64>,
}

impl Sequence {
    /// Counts an event.
    pub(crate) fn take(&mut self, sequence: u64, counts: &mut FeedCounts) {
        counts.events += 1;
        match self.last {
            Some(last) if sequence <= last => counts.repeats += 1,
            Some(last) => counts.gaps += sequence - last - 1,
            None => {}
        }
        self.last = Some(self.last.map_or(sequence, |last| last.max(sequence)));
    }
}
