//! What one backend server of a group bears.

use crate::record::{Group, Slots};

/// What one backend server of a group bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Concurrent requests when warm.
    pub slots: Slots,
    /// Concurrent requests when cold.
    pub cold_slots: Slots,
    /// Concurrent connections.
    pub connections: u32,
}

impl Bounds {
    /// The bounds with at least one slot and with no more cold slots than warm ones.
    #[must_use]
    pub fn new(slots: Slots, cold_slots: Slots, connections: u32) -> Self {
        let slots = slots.max(Slots(1));
        Self {
            slots,
            cold_slots: cold_slots.clamp(Slots(1), slots),
            connections,
        }
    }
}

impl From<&Group> for Bounds {
    fn from(group: &Group) -> Self {
        Self::new(group.slots, group.cold_slots, group.connections)
    }
}
