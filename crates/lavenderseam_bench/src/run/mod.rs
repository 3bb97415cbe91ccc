//! Runs an experiment: starts the deployment, puts load on it, injects the faults and measures the
//! results.

mod backend_work;
mod configuration_monitor;
mod experiment_runner;
mod fabric_sampler;
mod fault_injector;
mod fault_log;
mod observations;
mod operator;
#[cfg(test)]
mod tests;
mod traffic_monitor;

pub use experiment_runner::ExperimentRunner;
pub use fault_log::{FaultLog, InjectedFault};
pub use operator::{AcceptedWrite, Operator};
