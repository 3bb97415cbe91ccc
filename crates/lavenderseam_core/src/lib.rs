//! The sans-I/O core of lavenderseam.
//!
//! Every decision of the system is taken here by state machines that receive events and the
//! current [`time::Instant`] and return actions. Nothing in this crate opens a socket, reads a
//! clock, starts a task or draws unseeded randomness, so the daemons, the differential tests, the
//! model's conformance test and any outside bench drive the same code.
//!
//! Reading order: [`record`] (what operators and processes write), [`catalog`] (which records a
//! process holds), [`view`] (the routing view compiled from them), [`flow`] (where a packet
//! goes), [`admission`] and [`request`] (what a backend server is given), [`relay`] and
//! [`liveness`] (how processes act together).

#[macro_use]
mod derive;

pub mod admission;
pub mod catalog;
pub mod flow;
pub mod id;
pub mod liveness;
pub mod rank;
pub mod record;
pub mod relay;
pub mod request;
pub mod time;
pub mod view;
