//! One caller's connection, from its handshake to its end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{FuturesUnordered, StreamExt};
use h3::error::Code;
use h3::quic::SendStream;
use h3::server::RequestResolver;
use lavenderseam_quic::{self as quic, Watch};
use parking_lot::Mutex;
use quinn::{Endpoint, Incoming, VarInt};
use tokio::time::sleep_until;

use super::{Server, Stage, request};

/// Code that connections end with when the failure domain is out.
const DOMAIN_OUT: VarInt = VarInt::from_u32(0x4c53_0001);
/// Code that connections end with when all is done.
const NO_ERROR: VarInt = VarInt::from_u32(0x100);
/// Time that callers are given to see that no more requests are taken before a connection ends.
const FAREWELL: Duration = Duration::from_millis(200);
/// Requests beyond the last one seen that a caller may still have sent; none of them is run.
const REQUESTS_AHEAD: usize = 1;

type Resolver = RequestResolver<quic::Connection, Bytes>;

/// Accepts the connections of one service address.
pub(crate) async fn serve(server: Arc<Server>, endpoint: Endpoint, service: SocketAddr) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(connect(Arc::clone(&server), incoming, service));
    }
}

async fn connect(server: Arc<Server>, incoming: Incoming, service: SocketAddr) {
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
    let key = server.flows.key(caller, service, &trace);
    let Ok(connection) = connecting.await else {
        server.flows.yielded(key);
        return;
    };
    server.log.debug(format_args!(
        "trace={trace} hop=agent connection from {caller} to {service} is open"
    ));
    let flow = server.flows.established(key);
    let served = Served {
        server: Arc::clone(&server),
        connection: connection.clone(),
    };
    served.run().await;
    let reason = connection.closed().await;
    drop(flow);
    server.log.debug(format_args!(
        "trace={trace} hop=agent connection from {caller} to {service} has ended: {reason}"
    ));
}

struct Served {
    server: Arc<Server>,
    connection: quinn::Connection,
}

impl Served {
    /// Serves requests until the connection ends.
    async fn run(self) {
        let transport = quic::Connection::new(self.connection.clone());
        let latest = transport.latest();
        let Ok(mut http) = h3::server::Connection::new(transport).await else {
            return;
        };
        let mut stage = self.server.stage.subscribe();
        let mut requests = FuturesUnordered::new();
        let mut leaving = false;
        loop {
            let idle = requests.is_empty();
            let present = *stage.borrow_and_update();
            if present != Stage::Serving && !leaving {
                leaving = true;
                if http.shutdown(REQUESTS_AHEAD).await.is_err() {
                    return;
                }
            }
            tokio::select! {
                accepted = http.accept() => match accepted {
                    Ok(Some(resolver)) if leaving => reject(resolver),
                    Ok(Some(resolver)) => requests.push(self.start(resolver, &latest)),
                    Ok(None) | Err(_) => return,
                },
                Some(_) = requests.next() => {}
                _ = stage.changed() => {}
                () = ended(present, idle) => {
                    self.close(present).await;
                    return;
                }
            }
        }
    }

    /// Runs a request in a task of its own; ends when its answer has arrived.
    fn start(
        &self,
        resolver: Resolver,
        latest: &Mutex<Option<Watch>>,
    ) -> tokio::task::JoinHandle<()> {
        let watch = latest.lock().take();
        let server = Arc::clone(&self.server);
        tokio::spawn(async move {
            if let Some(watch) = watch {
                request::serve(server, resolver, watch).await;
            }
        })
    }

    async fn close(&self, stage: Stage) {
        let code = if stage == Stage::Out {
            tokio::time::sleep(FAREWELL).await;
            DOMAIN_OUT
        } else {
            NO_ERROR
        };
        self.connection.close(code, b"");
    }
}

/// Resolves when a connection at a stage has to end.
async fn ended(stage: Stage, idle: bool) {
    match stage {
        Stage::Serving => std::future::pending().await,
        Stage::Draining(_) if idle => tokio::time::sleep(FAREWELL).await,
        Stage::Draining(until) => sleep_until(until).await,
        Stage::Out => {}
    }
}

/// Rejects a request that came after the farewell; the caller knows that it wasn't run.
fn reject(mut resolver: Resolver) {
    let code = Code::H3_REQUEST_REJECTED.value();
    resolver.frame_stream.reset(code);
}
