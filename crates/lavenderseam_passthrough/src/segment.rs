//! What a packet's head says, in the terms of TCP.

use crate::flow::Flow;

/// The control bits of a segment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// It opens a flow.
    pub syn: bool,
    /// Its acknowledgment number counts.
    pub ack: bool,
    /// Its sender sends nothing more.
    pub fin: bool,
    /// Its sender gives the flow up.
    pub rst: bool,
}

/// The head of a packet, seen from either end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Segment {
    /// The flow that it belongs to.
    pub flow: Flow,
    /// Control bits.
    pub flags: Flags,
    /// Sequence number.
    pub sequence: u32,
    /// Acknowledgment number; in an opener, how many copies of it were sent before.
    pub acknowledgment: u32,
    /// Bytes of data that follow the head.
    pub length: u16,
}

impl Segment {
    /// Whether it asks for a new flow.
    #[must_use]
    pub const fn is_opener(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// Whether it repeats an opener that was sent before.
    #[must_use]
    pub const fn is_repeated_opener(&self) -> bool {
        self.is_opener() && self.acknowledgment != 0
    }

    /// Sequence number behind its data.
    #[must_use]
    pub fn end(&self) -> u32 {
        self.sequence.wrapping_add(u32::from(self.length))
    }

    /// Whether it holds data that `seen`, the end of what was seen before, doesn't cover.
    #[must_use]
    pub fn has_new_data(&self, seen: Option<u32>) -> bool {
        let beyond = |seen| {
            let ahead = self.end().wrapping_sub(seen);
            ahead != 0 && ahead < u32::MAX / 2
        };
        self.length > 0 && seen.is_none_or(beyond)
    }

    /// The number that follows it and what was `sent` before it; none until an answer to an opener
    /// has told where the numbers begin.
    #[must_use]
    pub fn follows(&self, sent: Option<u32>) -> Option<u32> {
        if self.flags.syn {
            return sent.or(Some(self.sequence.wrapping_add(1)));
        }
        let sent = sent?;
        let ahead = self.end().wrapping_sub(sent) < u32::MAX / 2;
        Some(if ahead { self.end() } else { sent })
    }

    /// Whether the acknowledgment may answer data sent from `first` on.
    #[must_use]
    pub fn acknowledges(&self, first: u32) -> bool {
        self.flags.ack && self.acknowledgment.wrapping_sub(first) <= WINDOW
    }
}

/// Bytes that an end has in flight at most: 16 packets of 1,200 bytes, four times over for
/// retransmissions that cross.
const WINDOW: u32 = 16 * 1_200 * 4;
