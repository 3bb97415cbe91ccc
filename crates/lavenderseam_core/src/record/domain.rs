//! The failure domain record.

use super::{Document, Error, Kind, Record, Schema};

value! {
    /// Whether operators have a failure domain in use.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum State {
        /// In use.
        In,
        /// Taken out: it receives no packets, and flows that end there are given up.
        Out,
    }
}

value! {
    /// A failure domain.
    ///
    /// Schema 1 holds `state`; schema 2 adds an optional `reason` for other operators to read.
    pub struct Domain {
        /// Whether it is in use.
        pub state: State,
        /// Why it is in this state.
        pub reason: Option<String>,
    }
}

impl Record for Domain {
    const KIND: Kind = Kind::FailureDomain;

    fn read(document: &Document) -> Result<Self, Error> {
        document.expect(Self::KIND, &[Schema(1), Schema(2)])?;
        Ok(Self {
            state: document.field("state", "\"in\" or \"out\"")?,
            reason: document.optional("reason", "a text")?,
        })
    }

    fn write(&self, document: &mut Document) {
        document.set("state", self.state);
        if document.schema != Schema(1) {
            document.set("reason", &self.reason);
        }
    }
}
