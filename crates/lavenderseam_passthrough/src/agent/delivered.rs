//! Delivered packets that the backend server may bounce.
//!
//! The backend server bounces a packet that belongs to none of its flows, together with the mark
//! that the agent gave it. A ring buffer keeps what the agent needs to return such a packet to its
//! balancer.

use std::net::SocketAddrV4;

use crate::message::ForwardHeader;

/// Capacity of the ring buffer; a bounce arrives within about a millisecond of the delivery.
const RING_CAPACITY: usize = 256;

/// A delivered packet that may be bounced.
#[derive(Clone, Debug)]
pub(crate) struct DeliveredPacket {
    mark: u32,
    /// Balancer that forwarded the packet.
    pub(crate) balancer: SocketAddrV4,
    /// Header that the packet was forwarded with; `None` if it is a copy to verify its flow, which
    /// the balancer doesn't need back.
    pub(crate) header: Option<ForwardHeader>,
}

/// The most recent delivered packets.
#[derive(Clone, Debug, Default)]
pub(crate) struct DeliveredPackets {
    ring: Vec<Option<DeliveredPacket>>,
    last_mark: u32,
}

impl DeliveredPackets {
    /// Records a packet and returns its mark, which is never 0.
    pub(crate) fn insert(&mut self, balancer: SocketAddrV4, header: Option<&ForwardHeader>) -> u32 {
        self.last_mark = self.last_mark.checked_add(1).unwrap_or(1);
        let packet = DeliveredPacket {
            mark: self.last_mark,
            balancer,
            header: header.cloned(),
        };
        let slot = self.last_mark as usize % RING_CAPACITY;
        if self.ring.len() <= slot {
            self.ring.resize(slot + 1, None);
        }
        self.ring[slot] = Some(packet);
        self.last_mark
    }

    /// Removes and returns the packet with this mark.
    pub(crate) fn take(&mut self, mark: u32) -> Option<DeliveredPacket> {
        let slot = self.ring.get_mut(mark as usize % RING_CAPACITY)?;
        slot.take_if(|packet| packet.mark == mark)
    }
}
