//! Runs a whole deployment as separate processes on loopback addresses.
//!
//! A [`Cluster`] owns its processes. None of them outlives it, even if the bench panics or is
//! killed.

mod cluster;
mod credentials;
mod deployment;
mod lookup;
mod network;
mod process;
mod programs;
mod readiness;
mod records;
mod settings_writer;
mod stand_in_settings;

pub use cluster::{Cluster, Options, System};
pub use credentials::SERVER_NAME;
pub use deployment::{Deployment, Group, Placement};
pub use network::Network;
pub use process::{Process, Signal};
pub use programs::Programs;
