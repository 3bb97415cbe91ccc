//! The record by which a balancer reports the targets that fail its health checks.

use super::{Document, Error, Kind, Record, Schema};
use crate::id;

value! {
    /// A target that fails the health checks of one balancer.
    pub struct DownTarget {
        /// Name of the target.
        pub target: id::Target,
        /// The agent's run that stopped answering; the report doesn't apply to a newer run.
        pub incarnation: id::Incarnation,
    }
}

value! {
    /// All targets that fail the health checks of one balancer. The record has the balancer's name.
    pub struct Verdict {
        /// Targets that fail the health checks.
        pub down: Vec<DownTarget>,
    }
}

impl Record for Verdict {
    const KIND: Kind = Kind::Verdict;

    fn read(document: &Document) -> Result<Self, Error> {
        document.check_schema(Self::KIND, &[Schema(1)])?;
        let down = document.required_field("down", "a list of targets with their incarnation")?;
        Ok(Self { down })
    }

    fn write(&self, document: &mut Document) {
        document.set_field("down", &self.down);
    }
}
