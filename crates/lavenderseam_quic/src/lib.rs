//! QUIC transport of the agent, which terminates callers' connections.
//!
//! There is one QUIC endpoint for each service address, so a connection can't be reached through
//! another service's address. An endpoint has no UDP socket of its own: its
//! `service_socket::ServiceSocket` receives the packets that balancers forward, and sends packets
//! to the fabric with the service address as the source.

mod connection_id;
mod fabric_sender;
mod h3_error;
mod reset_key;
mod service_endpoints;
mod service_socket;
mod stream;
mod tls;

pub use fabric_sender::FabricSender;
pub use service_endpoints::{Error, ServiceEndpoints};
pub use stream::{BidiStream, Connection, RecvStream, SendStream, Stopped, StreamOpener};
pub use tls::{CertificateFiles, Error as CertificateError};
