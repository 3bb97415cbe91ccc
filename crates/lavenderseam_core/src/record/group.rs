//! The backend group record.

use std::time::Duration;

use super::{Document, Error, Kind, Record, Schema};

/// Drain time of a group that names none.
const DRAIN_DEFAULT: Duration = Duration::from_secs(30);
/// Concurrent requests that a cold backend server of a group that says nothing of it bears.
const COLD_SLOTS_DEFAULT: Slots = Slots(1);

number! {
    /// Concurrent requests.
    pub struct Slots(u32);
}

value! {
    /// What one backend server of a group bears, and how it is drained.
    ///
    /// Schema 1 holds `slots` and `connections`; schema 2 adds `cold_slots` and `drain_seconds`.
    pub struct Group {
        /// Concurrent requests that a warm backend server bears.
        pub slots: Slots,
        /// Concurrent connections that a backend server bears.
        pub connections: u32,
        /// Concurrent requests that a cold backend server bears.
        pub cold_slots: Slots,
        /// Longest time that a drain waits for open requests.
        pub drain: Duration,
    }
}

impl Record for Group {
    const KIND: Kind = Kind::BackendGroup;

    fn read(document: &Document) -> Result<Self, Error> {
        document.expect(Self::KIND, &[Schema(1), Schema(2)])?;
        let count = "a whole number, 1 or more";
        let cold = document.optional("cold_slots", count)?;
        let drain = document.optional::<u64>("drain_seconds", "a whole number of seconds")?;
        Ok(Self {
            slots: document.field("slots", count)?,
            connections: document.field("connections", count)?,
            cold_slots: cold.unwrap_or(COLD_SLOTS_DEFAULT),
            drain: drain.map_or(DRAIN_DEFAULT, Duration::from_secs),
        })
    }

    fn write(&self, document: &mut Document) {
        document.set("slots", self.slots);
        document.set("connections", self.connections);
        if document.schema != Schema(1) {
            document.set("cold_slots", self.cold_slots);
            document.set("drain_seconds", self.drain.as_secs());
        }
    }
}
