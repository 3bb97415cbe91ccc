//! Header of a packet in terms of TCP.

use crate::flow::Flow;

/// TCP control bits of a segment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// Opens a flow.
    pub syn: bool,
    /// The acknowledgment number is valid.
    pub ack: bool,
    /// The sender will send no more data.
    pub fin: bool,
    /// The sender aborts the flow.
    pub rst: bool,
}

/// Header of a packet in either direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Segment {
    /// Flow that the packet belongs to.
    pub flow: Flow,
    /// Control bits.
    pub flags: Flags,
    /// Sequence number of the first payload byte.
    pub sequence: u32,
    /// Acknowledgment number; in a SYN, the number of transmissions of the same SYN before this
    /// one.
    pub acknowledgment: u32,
    /// Length of the payload in bytes.
    pub payload_length: u16,
}

impl Segment {
    /// Creates a segment of a caller that only acknowledges data.
    #[must_use]
    pub fn acknowledgment_of(flow: Flow, acknowledgment: u32) -> Self {
        Self {
            flow,
            flags: Flags {
                ack: true,
                ..Flags::default()
            },
            acknowledgment,
            ..Self::default()
        }
    }

    /// Returns `true` if the segment requests a new flow, which is a SYN without ACK.
    #[must_use]
    pub const fn is_syn(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// Returns `true` if the segment is a retransmitted SYN.
    #[must_use]
    pub const fn is_retransmitted_syn(&self) -> bool {
        self.is_syn() && self.acknowledgment != 0
    }

    /// Returns the acknowledgment number, if it is valid.
    #[must_use]
    pub const fn acknowledged(&self) -> Option<u32> {
        if self.flags.ack {
            Some(self.acknowledgment)
        } else {
            None
        }
    }

    /// Returns the sequence number that follows the payload.
    #[must_use]
    pub fn payload_end(&self) -> u32 {
        self.sequence.wrapping_add(u32::from(self.payload_length))
    }

    /// Returns `true` if the payload extends beyond `seen_end`, the end of the data received
    /// before; `None` if there was none.
    #[must_use]
    pub fn has_new_data(&self, seen_end: Option<u32>) -> bool {
        let beyond = |seen_end| {
            let ahead = self.payload_end().wrapping_sub(seen_end);
            ahead != 0 && ahead < u32::MAX / 2
        };
        self.payload_length > 0 && seen_end.is_none_or(beyond)
    }

    /// Returns the next sequence number after this segment, given the next one after all segments
    /// before it (`previous`).
    ///
    /// Returns `None` until a SYN has given the initial sequence number.
    #[must_use]
    pub fn next_sequence(&self, previous: Option<u32>) -> Option<u32> {
        if self.flags.syn {
            return previous.or(Some(self.sequence.wrapping_add(1)));
        }
        let previous = previous?;
        let ahead = self.payload_end().wrapping_sub(previous) < u32::MAX / 2;
        Some(if ahead { self.payload_end() } else { previous })
    }

    /// Returns `true` if the segment acknowledges data within the window that starts at
    /// `window_start`.
    #[must_use]
    pub fn acknowledges(&self, window_start: u32) -> bool {
        self.flags.ack && self.acknowledgment.wrapping_sub(window_start) <= MAX_BYTES_IN_FLIGHT
    }

    /// Returns `true` if the segment may belong to the same connection as an earlier one that
    /// acknowledged `earlier`, and not to a later connection between the same addresses.
    #[must_use]
    pub fn continues(&self, earlier: u32) -> bool {
        let is_retransmission = earlier.wrapping_sub(self.acknowledgment) <= MAX_BYTES_IN_FLIGHT;
        self.acknowledges(earlier) || (self.flags.ack && is_retransmission)
    }
}

/// Data that one end has in flight at most: 16 packets of 1,200 bytes, times 4 for retransmissions
/// that cross acknowledgments.
const MAX_BYTES_IN_FLIGHT: u32 = 16 * 1_200 * 4;
