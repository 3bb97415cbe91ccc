//! Test bench: stand-ins for the external systems, a launcher that runs a whole deployment as
//! separate processes, a load generator, fault schedules and reports.
//!
//! All measurements come from the stand-ins and the callers, never from the system under test.

pub mod compare;
mod error;
pub mod http_client;
pub mod launcher;
pub mod load;
pub mod report;
pub mod run;
pub mod schedule;
pub mod slope;
pub mod stand_ins;

pub use error::Error;
