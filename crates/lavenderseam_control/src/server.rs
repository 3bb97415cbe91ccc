//! The remote methods of the control plane.

use std::net::TcpListener;
use std::sync::Arc;

use jsonrpsee::server::{Server, ServerConfig};
use jsonrpsee::{Methods as Registered, RpcModule};
use lavenderseam_app::Shutdown;
use lavenderseam_core::relay::{Event, Pull, Push};
use lavenderseam_platform::Store;

use crate::remote::{self, MESSAGE_LIMIT};
use crate::shared::Shared;
use crate::{Methods, status};

/// Method that takes records.
pub(crate) const PUSH: &str = "push_records";
/// Method that hands out records.
pub(crate) const PULL: &str = "pull_records";
/// Connections for remote calls that are served at a time.
const CONNECTION_LIMIT: u32 = 1024;

/// Serves remote calls until the app halts.
pub(crate) async fn run<S: Store>(
    shared: Arc<Shared<S>>,
    listener: TcpListener,
    methods: Arc<Methods>,
    mut shutdown: Shutdown,
) {
    let log = shared.log;
    let config = ServerConfig::builder()
        .max_connections(CONNECTION_LIMIT)
        .max_request_body_size(MESSAGE_LIMIT)
        .max_response_body_size(MESSAGE_LIMIT)
        .build();
    let server = match Server::builder()
        .set_config(config)
        .build_from_tcp(listener)
    {
        Ok(server) => server,
        Err(error) => return log.error(format_args!("can't serve remote calls: {error}")),
    };
    let offered = match module(shared) {
        Ok(module) => merged(module, &methods, log),
        Err(error) => return log.error(format_args!("can't offer remote methods: {error}")),
    };
    let handle = server.start(offered);
    shutdown.halted().await;
    let _ = handle.stop();
}

fn module<S: Store>(shared: Arc<Shared<S>>) -> Result<RpcModule<Arc<Shared<S>>>, remote::Error> {
    let key = shared.identity.key.clone();
    let mut module = RpcModule::new(shared);
    remote::offer(&mut module, &key, PUSH, |shared, push: Push| async move {
        shared.handle(Event::Pushed(push));
        true
    })?;
    remote::offer(&mut module, &key, PULL, |shared, pull: Pull| async move {
        shared.answer(&pull)
    })?;
    status::register(&mut module)?;
    Ok(module)
}

/// Adds what other plugins offer.
fn merged<C>(
    module: RpcModule<C>,
    methods: &Methods,
    log: lavenderseam_telemetry::Log,
) -> Registered {
    let mut offered = Registered::from(module);
    for other in methods.take() {
        if let Err(error) = offered.merge(other) {
            log.error(format_args!("a remote method is registered twice: {error}"));
        }
    }
    offered
}
