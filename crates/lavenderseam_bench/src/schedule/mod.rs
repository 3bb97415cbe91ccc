//! Experiments: a deployment, its load, a schedule of faults and what is expected of the run.

mod action;
mod draw;
mod expectation;
mod experiment;
mod reader;

pub use action::{Action, Fault, Subject};
pub use draw::mixed;
pub use expectation::{Bound, Expectation};
pub use experiment::{Experiment, Load};
