//! Scaling measurements: how the cost of the control plane grows with the size of the deployment.
//!
//! Each measurement is called a slope, after the growth of a control-plane cost with the size of
//! the deployment. It runs the real core in memory at four or more sizes and fits a line to each
//! column. Messages are encoded as on the wire to count their bytes. Traffic is deterministic for a
//! seed; time and memory depend on the machine.

mod cost;
mod fit;
mod join;
mod memory;
mod remote;
mod report;
mod sample;
mod traffic;
mod tree;

#[path = "../../../lavenderseam_core/tests/fixture/mod.rs"]
mod fixture;

use std::fmt;

pub use fit::Fit;
pub use report::{Report, Row};

/// Names of all slopes.
pub const SLOPE_NAMES: [&str; 15] = [
    "members", "changes", "failures", "region", "outage", "depth", "store", "join", "tree",
    "apply", "compile", "probes", "memory", "flows", "remote",
];

/// Error for a name that isn't a slope.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownSlope(pub String);

/// Measures a slope.
///
/// # Errors
///
/// Returns [`UnknownSlope`] if no slope has the name.
pub fn run(name: &str, seed: u64) -> Result<Report, UnknownSlope> {
    let measure = match name {
        "members" => traffic::members,
        "changes" => traffic::changes,
        "failures" => traffic::failures,
        "region" => traffic::region,
        "outage" => traffic::outage,
        "depth" => traffic::depth,
        "store" => traffic::store,
        "join" => join::join,
        "tree" => tree::tree,
        "apply" => cost::apply,
        "compile" => cost::compile,
        "probes" => cost::probes,
        "memory" => memory::memory,
        "flows" => memory::flows,
        "remote" => remote::remote,
        _ => return Err(UnknownSlope(name.to_owned())),
    };
    Ok(measure(seed))
}

impl fmt::Display for UnknownSlope {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "unknown slope {:?}; known:", self.0)?;
        for name in SLOPE_NAMES {
            write!(formatter, " {name}")?;
        }
        Ok(())
    }
}

impl std::error::Error for UnknownSlope {}
