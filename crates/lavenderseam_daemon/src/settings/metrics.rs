//! Settings of the metrics.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Destination of metrics: the `[metrics]` table.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Metrics {
    /// UDP address of a statsd collector. Metrics are discarded if it is absent.
    pub collector: Option<SocketAddr>,
}
