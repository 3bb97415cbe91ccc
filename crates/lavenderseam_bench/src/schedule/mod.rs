//! Experiments: a deployment, its load, a schedule of faults and the expected results of the run.

mod action;
mod expectation;
mod experiment;
mod random_experiment;
mod table_reader;

pub use action::{Action, Fault, Subject};
pub use expectation::{Bound, Expectation};
pub use experiment::{Experiment, ServiceLoad};
pub use random_experiment::random_experiment;
