//! Finds out whether the backend server can be reached, and what it says of its load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lavenderseam_telemetry::Metrics;
use tokio::net::TcpStream;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::gauge::Gauge;

/// Time between two looks.
const INTERVAL: Duration = Duration::from_millis(500);
/// Time in which a connection must be open.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Tries the backend server's address, so that one that has gone is given no new flows even if
/// nothing is asked of it.
pub(crate) struct Prober {
    backend: SocketAddr,
    gauge: Arc<Gauge>,
    metrics: Arc<Metrics>,
}

impl Prober {
    pub(crate) fn new(backend: SocketAddr, gauge: Arc<Gauge>, metrics: Arc<Metrics>) -> Self {
        Self {
            backend,
            gauge,
            metrics,
        }
    }

    /// Looks until dropped.
    pub(crate) async fn run(self) {
        let mut ticks = interval(INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let connected = timeout(TIMEOUT, TcpStream::connect(self.backend)).await;
            if !matches!(connected, Ok(Ok(_))) {
                self.gauge.lost();
            }
            let (limit, in_flight) = self.gauge.level();
            self.metrics.gauge("window.limit", limit.into());
            self.metrics.gauge("window.in_flight", in_flight.into());
        }
    }
}
