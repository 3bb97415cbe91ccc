//! Lavenderseam, a layer-4 load balancer, as a library.
//!
//! This crate re-exports the crates of the project, from the lowest layer up:
//! - [`core`]: all decisions, as state machines without sockets, clocks or tasks. Start here to
//!   drive the system from your own test bench, as in `examples/opaque_packets.rs`.
//! - [`wire`]: encoding of the datagrams between processes.
//! - [`platform`]: interface to the object API of the platform, with a client and an in-memory
//!   fake.
//! - [`app`]: framework that assembles daemons from plugins.
//! - [`control`], [`balancer`], [`agent`]: plugins of the daemons.
//! - [`caller`]: client library for callers.
//! - [`telemetry`]: logs, metrics and traces.

pub mod prelude;

pub use lavenderseam_agent as agent;
pub use lavenderseam_app as app;
pub use lavenderseam_balancer as balancer;
pub use lavenderseam_caller as caller;
pub use lavenderseam_control as control;
pub use lavenderseam_core as core;
pub use lavenderseam_platform as platform;
pub use lavenderseam_telemetry as telemetry;
pub use lavenderseam_wire as wire;
