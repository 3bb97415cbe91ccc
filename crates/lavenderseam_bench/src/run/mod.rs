//! Runs an experiment: starts the deployment, loads it, injects the faults and measures.

mod applied;
mod configuration;
mod injector;
mod measure;
mod operator;
mod runner;
mod sample;
#[cfg(test)]
mod tests;
mod traffic;
mod work;

pub use applied::{Applied, Log};
pub use operator::{Operator, Order};
pub use runner::Runner;
