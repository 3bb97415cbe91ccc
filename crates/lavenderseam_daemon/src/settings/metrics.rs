//! Settings of the metrics.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Where metrics go.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Metrics {
    /// Address of a statsd collector (UDP); nowhere if absent.
    pub collector: Option<SocketAddr>,
}
