//! The callers' transport: QUIC connections that end at this agent.
//!
//! There is one QUIC endpoint for each service address, so a connection can't be reached through
//! another service's address. An endpoint has no UDP socket of its own: its [`socket::Socket`] is
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

pub(crate) use egress::Egress;
pub(crate) use endpoint::Endpoints;
pub(crate) use stream::{Connection, Stream, Watch};
pub(crate) use tls::Certificate;
