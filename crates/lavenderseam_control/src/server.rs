//! RPC server through which peers push and pull records; also serves the methods of other plugins.

use std::net::TcpListener;
use std::sync::Arc;

use jsonrpsee::server::{Server, ServerConfig};
use jsonrpsee::{Methods as RpcMethods, RpcModule};
use lavenderseam_app::Shutdown;
use lavenderseam_core::relay::{Event, Pull, Push};
use lavenderseam_platform::Store;

use crate::control_state::ControlState;
use crate::rpc::{self, MAX_MESSAGE_BYTES};
use crate::{MethodRegistry, status};

/// RPC method that receives records from a peer.
pub(crate) const PUSH_METHOD: &str = "push_records";
/// RPC method that returns records to a peer.
pub(crate) const PULL_METHOD: &str = "pull_records";
/// Maximum number of concurrent connections to the RPC server.
const MAX_CONNECTIONS: u32 = 1024;

/// Serves RPC calls until the app stops.
pub(crate) async fn run<S: Store>(
    control: Arc<ControlState<S>>,
    listener: TcpListener,
    methods: Arc<MethodRegistry>,
    mut shutdown: Shutdown,
) {
    let log = control.log;
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .build();
    let server = match Server::builder()
        .set_config(config)
        .build_from_tcp(listener)
    {
        Ok(server) => server,
        Err(error) => return log.error(format_args!("can't serve RPC calls: {error}")),
    };
    let merged = match control_module(control) {
        Ok(module) => merge_methods(module, &methods, log),
        Err(error) => return log.error(format_args!("can't register RPC methods: {error}")),
    };
    let handle = server.start(merged);
    shutdown.wait_for_terminating().await;
    let _ = handle.stop();
}

/// Returns the RPC methods of the control plane itself.
fn control_module<S: Store>(
    control: Arc<ControlState<S>>,
) -> Result<RpcModule<Arc<ControlState<S>>>, rpc::Error> {
    let key = control.identity.shared_key.clone();
    let mut module = RpcModule::new(control);
    rpc::register_method(
        &mut module,
        &key,
        PUSH_METHOD,
        |control, push: Push| async move {
            control.handle_event(Event::PushReceived(push));
            true
        },
    )?;
    rpc::register_method(
        &mut module,
        &key,
        PULL_METHOD,
        |control, pull: Pull| async move { control.answer_pull(&pull) },
    )?;
    status::register_status(&mut module)?;
    Ok(module)
}

/// Returns the methods of the control plane together with those that plugins registered.
fn merge_methods<C>(
    module: RpcModule<C>,
    methods: &MethodRegistry,
    log: lavenderseam_telemetry::Log,
) -> RpcMethods {
    let mut merged = RpcMethods::from(module);
    for plugin_methods in methods.take_modules() {
        if let Err(error) = merged.merge(plugin_methods) {
            log.error(format_args!(
                "dropped the RPC methods of a plugin, one is registered twice: {error}"
            ));
        }
    }
    merged
}
