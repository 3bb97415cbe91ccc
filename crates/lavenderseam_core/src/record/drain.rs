//! The order to drain a target.

use super::{Document, Error, Kind, Record, Schema};
use crate::id;

value! {
    /// Order to drain a target; the target serves again once the record is deleted.
    ///
    /// It is a record of its own so that operators and the agent never write the same one.
    pub struct Drain {
        /// Target to drain.
        pub target: id::Target,
    }
}

impl Record for Drain {
    const KIND: Kind = Kind::Drain;

    fn read(document: &Document) -> Result<Self, Error> {
        document.expect(Self::KIND, &[Schema(1)])?;
        let target = document.field("target", "the name of a target")?;
        Ok(Self { target })
    }

    fn write(&self, document: &mut Document) {
        document.set("target", &self.target);
    }
}
