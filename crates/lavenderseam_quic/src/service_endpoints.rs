//! The QUIC endpoints of an agent, one for each service address.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lavenderseam_core::id::Tag;
use lavenderseam_wire::SymmetricKey;
use parking_lot::RwLock;
use quinn::{Endpoint, EndpointConfig, IdleTimeout, ServerConfig, TokioRuntime, TransportConfig};

use crate::connection_id::OwnerIdGenerator;
use crate::reset_key::ResetKey;
use crate::service_socket::ServiceSocket;
use crate::tls;
use crate::{CertificateFiles, FabricSender};

/// Idle time after which a connection is closed as lost, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 5_000;
/// Interval of keep-alive packets.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of concurrent requests on one connection.
const CONCURRENT_REQUESTS_LIMIT: u32 = 256;
/// Maximum unacknowledged data of one connection, in bytes; limits the memory that a slow caller
/// occupies.
const SEND_WINDOW_BYTES: u64 = 1024 * 1024;

/// Opens the QUIC endpoints of service addresses and delivers packets to them.
pub struct ServiceEndpoints {
    key: SymmetricKey,
    owner: Tag,
    sender: Arc<FabricSender>,
    cert: CertificateFiles,
    open_endpoints: RwLock<HashMap<SocketAddr, OpenEndpoint>>,
}

/// An open endpoint with the socket that feeds it.
struct OpenEndpoint {
    socket: Arc<ServiceSocket>,
    endpoint: Endpoint,
}

/// Why an endpoint can't be opened.
#[derive(Debug)]
pub enum Error {
    /// The certificate files can't be loaded.
    Tls(tls::Error),
    /// The endpoint can't be created.
    Io(io::Error),
}

impl ServiceEndpoints {
    /// Creates an empty set of endpoints for a target; `key` is the shared key.
    #[must_use]
    pub fn new(
        key: &SymmetricKey,
        owner: Tag,
        sender: Arc<FabricSender>,
        cert: CertificateFiles,
    ) -> Self {
        Self {
            key: key.clone(),
            owner,
            sender,
            cert,
            open_endpoints: RwLock::default(),
        }
    }

    /// Returns the paths of the certificate files.
    #[must_use]
    pub const fn certificate(&self) -> &CertificateFiles {
        &self.cert
    }

    /// Checks that the certificate files can be loaded.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Tls`] if the certificate files can't be loaded.
    pub fn check_certificate(&self) -> Result<(), Error> {
        self.cert.load().map(|_| ()).map_err(Error::Tls)
    }

    /// Delivers a packet; `false` if the service has no endpoint or its receive queue is full.
    #[must_use]
    pub fn deliver(&self, service: SocketAddr, caller: SocketAddr, payload: &[u8]) -> bool {
        let open = self.open_endpoints.read();
        open.get(&service)
            .is_some_and(|open| open.socket.enqueue(caller, payload))
    }

    /// Returns `true` if the service address has an endpoint.
    #[must_use]
    pub fn is_open(&self, service: SocketAddr) -> bool {
        self.open_endpoints.read().contains_key(&service)
    }

    /// Opens the endpoint of a service address.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the certificate files can't be loaded or the endpoint can't be
    /// created.
    pub fn open(&self, service: SocketAddr) -> Result<Endpoint, Error> {
        let server_config = server_config(&self.cert).map_err(Error::Tls)?;
        let socket = Arc::new(ServiceSocket::new(service, Arc::clone(&self.sender)));
        let endpoint = Endpoint::new_with_abstract_socket(
            self.endpoint_config(),
            Some(server_config),
            Arc::clone(&socket) as _,
            Arc::new(TokioRuntime),
        )
        .map_err(Error::Io)?;
        let open = OpenEndpoint {
            socket,
            endpoint: endpoint.clone(),
        };
        self.open_endpoints.write().insert(service, open);
        Ok(endpoint)
    }

    /// Reloads the certificate for new connections; open connections keep theirs.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Tls`] if the certificate files can't be loaded.
    pub fn reload_certificate(&self) -> Result<(), Error> {
        let server_config = server_config(&self.cert).map_err(Error::Tls)?;
        for open in self.open_endpoints.read().values() {
            open.endpoint.set_server_config(Some(server_config.clone()));
        }
        Ok(())
    }

    /// Waits until all closed connections have sent their last packets.
    pub async fn wait_idle(&self) {
        let endpoints: Vec<Endpoint> = {
            let open = self.open_endpoints.read();
            open.values().map(|open| open.endpoint.clone()).collect()
        };
        for endpoint in endpoints {
            endpoint.wait_idle().await;
        }
    }

    /// Configures connection ids that name the owner, and stateless resets.
    fn endpoint_config(&self) -> EndpointConfig {
        let reset_key = ResetKey::new(self.key.derive("stateless reset"));
        let mut config = EndpointConfig::new(Arc::new(reset_key));
        let key = self.key.derive("connection ids");
        let owner = self.owner;
        config.cid_generator(move || Box::new(OwnerIdGenerator::new(key.clone(), owner)));
        // A restarted agent resets all connections of its previous run at once, so resets aren't
        // rate-limited. Each is smaller than the packet that triggers it, so it can't be used for
        // amplification.
        config.min_reset_interval(Duration::ZERO);
        config
    }
}

/// Configures TLS and the transport limits of accepted connections.
fn server_config(cert: &CertificateFiles) -> Result<ServerConfig, tls::Error> {
    let mut server_config = ServerConfig::with_crypto(Arc::new(cert.load()?));
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::from(quinn::VarInt::from_u32(
        IDLE_TIMEOUT_MS,
    ))));
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport.max_concurrent_bidi_streams(CONCURRENT_REQUESTS_LIMIT.into());
    transport.send_window(SEND_WINDOW_BYTES);
    server_config.transport_config(Arc::new(transport));
    Ok(server_config)
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tls(error) => error.fmt(formatter),
            Self::Io(error) => error.fmt(formatter),
        }
    }
}

impl std::error::Error for Error {}
