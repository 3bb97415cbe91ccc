//! A backend server's announcement.

use std::net::SocketAddr;

use super::{Document, Error, Kind, Record, Schema};
use crate::id;

value! {
    /// What an agent says of itself.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum Phase {
        /// Takes new flows.
        Serving,
        /// Leaves: takes no new flows and finishes what it has.
        Leaving,
    }
}

value! {
    /// A backend server and the agent beside it; written by the agent.
    pub struct Target {
        /// Group that the backend server belongs to.
        pub group: id::Group,
        /// Failure domain that it lives in.
        pub domain: id::Domain,
        /// Region that it lives in.
        pub region: id::Region,
        /// Address of the agent for sealed frames.
        pub peer: SocketAddr,
        /// Address of the agent for remote calls.
        pub rpc: SocketAddr,
        /// The agent's present run.
        pub incarnation: id::Incarnation,
        /// What the agent says of itself.
        pub phase: Phase,
    }
}

impl Record for Target {
    const KIND: Kind = Kind::Target;

    fn read(document: &Document) -> Result<Self, Error> {
        document.expect(Self::KIND, &[Schema(1)])?;
        let address = "an address such as \"192.0.2.1:7000\"";
        Ok(Self {
            group: document.field("group", "the name of a backend group")?,
            domain: document.field("domain", "the name of a failure domain")?,
            region: document.field("region", "the name of a region")?,
            peer: document.field("peer", address)?,
            rpc: document.field("rpc", address)?,
            incarnation: document.field("incarnation", "a whole number")?,
            phase: document.field("phase", "\"serving\" or \"leaving\"")?,
        })
    }

    fn write(&self, document: &mut Document) {
        document.set("group", &self.group);
        document.set("domain", &self.domain);
        document.set("region", &self.region);
        document.set("peer", self.peer);
        document.set("rpc", self.rpc);
        document.set("incarnation", self.incarnation);
        document.set("phase", self.phase);
    }
}
