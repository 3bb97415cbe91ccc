//! Transport for callers that speak QUIC: connections end at an agent.
//!
//! There is one QUIC endpoint for each service address, so a connection can't be reached through
//! another service's address. An endpoint has no UDP socket of its own: its `socket::Socket` is
//! fed with the packets that balancers forward, and hands what it sends to the fabric with the
//! service's address as the source.

mod connection_id;
mod egress;
mod endpoint;
mod failure;
mod reset_key;
mod socket;
mod stream;
mod tls;

pub use egress::Egress;
pub use endpoint::{Endpoints, Error};
pub use stream::{Connection, Opener, Recv, Send, Stream, Watch};
pub use tls::{Certificate, Error as CertificateError};
