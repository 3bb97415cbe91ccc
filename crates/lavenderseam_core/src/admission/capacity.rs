//! Capacity of one backend server, as configured for its group.

use crate::record::{Group, Slots};

/// Configured limits on concurrent requests and connections to one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Maximum number of concurrent requests once the backend server is warm.
    pub slots: Slots,
    /// Maximum number of concurrent requests while the backend server is cold.
    pub cold_slots: Slots,
    /// Maximum number of concurrent connections.
    pub max_connections: u32,
}

impl Capacity {
    /// Creates the limits, raising `slots` to at least 1 and clamping `cold_slots` to `1..=slots`.
    #[must_use]
    pub fn new(slots: Slots, cold_slots: Slots, connections: u32) -> Self {
        let slots = slots.max(Slots(1));
        Self {
            slots,
            cold_slots: cold_slots.clamp(Slots(1), slots),
            max_connections: connections,
        }
    }
}

impl From<&Group> for Capacity {
    fn from(group: &Group) -> Self {
        Self::new(group.slots, group.cold_slots, group.connections)
    }
}
