//! The record by which operators drain a target.

use super::{Document, Error, Kind, Record, Schema};
use crate::id;

value! {
    /// Request to drain a target; deleting the record puts the target back into service.
    ///
    /// It is separate from the target's record so that operators and the agent never write to the
    /// same record.
    pub struct Drain {
        /// Target to drain.
        pub target: id::Target,
    }
}

impl Record for Drain {
    const KIND: Kind = Kind::Drain;

    fn read(document: &Document) -> Result<Self, Error> {
        document.check_schema(Self::KIND, &[Schema(1)])?;
        let target = document.required_field("target", "the name of a target")?;
        Ok(Self { target })
    }

    fn write(&self, document: &mut Document) {
        document.set_field("target", &self.target);
    }
}
