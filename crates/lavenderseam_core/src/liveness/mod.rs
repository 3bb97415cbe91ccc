//! Which targets answer.
//!
//! Each target is probed by a few balancers, assigned by rendezvous. A probe that isn't answered is
//! soon repeated, so a target that stopped is found within one round, while a single lost datagram
//! condemns no one. A balancer publishes the set of targets that it finds down only when it changes,
//! and a target counts as down when several balancers agree.
//!
//! A balancer that was itself paused, or that most of its targets no longer answer, condemns no one:
//! it is more likely cut off itself.

mod assignment;
mod health;
mod prober;

pub use assignment::{Assignment, PROBERS, Probed};
pub use prober::{Action, Echo, Prober};
