//! Packets that the backend server may bounce.
//!
//! The backend server returns what it doesn't hold with a mark that the agent gave it. A ring
//! keeps what is needed to send such a packet back to its balancer.

use std::net::SocketAddrV4;

use crate::message::Carry;

/// Packets remembered: a bounce comes back within a millisecond or so.
const ROOM: usize = 256;

/// A packet handed to the backend server that may come back.
#[derive(Clone, Debug)]
pub(crate) struct Packet {
    mark: u32,
    /// The balancer that it came from.
    pub(crate) balancer: SocketAddrV4,
    /// The message that it came with.
    pub(crate) carry: Carry,
}

/// The last packets that may come back.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pending {
    ring: Vec<Option<Packet>>,
    next: u32,
}

impl Pending {
    /// Remembers a packet and returns its mark, which is never 0.
    pub(crate) fn insert(&mut self, balancer: SocketAddrV4, carry: &Carry) -> u32 {
        self.next = self.next.checked_add(1).unwrap_or(1);
        let packet = Packet {
            mark: self.next,
            balancer,
            carry: carry.clone(),
        };
        let slot = self.next as usize % ROOM;
        if self.ring.len() <= slot {
            self.ring.resize(slot + 1, None);
        }
        self.ring[slot] = Some(packet);
        self.next
    }

    /// The packet with a mark, which is then forgotten.
    pub(crate) fn take(&mut self, mark: u32) -> Option<Packet> {
        let slot = self.ring.get_mut(mark as usize % ROOM)?;
        slot.take_if(|packet| packet.mark == mark)
    }
}
