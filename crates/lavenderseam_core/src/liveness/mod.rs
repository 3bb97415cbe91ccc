//! Health checks of targets.
//!
//! Rendezvous hashing assigns a few balancers to probe each target. An unanswered probe is repeated
//! promptly, so a stopped target is detected within one round of probes, while a single lost
//! datagram doesn't mark a target down. A balancer publishes the set of targets that it finds down
//! only when the set changes, and a target counts as down when several balancers report it.
//!
//! A balancer that was itself paused, or whose targets have mostly stopped answering, marks no
//! target down: the balancer's own network or process is the more likely cause.

mod assignment;
mod health;
mod prober;

pub use assignment::{Assignment, PROBERS_PER_TARGET, ProbedTarget};
pub use prober::{Action, Echo, Prober};
