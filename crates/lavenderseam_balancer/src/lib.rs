//! The balancer: receives callers' packets from the fabric and forwards each to the agent of the
//! target that owns its flow.
//!
//! Each receive thread reads datagrams from the fabric's socket, parses the routing part of the
//! QUIC header ([`quic_header`]), selects the target with the core's router and sends a sealed
//! frame to its agent. Another thread receives the agents' hints. All state is soft: a balancer may
//! stop at any time without breaking a flow.

mod counters;
mod fabric_receiver;
mod peer_receiver;
mod plugin;
pub mod quic_header;
mod settings;
mod shared_state;
mod socket;

pub use counters::{Counters, DatagramEvent};
pub use plugin::BalancerPlugin;
pub use settings::{FabricSource, Settings};
