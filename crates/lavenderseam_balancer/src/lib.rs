//! The balancer: takes callers' packets from the fabric and forwards each to the agent of the
//! target that its flow belongs to.
//!
//! Threads receive from the fabric's socket, read just enough of the QUIC header ([`quic`]), ask
//! the core's router and send sealed frames. Another thread takes the agents' hints. All state is
//! soft: a balancer may end at any time without breaking a flow.

mod counters;
mod fabric;
mod peer;
mod plugin;
pub mod quic;
mod settings;
mod shared;
mod socket;

pub use counters::{Counters, Event};
pub use plugin::BalancerPlugin;
pub use settings::{Settings, Source};
