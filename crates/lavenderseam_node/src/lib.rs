//! I/O runtime of balancers and agents for pass-through services: sockets, clock, logs and metrics.
//!
//! [`balancer::run`] and [`agent::run`] drive the I/O-free state machines of
//! `lavenderseam_passthrough` on one thread. A [`codec::PacketCodec`] decodes and encodes packets.
//! Records and calls of backend servers come in through [`balancer::Handle`] and
//! [`agent::Handle`].

pub mod agent;
pub mod balancer;
pub mod clock;
pub mod codec;
pub mod http;
pub mod log;
pub mod metrics;
mod peer;
mod process;
mod socket;
pub mod unix_signals;

pub use process::DynamicSettings;
