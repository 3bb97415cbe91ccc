//! Service record: the addresses of a service and the backend group that serves it.

use std::net::SocketAddr;

use super::{Document, Error, Kind, Record, Schema};
use crate::id;

/// Description of the expected value in errors about an address.
const EXPECTED_ADDRESS: &str = "an address such as \"192.0.2.1:443\"";
/// Description of the expected value in errors about a list of addresses.
const EXPECTED_ADDRESS_LIST: &str = "a list of one or more addresses such as \"192.0.2.1:443\"";
/// Description of the expected value in errors about a group.
const EXPECTED_GROUP: &str = "the name of a backend group";

value! {
    /// A service: the addresses that callers connect to and the backend group that serves them.
    ///
    /// Schema 1 has a single `address`; schema 2 has a list of `addresses`.
    pub struct Service {
        /// Addresses that callers connect to.
        pub addresses: Vec<SocketAddr>,
        /// Group of backend servers that serves the addresses.
        pub group: id::Group,
    }
}

impl Record for Service {
    const KIND: Kind = Kind::Service;

    fn read(document: &Document) -> Result<Self, Error> {
        document.check_schema(Self::KIND, &[Schema(1), Schema(2)])?;
        let addresses = if document.schema == Schema(1) {
            vec![document.required_field("address", EXPECTED_ADDRESS)?]
        } else {
            document.required_field("addresses", EXPECTED_ADDRESS_LIST)?
        };
        let group = document.required_field("group", EXPECTED_GROUP)?;
        Ok(Self { addresses, group })
    }

    fn write(&self, document: &mut Document) {
        // Schema 1 holds a single address, so a second address upgrades the document to schema 2.
        if document.schema == Schema(1) && self.addresses.len() == 1 {
            document.set_field("address", self.addresses[0]);
        } else {
            document.schema = Schema(2);
            document.spec.remove("address");
            document.set_field("addresses", &self.addresses);
        }
        document.set_field("group", &self.group);
    }
}
