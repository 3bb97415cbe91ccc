//! Packets that a balancer keeps until it knows the owners of their flows.

use lavenderseam_passthrough::flow::{Flow, FlowMap};
use lavenderseam_passthrough::segment::Segment;

/// Maximum number of packets kept for one flow; a caller that has more in flight retransmits them.
const MAX_PACKETS_PER_FLOW: usize = 4;
/// Maximum number of packets kept for all flows.
const MAX_PACKETS: usize = 512;

/// A kept packet and its decoded header.
#[derive(Debug)]
pub(crate) struct HeldPacket {
    /// Header of the packet.
    pub(crate) segment: Segment,
    /// Bytes of the packet.
    pub(crate) bytes: Vec<u8>,
}

/// Kept packets, by flow.
#[derive(Debug, Default)]
pub(crate) struct HeldPackets {
    by_flow: FlowMap<Vec<HeldPacket>>,
    count: usize,
}

impl HeldPackets {
    /// Keeps a packet; returns `false` if it is lost because too many are kept.
    pub(crate) fn insert(&mut self, segment: &Segment, bytes: &[u8]) -> bool {
        let packets = self.by_flow.entry(segment.flow).or_default();
        if packets.len() >= MAX_PACKETS_PER_FLOW || self.count >= MAX_PACKETS {
            return false;
        }
        self.count += 1;
        packets.push(HeldPacket {
            segment: *segment,
            bytes: bytes.to_vec(),
        });
        true
    }

    /// Returns the most recent packet of a flow.
    pub(crate) fn last(&self, flow: Flow) -> Option<&HeldPacket> {
        self.by_flow.get(&flow)?.last()
    }

    /// Removes and returns the packets of a flow, in the order of their arrival.
    pub(crate) fn remove(&mut self, flow: Flow) -> Vec<HeldPacket> {
        let packets = self.by_flow.remove(&flow).unwrap_or_default();
        self.count -= packets.len();
        packets
    }
}
