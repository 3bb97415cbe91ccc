//! Logs, metrics and traces of the daemons.
//!
//! Log lines consist of the name of the component that writes them and a short message, as text or
//! JSON. Metrics are sent to a statsd collector over UDP. A [`trace::Id`] identifies a flow from
//! the caller over balancer and agent to the backend server; each hop logs its spans under it.

mod json_formatter;
pub mod log;
pub mod metrics;
pub mod trace;

pub use log::Log;
pub use metrics::Metrics;
