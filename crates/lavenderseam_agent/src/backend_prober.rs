//! Checks periodically whether the backend server accepts connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lavenderseam_telemetry::Metrics;
use tokio::net::TcpStream;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::concurrency_limiter::ConcurrencyLimiter;

/// Time between two connection attempts.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Limit for establishing the connection of one attempt.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Connects to the backend server periodically, so that an unreachable one gets no new flows even
/// while there are no requests, and reports the concurrency window as metrics.
pub(crate) struct BackendProber {
    backend: SocketAddr,
    limiter: Arc<ConcurrencyLimiter>,
    metrics: Arc<Metrics>,
}

impl BackendProber {
    pub(crate) fn new(
        backend: SocketAddr,
        limiter: Arc<ConcurrencyLimiter>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            backend,
            limiter,
            metrics,
        }
    }

    /// Probes until the future is dropped.
    pub(crate) async fn run(self) {
        let mut ticks = interval(PROBE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(self.backend)).await;
            if !matches!(connected, Ok(Ok(_))) {
                self.limiter.on_unreachable();
            }
            let (limit, in_flight) = self.limiter.limit_and_in_flight();
            self.metrics.gauge("window.limit", limit.into());
            self.metrics.gauge("window.in_flight", in_flight.into());
        }
    }
}
