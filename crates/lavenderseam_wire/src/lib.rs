//! Datagrams between the processes of the system, and to and from the fabric.
//!
//! - [`Frame`]: between balancers and agents. A keyed tag covers the header; the caller's payload
//!   isn't covered, because whoever can reach a service address can send any payload anyway and
//!   the callers' transport authenticates its own packets.
//! - [`fabric::Packet`]: what the fabric hands to a balancer, and what an agent hands back.
//! - [`connection`]: connection ids that name the owner of a flow.

pub mod connection;
mod error;
pub mod fabric;
mod frame;
mod key;

pub use error::Error;
pub use frame::{Body, Echo, Forward, Frame, Probe};
pub use key::{Key, LENGTH as KEY_LENGTH};
pub use lavenderseam_core::flow::{Hint, Kind, TRAIL_LIMIT};
