//! The bench: stand-ins for what surrounds the system, a launcher that starts a whole deployment
//! as separate processes, load, fault schedules and reports.
//!
//! Counts are taken by the stand-ins and the callers, never by the system under test.

pub mod compare;
mod error;
pub mod launcher;
pub mod load;
pub mod remote;
pub mod report;
pub mod run;
pub mod schedule;
pub mod slope;
pub mod standins;

pub use error::Error;
