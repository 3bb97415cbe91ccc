//! Delayed resets of flows for which no owner was found.
//!
//! A stale view may lack a target that has just joined, so a packet may visit all known targets
//! without reaching its owner. A flow is therefore reset only after it has been without an owner
//! for longer than views are usually stale.

use std::collections::HashMap;
use std::time::Duration;

use crate::flow::Key;
use crate::flow::key::BuildFlowKeyHasher;
use crate::time::Instant;

/// How long a flow must have been without an owner before it is reset.
pub const RESET_DELAY: Duration = Duration::from_secs(3);
/// Time without packets after which the reset delay of a flow starts again.
pub const UNOWNED_FLOW_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of tracked flows.
const MAX_TRACKED_FLOWS: usize = 4_096;

/// Times of the first and the last packet of a flow without an owner.
#[derive(Clone, Copy, Debug)]
struct PacketTimes {
    first_packet_at: Instant,
    last_packet_at: Instant,
}

/// Flows for which no owner was found, with the times of their packets.
#[derive(Clone, Debug, Default)]
pub(super) struct UnownedFlows {
    flows: HashMap<Key, PacketTimes, BuildFlowKeyHasher>,
}

impl UnownedFlows {
    /// Records a packet of a flow without an owner; returns `true` once the flow is to be reset.
    pub(super) fn record_packet(&mut self, flow: Key, now: Instant) -> bool {
        if self.flows.len() >= MAX_TRACKED_FLOWS && !self.flows.contains_key(&flow) {
            self.remove_stale(now);
        }
        let has_room = self.flows.len() < MAX_TRACKED_FLOWS;
        let new_entry = PacketTimes {
            first_packet_at: now,
            last_packet_at: now,
        };
        let Some(times) = self.flows.get_mut(&flow) else {
            if has_room {
                self.flows.insert(flow, new_entry);
            }
            return false;
        };
        if now.since(times.last_packet_at) >= UNOWNED_FLOW_TIMEOUT {
            *times = new_entry;
        }
        times.last_packet_at = now;
        now.since(times.first_packet_at) >= RESET_DELAY
    }

    fn remove_stale(&mut self, now: Instant) {
        self.flows
            .retain(|_, times| now.since(times.last_packet_at) < UNOWNED_FLOW_TIMEOUT);
    }
}
