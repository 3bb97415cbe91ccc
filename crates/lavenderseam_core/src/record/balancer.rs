//! A balancer's announcement.

use std::net::SocketAddr;

use super::{Document, Error, Kind, Record, Schema};
use crate::id;

value! {
    /// A balancer; written by itself.
    pub struct Balancer {
        /// Failure domain that it lives in.
        pub domain: id::Domain,
        /// Region that it lives in.
        pub region: id::Region,
        /// Address for sealed frames.
        pub peer: SocketAddr,
        /// Address for remote calls.
        pub rpc: SocketAddr,
        /// Its present run.
        pub incarnation: id::Incarnation,
    }
}

impl Record for Balancer {
    const KIND: Kind = Kind::Balancer;

    fn read(document: &Document) -> Result<Self, Error> {
        document.expect(Self::KIND, &[Schema(1)])?;
        let address = "an address such as \"192.0.2.1:7000\"";
        Ok(Self {
            domain: document.field("domain", "the name of a failure domain")?,
            region: document.field("region", "the name of a region")?,
            peer: document.field("peer", address)?,
            rpc: document.field("rpc", address)?,
            incarnation: document.field("incarnation", "a whole number")?,
        })
    }

    fn write(&self, document: &mut Document) {
        document.set("domain", &self.domain);
        document.set("region", &self.region);
        document.set("peer", self.peer);
        document.set("rpc", self.rpc);
        document.set("incarnation", self.incarnation);
    }
}
