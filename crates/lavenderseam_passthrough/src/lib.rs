//! Layer-4 load balancing for pass-through services, whose packets reach a backend server unread
//! and unmodified.
//!
//! The agent beside a target is authoritative for the flows of that target. A balancer holds soft
//! state only: the target that it last sent each flow to, and the state that agents last announced.
//! The balancer searches for the owner of an unknown flow: an agent that can't accept a packet
//! returns it with a reason, and the balancer tries the next target. Agents need no knowledge of
//! each other.
//!
//! The crate is sans-I/O: [`balancer::Balancer`] and [`agent::Agent`] take events and the current
//! time, and return the actions to perform.
//!
//! Suggested reading order: [`flow`] and [`segment`] (packet headers), [`desired`] (configuration),
//! [`message`] (protocol between processes), [`balancer`], [`agent`].

pub mod agent;
pub mod balancer;
pub mod desired;
pub mod flow;
pub mod message;
pub mod read_schedule;
pub mod segment;
pub mod watch_schedule;
