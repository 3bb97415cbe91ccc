//! One connection to the service: a flow of its own.

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

use crate::statistics::{Broken, Found, Statistics};
use crate::{Failure, Settings};

/// Silence after which a connection counts as lost, in milliseconds.
const IDLE_TIMEOUT_MILLISECONDS: u32 = 5_000;
/// Time between keep-alives.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Round-trip time assumed before one is measured; bounds how long a lost opener costs.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(50);
/// Time in which a connection must be open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends requests on a connection.
pub(crate) type Sender = h3::client::SendRequest<OpenStreams, Bytes>;

/// One connection to the service.
pub(crate) struct Link {
    connection: quinn::Connection,
    sender: Sender,
    trace: trace::Id,
    leaving: AtomicBool,
    busy: AtomicUsize,
    avoid_until: Mutex<Option<Instant>>,
}

impl Link {
    /// Opens a connection from a port of its own.
    pub(crate) async fn open(
        settings: &Settings,
        tls: &Arc<quinn::crypto::rustls::QuicClientConfig>,
        statistics: &Arc<Mutex<Statistics>>,
    ) -> Result<Self, Failure> {
        let opened = Self::connect(settings, tls, statistics);
        let result = tokio::time::timeout(CONNECT_TIMEOUT, opened).await;
        let link = result.unwrap_or(Err(Failure::Connect));
        let mut statistics = statistics.lock();
        match &link {
            Ok(_) => statistics.opened += 1,
            Err(_) => statistics.failed += 1,
        }
        link
    }

    async fn connect(
        settings: &Settings,
        tls: &Arc<quinn::crypto::rustls::QuicClientConfig>,
        statistics: &Arc<Mutex<Statistics>>,
    ) -> Result<Self, Failure> {
        let failed = |_| Failure::Connect;
        let trace = trace::Id(rand::random());
        let local = SocketAddr::new(settings.local, 0);
        let endpoint = Endpoint::client(local).map_err(|_| Failure::Connect)?;
        let local = endpoint.local_addr().map_err(|_| Failure::Connect)?;
        let connection = endpoint
            .connect_with(
                configuration(tls, trace),
                settings.service,
                &settings.server_name,
            )
            .map_err(|_| Failure::Connect)?
            .await
            .map_err(failed)?;
        let transport = h3_quinn::Connection::new(connection.clone());
        let (mut driver, sender) = h3::client::new(transport)
            .await
            .map_err(|_| Failure::Connect)?;
        tokio::spawn(async move { driver.wait_idle().await });
        let watched = connection.clone();
        let statistics = Arc::clone(statistics);
        tokio::spawn(async move {
            let reason = watched.closed().await;
            if let Some(found) = found(&reason) {
                statistics.lock().broken.push(Broken { local, found });
            }
        });
        Ok(Self {
            connection,
            sender,
            trace,
            leaving: AtomicBool::new(false),
            busy: AtomicUsize::new(0),
            avoid_until: Mutex::new(None),
        })
    }

    /// A handle for one request.
    pub(crate) fn sender(&self) -> Sender {
        self.sender.clone()
    }

    /// Identity of the flow's trace.
    pub(crate) fn trace(&self) -> trace::Id {
        self.trace
    }

    /// Whether new requests may be sent on it.
    pub(crate) fn is_open(&self) -> bool {
        !self.leaving.load(Ordering::Relaxed) && self.connection.close_reason().is_none()
    }

    /// Notes that the agent takes no more requests on it.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Notes that the agent refuses requests for a time.
    pub(crate) fn avoid(&self, time: Duration) {
        *self.avoid_until.lock() = Some(Instant::now() + time);
    }

    /// Whether the agent has said that it refuses requests now.
    pub(crate) fn is_avoided(&self) -> bool {
        self.avoid_until
            .lock()
            .is_some_and(|until| Instant::now() < until)
    }

    /// Requests that are running on it.
    pub(crate) fn busy(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }

    pub(crate) fn begin(&self) {
        self.busy.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end(&self) {
        self.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

/// How a break was found; none if a side ended the connection.
fn found(reason: &ConnectionError) -> Option<Found> {
    match reason {
        ConnectionError::TimedOut => Some(Found::Silence),
        ConnectionError::Reset => Some(Found::Reset),
        _ => None,
    }
}

fn configuration(
    tls: &Arc<quinn::crypto::rustls::QuicClientConfig>,
    trace: trace::Id,
) -> ClientConfig {
    let mut configuration = ClientConfig::new(Arc::clone(tls) as _);
    let mut transport = TransportConfig::default();
    let idle = quinn::VarInt::from_u32(IDLE_TIMEOUT_MILLISECONDS);
    transport.max_idle_timeout(Some(IdleTimeout::from(idle)));
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    transport.initial_rtt(INITIAL_ROUND_TRIP);
    configuration.transport_config(Arc::new(transport));
    configuration.initial_dst_cid_provider(Arc::new(move || ConnectionId::new(&trace.0)));
    configuration
}
