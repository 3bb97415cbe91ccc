//! The record by which an agent announces its backend server.

use std::net::SocketAddr;

use super::{Document, Error, Kind, Record, Schema};
use crate::id;

value! {
    /// Lifecycle phase that an agent announces for its target.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum Phase {
        /// The target accepts new flows.
        Serving,
        /// The target is shutting down: it accepts no new flows and finishes the existing ones.
        Leaving,
    }
}

value! {
    /// Announcement of a backend server and its agent, written by the agent.
    pub struct Target {
        /// Group that the backend server belongs to.
        pub group: id::Group,
        /// Failure domain that the target runs in.
        pub domain: id::Domain,
        /// Region that the target runs in.
        pub region: id::Region,
        /// UDP address at which the agent receives encrypted frames.
        pub peer: SocketAddr,
        /// Address of the agent's RPC endpoint.
        pub rpc: SocketAddr,
        /// Current run of the agent.
        pub incarnation: id::Incarnation,
        /// Phase that the agent announces for itself.
        pub phase: Phase,
    }
}

impl Record for Target {
    const KIND: Kind = Kind::Target;

    fn read(document: &Document) -> Result<Self, Error> {
        document.check_schema(Self::KIND, &[Schema(1)])?;
        let address_format = "an address such as \"192.0.2.1:7000\"";
        Ok(Self {
            group: document.required_field("group", "the name of a backend group")?,
            domain: document.required_field("domain", "the name of a failure domain")?,
            region: document.required_field("region", "the name of a region")?,
            peer: document.required_field("peer", address_format)?,
            rpc: document.required_field("rpc", address_format)?,
            incarnation: document.required_field("incarnation", "a whole number")?,
            phase: document.required_field("phase", "\"serving\" or \"leaving\"")?,
        })
    }

    fn write(&self, document: &mut Document) {
        document.set_field("group", &self.group);
        document.set_field("domain", &self.domain);
        document.set_field("region", &self.region);
        document.set_field("peer", self.peer);
        document.set_field("rpc", self.rpc);
        document.set_field("incarnation", self.incarnation);
        document.set_field("phase", self.phase);
    }
}
