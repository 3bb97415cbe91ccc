//! Pool of the connections of a caller.

use std::sync::Arc;

use parking_lot::Mutex;

use crate::connection::Connection;
use crate::statistics::Statistics;
use crate::{Failure, Settings};

/// Pool of connections to one service.
pub(crate) struct ConnectionPool {
    settings: Settings,
    tls: Arc<quinn::crypto::rustls::QuicClientConfig>,
    connections: Mutex<Vec<Arc<Connection>>>,
    statistics: Arc<Mutex<Statistics>>,
}

/// Connection in use by a request; counts the request as in flight until it is dropped.
pub(crate) struct ConnectionGuard(Arc<Connection>);

impl ConnectionPool {
    pub(crate) fn new(
        settings: Settings,
        tls: Arc<quinn::crypto::rustls::QuicClientConfig>,
        statistics: Arc<Mutex<Statistics>>,
    ) -> Self {
        Self {
            settings,
            tls,
            connections: Mutex::default(),
            statistics,
        }
    }

    /// Returns a connection for a request: the one with the fewest requests in flight that is not
    /// excluded, or a new one.
    pub(crate) async fn acquire(&self) -> Result<ConnectionGuard, Failure> {
        if let Some(connection) = self.select() {
            return Ok(ConnectionGuard::new(connection));
        }
        let connection = Connection::open(&self.settings, &self.tls, &self.statistics).await?;
        let connection = Arc::new(connection);
        self.connections.lock().push(Arc::clone(&connection));
        Ok(ConnectionGuard::new(connection))
    }

    /// Selects an existing connection; returns `None` if a new one is to be opened.
    fn select(&self) -> Option<Arc<Connection>> {
        let mut connections = self.connections.lock();
        connections.retain(|connection| connection.is_open());
        let available = connections
            .iter()
            .filter(|connection| !connection.is_excluded());
        if let Some(connection) = available.min_by_key(|connection| connection.requests_in_flight())
        {
            return Some(Arc::clone(connection));
        }
        if connections.len() < self.settings.max_connections {
            return None;
        }
        // The agents of all connections refuse requests. An unused connection is replaced, because
        // a new one may reach another agent.
        if let Some(unused) = connections
            .iter()
            .position(|connection| connection.requests_in_flight() == 0)
        {
            connections.swap_remove(unused);
            return None;
        }
        connections
            .iter()
            .min_by_key(|connection| connection.requests_in_flight())
            .map(Arc::clone)
    }
}

impl ConnectionGuard {
    fn new(connection: Arc<Connection>) -> Self {
        connection.begin_request();
        Self(connection)
    }

    pub(crate) fn connection(&self) -> &Connection {
        &self.0
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.end_request();
    }
}
