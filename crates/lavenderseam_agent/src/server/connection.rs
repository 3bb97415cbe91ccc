//! Serves one caller's connection from the handshake to its close.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{FuturesUnordered, StreamExt};
use h3::error::Code;
use h3::quic::SendStream;
use h3::server::RequestResolver;
use lavenderseam_quic::{self as quic, Stopped};
use parking_lot::Mutex;
use quinn::{Endpoint, Incoming, VarInt};
use tokio::time::sleep_until;

use super::{DrainState, Server, request};

/// Application error code of connections that close because the failure domain is out.
const DOMAIN_OUT_CODE: VarInt = VarInt::from_u32(0x4c53_0001);
/// HTTP/3 code `H3_NO_ERROR`, for connections that close after all requests have ended.
const NO_ERROR_CODE: VarInt = VarInt::from_u32(0x100);
/// Time between the GOAWAY frame and the close, in which callers receive the frame and stop
/// sending requests.
const GOAWAY_GRACE: Duration = Duration::from_millis(200);
/// Requests beyond the last accepted one that the GOAWAY frame still allows, because the caller may
/// have sent them already. They are rejected, never run.
const GOAWAY_REQUEST_ALLOWANCE: usize = 1;

type Resolver = RequestResolver<quic::Connection, Bytes>;

/// Accepts connections to one service address.
pub(crate) async fn accept_incoming(server: Arc<Server>, endpoint: Endpoint, service: SocketAddr) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(serve_connection(Arc::clone(&server), incoming, service));
    }
}

/// Completes the handshake of a connection, or refuses it, and serves it until it closes.
async fn serve_connection(server: Arc<Server>, incoming: Incoming, service: SocketAddr) {
    let caller = incoming.remote_address();
    let trace = incoming.orig_dst_cid();
    if server.flows.take_refused(caller, service) {
        server.metrics.count("connections.refused", 1);
        incoming.refuse();
        return;
    }
    let Ok(connecting) = incoming.accept() else {
        return;
    };
    let key = server.flows.flow_key(caller, service, &trace);
    let Ok(connection) = connecting.await else {
        server.flows.release_unestablished(key);
        return;
    };
    server.log.debug(format_args!(
        "trace={trace} hop=agent connection from {caller} to {service} is established"
    ));
    let established = server.flows.register_established(key);
    let handler = ConnectionHandler {
        server: Arc::clone(&server),
        connection: connection.clone(),
    };
    handler.serve_requests().await;
    let reason = connection.closed().await;
    drop(established);
    server.log.debug(format_args!(
        "trace={trace} hop=agent connection from {caller} to {service} has ended: {reason}"
    ));
}

/// An established connection with the state that all connections share.
struct ConnectionHandler {
    server: Arc<Server>,
    connection: quinn::Connection,
}

impl ConnectionHandler {
    /// Serves requests until the connection closes.
    async fn serve_requests(self) {
        let transport = quic::Connection::new(self.connection.clone());
        let latest_stopped = transport.latest_stopped();
        let Ok(mut http) = h3::server::Connection::new(transport).await else {
            return;
        };
        let mut state = self.server.drain_state.subscribe();
        let mut requests = FuturesUnordered::new();
        let mut goaway_sent = false;
        loop {
            let no_requests = requests.is_empty();
            let current = *state.borrow_and_update();
            if current != DrainState::Serving && !goaway_sent {
                goaway_sent = true;
                if http.shutdown(GOAWAY_REQUEST_ALLOWANCE).await.is_err() {
                    return;
                }
            }
            tokio::select! {
                accepted = http.accept() => match accepted {
                    Ok(Some(resolver)) if goaway_sent => reject_request(resolver),
                    Ok(Some(resolver)) => requests.push(self.spawn_request(resolver, &latest_stopped)),
                    Ok(None) | Err(_) => return,
                },
                Some(_) = requests.next() => {}
                _ = state.changed() => {}
                () = close_due(current, no_requests) => {
                    self.close(current).await;
                    return;
                }
            }
        }
    }

    /// Spawns a task that serves one request; it ends when the caller has received the response.
    fn spawn_request(
        &self,
        resolver: Resolver,
        latest_stopped: &Mutex<Option<Stopped>>,
    ) -> tokio::task::JoinHandle<()> {
        let stopped = latest_stopped.lock().take();
        let server = Arc::clone(&self.server);
        tokio::spawn(async move {
            if let Some(stopped) = stopped {
                request::serve(server, resolver, stopped).await;
            }
        })
    }

    /// Closes the connection with the code of the drain state.
    async fn close(&self, state: DrainState) {
        let code = if state == DrainState::DomainOut {
            tokio::time::sleep(GOAWAY_GRACE).await;
            DOMAIN_OUT_CODE
        } else {
            NO_ERROR_CODE
        };
        self.connection.close(code, b"");
    }
}

/// Resolves when a connection has to close in the given state.
async fn close_due(state: DrainState, no_requests: bool) {
    match state {
        DrainState::Serving => std::future::pending().await,
        DrainState::Draining(_) if no_requests => tokio::time::sleep(GOAWAY_GRACE).await,
        DrainState::Draining(deadline) => sleep_until(deadline).await,
        DrainState::DomainOut => {}
    }
}

/// Rejects a request that arrived after the GOAWAY frame; the error code shows the caller that it
/// wasn't run.
fn reject_request(mut resolver: Resolver) {
    let code = Code::H3_REQUEST_REJECTED.value();
    resolver.frame_stream.reset(code);
}
