//! One QUIC endpoint for each service address.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lavenderseam_core::id::Tag;
use lavenderseam_wire::Key;
use parking_lot::RwLock;
use quinn::{Endpoint, EndpointConfig, IdleTimeout, ServerConfig, TokioRuntime, TransportConfig};

use crate::connection_id::Generator;
use crate::reset_key::ResetKey;
use crate::socket::Socket;
use crate::tls;
use crate::{Certificate, Egress};

/// Silence after which a connection counts as lost, in milliseconds.
const IDLE_TIMEOUT_MILLISECONDS: u32 = 5_000;
/// Time between keep-alives.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Requests that one connection may have open.
const STREAM_LIMIT: u32 = 256;
/// Bytes that one connection buffers for sending; a slow caller holds no more than this.
const SEND_WINDOW: u64 = 1024 * 1024;

/// Creates endpoints and delivers packets to them.
pub struct Endpoints {
    key: Key,
    owner: Tag,
    egress: Arc<Egress>,
    certificate: Certificate,
    open: RwLock<HashMap<SocketAddr, Open>>,
}

struct Open {
    socket: Arc<Socket>,
    endpoint: Endpoint,
}

/// Why an endpoint can't be opened.
#[derive(Debug)]
pub enum Error {
    /// The certificate can't be used.
    Tls(tls::Error),
    /// The transport can't start.
    Io(io::Error),
}

impl Endpoints {
    /// `key` is the shared key.
    #[must_use]
    pub fn new(key: &Key, owner: Tag, egress: Arc<Egress>, certificate: Certificate) -> Self {
        Self {
            key: key.clone(),
            owner,
            egress,
            certificate,
            open: RwLock::default(),
        }
    }

    /// The certificate's files.
    #[must_use]
    pub const fn certificate(&self) -> &Certificate {
        &self.certificate
    }

    /// Reads the certificate without using it.
    ///
    /// # Errors
    ///
    /// Fails if the certificate can't be used.
    pub fn check(&self) -> Result<(), Error> {
        self.certificate.load().map(|_| ()).map_err(Error::Tls)
    }

    /// Delivers a packet; false if there is no endpoint at the address or it is overrun.
    #[must_use]
    pub fn deliver(&self, service: SocketAddr, caller: SocketAddr, payload: &[u8]) -> bool {
        let open = self.open.read();
        open.get(&service)
            .is_some_and(|open| open.socket.deliver(caller, payload))
    }

    /// Whether there is an endpoint at the address.
    #[must_use]
    pub fn is_open(&self, service: SocketAddr) -> bool {
        self.open.read().contains_key(&service)
    }

    /// Opens the endpoint of a service address.
    ///
    /// # Errors
    ///
    /// Fails if the certificate can't be used or the transport can't start.
    pub fn open(&self, service: SocketAddr) -> Result<Endpoint, Error> {
        let server = server(&self.certificate).map_err(Error::Tls)?;
        let socket = Arc::new(Socket::new(service, Arc::clone(&self.egress)));
        let endpoint = Endpoint::new_with_abstract_socket(
            self.configuration(),
            Some(server),
            Arc::clone(&socket) as _,
            Arc::new(TokioRuntime),
        )
        .map_err(Error::Io)?;
        let open = Open {
            socket,
            endpoint: endpoint.clone(),
        };
        self.open.write().insert(service, open);
        Ok(endpoint)
    }

    /// Reads the certificate again; connections that are open keep theirs.
    ///
    /// # Errors
    ///
    /// Fails if the certificate can't be used.
    pub fn reload(&self) -> Result<(), Error> {
        let server = server(&self.certificate).map_err(Error::Tls)?;
        for open in self.open.read().values() {
            open.endpoint.set_server_config(Some(server.clone()));
        }
        Ok(())
    }

    /// Waits until the last packets of ended connections have been sent.
    pub async fn idle(&self) {
        let endpoints: Vec<Endpoint> = {
            let open = self.open.read();
            open.values().map(|open| open.endpoint.clone()).collect()
        };
        for endpoint in endpoints {
            endpoint.wait_idle().await;
        }
    }

    fn configuration(&self) -> EndpointConfig {
        let reset = ResetKey::new(self.key.derive("stateless reset"));
        let mut configuration = EndpointConfig::new(Arc::new(reset));
        let key = self.key.derive("connection ids");
        let owner = self.owner;
        configuration.cid_generator(move || Box::new(Generator::new(key.clone(), owner)));
        // A restarted agent resets all connections of its earlier run at once; each reset is
        // smaller than the packet that caused it, so there is nothing to amplify.
        configuration.min_reset_interval(Duration::ZERO);
        configuration
    }
}

fn server(certificate: &Certificate) -> Result<ServerConfig, tls::Error> {
    let mut server = ServerConfig::with_crypto(Arc::new(certificate.load()?));
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::from(quinn::VarInt::from_u32(
        IDLE_TIMEOUT_MILLISECONDS,
    ))));
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    transport.max_concurrent_bidi_streams(STREAM_LIMIT.into());
    transport.send_window(SEND_WINDOW);
    server.transport_config(Arc::new(transport));
    Ok(server)
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
