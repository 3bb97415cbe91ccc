//! Metrics over statsd.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::*;
use cadence::{NopMetricSink, StatsdClient, UdpMetricSink};

/// Sends metrics to a statsd collector, or nowhere.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Metrics that go nowhere; `prefix` precedes every name.
    #[must_use]
    pub fn new(prefix: &str) -> Self {
        Self {
            client: Arc::new(StatsdClient::from_sink(prefix, NopMetricSink)),
        }
    }

    /// Metrics that go to a collector.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no socket can be opened.
    pub fn with_collector(prefix: &str, collector: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(collector, socket).map_err(io::Error::other)?;
        Ok(Self {
            client: Arc::new(StatsdClient::from_sink(prefix, sink)),
        })
    }

    /// Adds to a counter. A metric that can't be sent is lost.
    pub fn count(&self, name: &str, amount: u64) {
        let _ = self.client.count(name, amount);
    }

    /// Sets a gauge. A metric that can't be sent is lost.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration. A metric that can't be sent is lost.
    pub fn time(&self, name: &str, span: Duration) {
        let _ = self.client.time(name, span);
    }
}
