//! Failure domain record, with which operators take a failure domain out of service.

use super::{Document, Error, Kind, Record, Schema};

value! {
    /// Administrative state of a failure domain.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum State {
        /// The domain receives traffic.
        In,
        /// Operators have taken the domain out of service: it receives no packets, and flows to its
        /// targets are abandoned.
        Out,
    }
}

value! {
    /// Administrative settings of a failure domain.
    ///
    /// Schema 1 has `state`; schema 2 adds an optional `reason`, a note for other operators.
    pub struct Domain {
        /// Whether the domain receives traffic.
        pub state: State,
        /// Operators' reason for the state.
        pub reason: Option<String>,
    }
}

impl Record for Domain {
    const KIND: Kind = Kind::FailureDomain;

    fn read(document: &Document) -> Result<Self, Error> {
        document.check_schema(Self::KIND, &[Schema(1), Schema(2)])?;
        Ok(Self {
            state: document.required_field("state", "\"in\" or \"out\"")?,
            reason: document.optional_field("reason", "a text")?,
        })
    }

    fn write(&self, document: &mut Document) {
        document.set_field("state", self.state);
        if document.schema != Schema(1) {
            document.set_field("reason", &self.reason);
        }
    }
}
