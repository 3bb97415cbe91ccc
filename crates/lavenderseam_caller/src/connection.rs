//! QUIC connection to the service; each connection is a separate flow.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use h3_quinn::OpenStreams;
use lavenderseam_telemetry::trace;
use parking_lot::Mutex;
use quinn::{ClientConfig, ConnectionError, ConnectionId, Endpoint, IdleTimeout, TransportConfig};
use tokio::time::Instant;

use crate::statistics::{BreakDetection, BrokenFlow, Statistics};
use crate::{Failure, Settings};

/// Idle timeout of connections, in milliseconds.
const IDLE_TIMEOUT_MILLISECONDS: u32 = 5_000;
/// Interval between keep-alive packets.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Round-trip time assumed before one is measured; it determines how soon a lost first packet is
/// retransmitted.
const INITIAL_RTT: Duration = Duration::from_millis(50);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Handle that sends requests on a connection.
pub(crate) type Sender = h3::client::SendRequest<OpenStreams, Bytes>;

/// Connection to the service and its request counters.
pub(crate) struct Connection {
    quic: quinn::Connection,
    sender: Sender,
    trace_id: trace::Id,
    closing: AtomicBool,
    requests_in_flight: AtomicUsize,
    excluded_until: Mutex<Option<Instant>>,
}

impl Connection {
    /// Opens a connection from a new local port and counts the result in the statistics.
    pub(crate) async fn open(
        settings: &Settings,
        tls: &Arc<quinn::crypto::rustls::QuicClientConfig>,
        statistics: &Arc<Mutex<Statistics>>,
    ) -> Result<Self, Failure> {
        let connecting = Self::connect(settings, tls, statistics);
        let result = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let connection = result.unwrap_or(Err(Failure::ConnectFailed));
        let mut statistics = statistics.lock();
        match &connection {
            Ok(_) => statistics.flows_opened += 1,
            Err(_) => statistics.flows_failed += 1,
        }
        connection
    }

    /// Performs the QUIC and HTTP/3 handshakes.
    async fn connect(
        settings: &Settings,
        tls: &Arc<quinn::crypto::rustls::QuicClientConfig>,
        statistics: &Arc<Mutex<Statistics>>,
    ) -> Result<Self, Failure> {
        let connect_failed = |_| Failure::ConnectFailed;
        let trace_id = trace::Id(rand::random());
        let local = SocketAddr::new(settings.local_address, 0);
        let endpoint = Endpoint::client(local).map_err(|_| Failure::ConnectFailed)?;
        let local = endpoint.local_addr().map_err(|_| Failure::ConnectFailed)?;
        let connection = endpoint
            .connect_with(
                client_config(tls, trace_id),
                settings.service,
                &settings.server_name,
            )
            .map_err(|_| Failure::ConnectFailed)?
            .await
            .map_err(connect_failed)?;
        let transport = h3_quinn::Connection::new(connection.clone());
        let (mut driver, sender) = h3::client::new(transport)
            .await
            .map_err(|_| Failure::ConnectFailed)?;
        tokio::spawn(async move { driver.wait_idle().await });
        let watched_connection = connection.clone();
        let statistics = Arc::clone(statistics);
        tokio::spawn(async move {
            let reason = watched_connection.closed().await;
            if let Some(found) = break_detection(&reason) {
                statistics.lock().broken_flows.push(BrokenFlow {
                    local_address: local,
                    detection: found,
                });
            }
        });
        Ok(Self {
            quic: connection,
            sender,
            trace_id,
            closing: AtomicBool::new(false),
            requests_in_flight: AtomicUsize::new(0),
            excluded_until: Mutex::new(None),
        })
    }

    /// Returns a handle for sending one request.
    pub(crate) fn sender(&self) -> Sender {
        self.sender.clone()
    }

    /// Returns the trace id of the flow.
    pub(crate) fn trace_id(&self) -> trace::Id {
        self.trace_id
    }

    /// Returns `true` if new requests may be sent on the connection.
    pub(crate) fn is_open(&self) -> bool {
        !self.closing.load(Ordering::Relaxed) && self.quic.close_reason().is_none()
    }

    /// Records that the agent takes no more requests on the connection.
    pub(crate) fn mark_closing(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Excludes the connection from selection for a time, because its agent refuses requests.
    pub(crate) fn exclude_for(&self, duration: Duration) {
        *self.excluded_until.lock() = Some(Instant::now() + duration);
    }

    /// Returns `true` while the connection is excluded from selection.
    pub(crate) fn is_excluded(&self) -> bool {
        self.excluded_until
            .lock()
            .is_some_and(|until| Instant::now() < until)
    }

    /// Returns the number of requests in flight.
    pub(crate) fn requests_in_flight(&self) -> usize {
        self.requests_in_flight.load(Ordering::Relaxed)
    }

    /// Records the start of a request.
    pub(crate) fn begin_request(&self) {
        self.requests_in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Records the end of a request.
    pub(crate) fn end_request(&self) {
        self.requests_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns how the loss of a connection was detected; `None` if either side closed it.
fn break_detection(reason: &ConnectionError) -> Option<BreakDetection> {
    match reason {
        ConnectionError::TimedOut => Some(BreakDetection::IdleTimeout),
        ConnectionError::Reset => Some(BreakDetection::StatelessReset),
        _ => None,
    }
}

/// Builds the QUIC client configuration. The initial destination connection id is the trace id.
fn client_config(
    tls: &Arc<quinn::crypto::rustls::QuicClientConfig>,
    trace_id: trace::Id,
) -> ClientConfig {
    let mut config = ClientConfig::new(Arc::clone(tls) as _);
    let mut transport = TransportConfig::default();
    let idle = quinn::VarInt::from_u32(IDLE_TIMEOUT_MILLISECONDS);
    transport.max_idle_timeout(Some(IdleTimeout::from(idle)));
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport.initial_rtt(INITIAL_RTT);
    config.transport_config(Arc::new(transport));
    config.initial_dst_cid_provider(Arc::new(move || ConnectionId::new(&trace_id.0)));
    config
}
