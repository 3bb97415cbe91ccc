//! Lavenderseam, a layer-4 load balancer, as a library.
//!
//! The parts, from the inside out:
//! - [`core`]: all decisions as state machines without sockets, clocks or tasks; start here to
//!   drive the system from a bench of your own, as `examples/opaque_packets.rs` does.
//! - [`wire`]: the datagrams between the processes.
//! - [`platform`]: the platform's object API, its client and a fake.
//! - [`app`]: the kernel that daemons are assembled with from plugins.
//! - [`control`], [`balancer`], [`agent`]: the plugins.
//! - [`caller`]: the client library of callers.
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
