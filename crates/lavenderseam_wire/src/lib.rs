//! Wire formats of the datagrams between balancers and agents and of those exchanged with the
//! fabric.
//!
//! - [`Frame`]: between balancers and agents. An authentication tag covers the header. It doesn't
//!   cover the caller's payload, because anyone who can reach a service address can send any
//!   payload anyway, and QUIC authenticates its own packets.
//! - [`fabric::Packet`]: from the fabric to a balancer and from an agent to the fabric.
//! - [`connection_id`]: QUIC connection ids that encode the owner of a flow.

pub mod connection_id;
mod error;
pub mod fabric;
mod frame;
mod key;

pub use error::Error;
pub use frame::{ForwardHeader, Frame, FrameHeader, Probe, ProbeReply};
pub use key::{LENGTH as KEY_LENGTH, SymmetricKey};
pub use lavenderseam_core::flow::{Hint, Kind, MAX_VISITED_TARGETS};
