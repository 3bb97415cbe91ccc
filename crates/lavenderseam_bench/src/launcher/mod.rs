//! Starts a whole deployment as separate processes on loopback and ends them.
//!
//! A [`Cluster`] owns its processes: they are started and ended by their handles, and none
//! outlives it, also when the bench panics or is interrupted.

mod cluster;
mod credentials;
mod deployment;
mod files;
mod lookup;
mod network;
mod process;
mod programs;
mod readiness;
mod records;
mod stand_in;

pub use cluster::{Cluster, Options, System};
pub use credentials::SERVER_NAME;
pub use deployment::{Deployment, Group, Placement};
pub use network::Network;
pub use process::{Process, Signal};
pub use programs::Programs;
