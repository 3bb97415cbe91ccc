//! The record by which a balancer announces itself.

use std::net::SocketAddr;

use super::{Document, Error, Kind, Record, Schema};
use crate::id;

value! {
    /// Announcement of a balancer, written by the balancer itself.
    pub struct Balancer {
        /// Failure domain that the balancer runs in.
        pub domain: id::Domain,
        /// Region that the balancer runs in.
        pub region: id::Region,
        /// UDP address at which the balancer receives encrypted frames.
        pub peer: SocketAddr,
        /// Address of the balancer's RPC endpoint.
        pub rpc: SocketAddr,
        /// Current run of the balancer.
        pub incarnation: id::Incarnation,
    }
}

impl Record for Balancer {
    const KIND: Kind = Kind::Balancer;

    fn read(document: &Document) -> Result<Self, Error> {
        document.check_schema(Self::KIND, &[Schema(1)])?;
        let address_format = "an address such as \"192.0.2.1:7000\"";
        Ok(Self {
            domain: document.required_field("domain", "the name of a failure domain")?,
            region: document.required_field("region", "the name of a region")?,
            peer: document.required_field("peer", address_format)?,
            rpc: document.required_field("rpc", address_format)?,
            incarnation: document.required_field("incarnation", "a whole number")?,
        })
    }

    fn write(&self, document: &mut Document) {
        document.set_field("domain", &self.domain);
        document.set_field("region", &self.region);
        document.set_field("peer", self.peer);
        document.set_field("rpc", self.rpc);
        document.set_field("incarnation", self.incarnation);
    }
}
