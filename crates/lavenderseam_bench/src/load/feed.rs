//! Checks that every event of a live feed arrives once and in order.

use serde::{Deserialize, Serialize};

/// Counts over all live feeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedCounts {
    /// Number of feeds that were subscribed to.
    pub opened: u64,
    /// Number of times that a feed delivered no event within the silence timeout.
    pub silences: u64,
    /// Number of events received.
    pub events: u64,
    /// Number of events missed.
    pub gaps: u64,
    /// Number of events received more than once.
    pub repeats: u64,
    /// Number of events that came from another service or could not be parsed.
    pub wrong: u64,
    /// Longest time without an event, in milliseconds.
    pub longest_silence_ms: u64,
}

impl FeedCounts {
    /// Records a period without an event.
    pub(crate) fn record_silence(&mut self, milliseconds: u64) {
        self.longest_silence_ms = self.longest_silence_ms.max(milliseconds);
    }
}

/// Payload of an event.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct EventPayload {
    /// Name of the service that published the event.
    pub(crate) service: String,
    /// Sequence number of the event in its feed.
    pub(crate) sequence: u64,
}

/// Parses the payload of an event; returns `None` if it is malformed.
pub(crate) fn parse_event(data: &str) -> Option<EventPayload> {
    serde_json::from_str(data).ok()
}

/// Tracks the sequence numbers of one feed to find missed and repeated events.
#[derive(Debug, Default)]
pub(crate) struct SequenceTracker {
    /// Highest sequence number received.
    highest: Option<u64>,
}

impl SequenceTracker {
    /// Records the sequence number of a received event and updates the counts.
    pub(crate) fn record(&mut self, sequence: u64, counts: &mut FeedCounts) {
        counts.events += 1;
        match self.highest {
            Some(highest) if sequence <= highest => counts.repeats += 1,
            Some(highest) => counts.gaps += sequence - highest - 1,
            None => {}
        }
        self.highest = Some(
            self.highest
                .map_or(sequence, |highest| highest.max(sequence)),
        );
    }
}
