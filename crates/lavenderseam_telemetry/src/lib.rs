//! Logs, metrics and traces of the daemons.
//!
//! Logs are short sentences behind the prefix of the part that writes them, as text or JSON.
//! Metrics go to a statsd collector over UDP. A trace is followed by its [`trace::Id`] from the
//! caller over balancer and agent to the backend server, with a span for each hop in the log.

mod line;
pub mod log;
pub mod metrics;
pub mod trace;

pub use log::Log;
pub use metrics::Metrics;
