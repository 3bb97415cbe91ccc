//! The service record.

use std::net::SocketAddr;

use super::{Document, Error, Kind, Record, Schema};
use crate::id;

const ADDRESS: &str = "an address such as \"192.0.2.1:443\"";
const ADDRESSES: &str = "a list of one or more addresses such as \"192.0.2.1:443\"";
const GROUP: &str = "the name of a backend group";

value! {
    /// A service: the addresses that callers use and the group that serves it.
    ///
    /// Schema 1 holds one `address`; schema 2 a list of `addresses`.
    pub struct Service {
        /// Addresses that callers send to.
        pub addresses: Vec<SocketAddr>,
        /// Group of backend servers that serves them.
        pub group: id::Group,
    }
}

impl Record for Service {
    const KIND: Kind = Kind::Service;

    fn read(document: &Document) -> Result<Self, Error> {
        document.expect(Self::KIND, &[Schema(1), Schema(2)])?;
        let addresses = if document.schema == Schema(1) {
            vec![document.field("address", ADDRESS)?]
        } else {
            document.field("addresses", ADDRESSES)?
        };
        let group = document.field("group", GROUP)?;
        Ok(Self { addresses, group })
    }

    fn write(&self, document: &mut Document) {
        // Schema 1 has room for one address only; a second one moves the document to schema 2.
        if document.schema == Schema(1) && self.addresses.len() == 1 {
            document.set("address", self.addresses[0]);
        } else {
            document.schema = Schema(2);
            document.spec.remove("address");
            document.set("addresses", &self.addresses);
        }
        document.set("group", &self.group);
    }
}
