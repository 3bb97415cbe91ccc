//! What runs the decisions of pass-through services: sockets, time, logs and metrics.
//!
//! [`balancer::run`] and [`agent::run`] feed the state machines of `lavenderseam_passthrough` on
//! one thread. What a packet's bytes mean is left to a [`codec::Codec`], and where records come
//! from to whoever holds a handle.

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
pub mod stop;
