//! Backend group record: limits on each backend server of a group, and its drain timeout.

use std::time::Duration;

use super::{Document, Error, Kind, Record, Schema};

/// Drain timeout of a group whose record sets none.
const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Request limit of a cold backend server in a group whose record sets none.
const DEFAULT_COLD_SLOTS: Slots = Slots(1);

number! {
    /// Number of requests that may run concurrently.
    pub struct Slots(u32);
}

value! {
    /// Limits on each backend server of a group, and its drain timeout.
    ///
    /// Schema 1 has `slots` and `connections`; schema 2 adds `cold_slots` and `drain_seconds`.
    pub struct Group {
        /// Maximum number of concurrent requests at a warm backend server.
        pub slots: Slots,
        /// Maximum number of concurrent connections at a backend server.
        pub connections: u32,
        /// Maximum number of concurrent requests at a cold backend server.
        pub cold_slots: Slots,
        /// Maximum time that a drain waits for open requests to finish.
        pub drain_timeout: Duration,
    }
}

impl Record for Group {
    const KIND: Kind = Kind::BackendGroup;

    fn read(document: &Document) -> Result<Self, Error> {
        document.check_schema(Self::KIND, &[Schema(1), Schema(2)])?;
        let count_format = "a whole number, 1 or more";
        let cold = document.optional_field("cold_slots", count_format)?;
        let drain = document.optional_field::<u64>("drain_seconds", "a whole number of seconds")?;
        Ok(Self {
            slots: document.required_field("slots", count_format)?,
            connections: document.required_field("connections", count_format)?,
            cold_slots: cold.unwrap_or(DEFAULT_COLD_SLOTS),
            drain_timeout: drain.map_or(DEFAULT_DRAIN_TIMEOUT, Duration::from_secs),
        })
    }

    fn write(&self, document: &mut Document) {
        document.set_field("slots", self.slots);
        document.set_field("connections", self.connections);
        if document.schema != Schema(1) {
            document.set_field("cold_slots", self.cold_slots);
            document.set_field("drain_seconds", self.drain_timeout.as_secs());
        }
    }
}
