//! Metrics in the statsd protocol.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::*;
use cadence::{NopMetricSink, StatsdClient, UdpMetricSink};

/// Sends metrics to a statsd collector, or discards them; a resource of every daemon.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates metrics that are discarded. `prefix` precedes the names of all metrics.
    #[must_use]
    pub fn disabled(prefix: &str) -> Self {
        Self {
            client: Arc::new(StatsdClient::from_sink(prefix, NopMetricSink)),
        }
    }

    /// Creates metrics that are sent to a collector over UDP. `prefix` precedes the names of all
    /// metrics.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if no socket can be opened.
    pub fn with_collector(prefix: &str, collector: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(collector, socket).map_err(io::Error::other)?;
        Ok(Self {
            client: Arc::new(StatsdClient::from_sink(prefix, sink)),
        })
    }

    /// Adds to a counter. The update is lost if it can't be sent.
    pub fn count(&self, name: &str, amount: u64) {
        let _ = self.client.count(name, amount);
    }

    /// Sets a gauge. The update is lost if it can't be sent.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration. The update is lost if it can't be sent.
    pub fn time(&self, name: &str, duration: Duration) {
        let _ = self.client.time(name, duration);
    }
}
