//! The targets that one balancer finds down.

use super::{Document, Error, Kind, Record, Schema};
use crate::id;

value! {
    /// One target found down.
    pub struct Down {
        /// The target.
        pub target: id::Target,
        /// The run that stopped answering; a newer run is not affected.
        pub incarnation: id::Incarnation,
    }
}

value! {
    /// All targets that one balancer finds down; the record's name is the balancer's.
    pub struct Verdict {
        /// The targets found down.
        pub down: Vec<Down>,
    }
}

impl Record for Verdict {
    const KIND: Kind = Kind::Verdict;

    fn read(document: &Document) -> Result<Self, Error> {
        document.expect(Self::KIND, &[Schema(1)])?;
        let down = document.field("down", "a list of targets with their incarnation")?;
        Ok(Self { down })
    }

    fn write(&self, document: &mut Document) {
        document.set("down", &self.down);
    }
}
