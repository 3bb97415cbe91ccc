//! Pass-through services: packets reach a backend server unread and unchanged.
//!
//! The truth about a flow lives beside its target, with the agent. A balancer holds soft state
//! only: which target it sent a flow to, and what agents last told it. It drives the search for a
//! flow's owner: an agent that can't take a packet returns it with the reason, and the balancer
//! tries the next target. So agents know nothing of each other.
//!
//! Everything here is sans-I/O: [`balancer::Balancer`] and [`agent::Agent`] take events and the
//! present instant and return what to do.
//!
//! Reading order: [`flow`] and [`segment`] (what a packet says), [`desired`] (what operators
//! order), [`message`] (what processes tell each other), [`balancer`], [`agent`].

pub mod agent;
pub mod balancer;
pub mod desired;
pub mod flow;
pub mod message;
pub mod segment;
