//! The sans-I/O core of lavenderseam.
//!
//! Its state machines make every decision of the system: they receive events and the current
//! [`time::Instant`] and return actions. Nothing in this crate opens a socket, reads a clock,
//! spawns a task or uses unseeded randomness, so the daemons, the differential tests, the
//! conformance tests of the models and external benchmarks drive the same code.
//!
//! Suggested reading order: [`record`] (configuration and announcements that operators and
//! processes write), [`catalog`] (the records that a process holds), [`view`] (the routing table
//! compiled from them), [`flow`] (selection of the target of a packet), [`admission`] and
//! [`request`] (load limits and at-most-once execution at a backend server), [`relay`]
//! (replication of records between processes) and [`liveness`] (health checks of targets). [`json`]
//! decodes what other writers leave in the store.

#[macro_use]
mod derive;

pub mod admission;
pub mod catalog;
pub mod flow;
pub mod id;
pub mod json;
pub mod liveness;
pub mod random;
pub mod rank;
pub mod record;
pub mod relay;
pub mod request;
pub mod time;
pub mod view;
