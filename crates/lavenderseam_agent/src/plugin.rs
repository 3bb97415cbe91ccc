//! Plugin that assembles the agent.

use std::net::SocketAddr;
use std::sync::Arc;

use lavenderseam_app::{App, Error, Plugin};
use lavenderseam_control::{
    AnnouncedPhase, CurrentView, ForwardingGate, Identity, MethodRegistry, RpcClient,
};
use lavenderseam_core::admission::Capacity;
use lavenderseam_core::flow::Owner;
use lavenderseam_core::id::Tag;
use lavenderseam_core::record::Slots;
use lavenderseam_quic::{CertificateFiles, FabricSender, ServiceEndpoints};
use lavenderseam_telemetry::{Log, Metrics};
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::Settings;
use crate::backend_client::BackendClient;
use crate::backend_prober::BackendProber;
use crate::certificate_reload;
use crate::clock::Clock;
use crate::concurrency_limiter::ConcurrencyLimiter;
use crate::drain_controller::DrainController;
use crate::flow_table::FlowTable;
use crate::idempotency_store::IdempotencyStore;
use crate::outcome_rpc::{self, OutcomeClient};
use crate::peer_socket::PeerSocket;
use crate::server::{DrainState, Server};

/// Component name in errors and log lines.
const COMPONENT: &str = "agent";
/// Requested kernel receive buffer of the peer socket, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024 * 1024;
/// Slots, cold slots and connections that apply until the group's record arrives.
const INITIAL_BOUNDS: (Slots, Slots, u32) = (Slots(1), Slots(1), 1);

/// The agent: terminates callers' QUIC connections and forwards their requests to the backend
/// server within its concurrency limit.
///
/// Requires the resources of the control plane.
pub struct AgentPlugin {
    settings: Settings,
}

impl AgentPlugin {
    /// Creates the plugin from the agent's settings.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self { settings }
    }

    fn certificate_files(&self) -> CertificateFiles {
        CertificateFiles {
            chain: self.settings.certificate_file.clone(),
            private_key: self.settings.private_key_file.clone(),
        }
    }
}

impl Plugin for AgentPlugin {
    fn build(&self, app: &mut App) -> Result<(), Error> {
        let identity = app.resource::<Identity>()?;
        let current_view = app.resource::<CurrentView>()?;
        let target = Tag::new(&self.settings.name);
        let clock = Clock::new();
        let (slots, cold_slots, connections) = INITIAL_BOUNDS;
        let capacity = Capacity::new(slots, cold_slots, connections);
        let limiter = Arc::new(ConcurrencyLimiter::new(
            capacity,
            clock,
            Log::new(COMPONENT),
        ));
        let idempotency = Arc::new(IdempotencyStore::new(identity.incarnation, target, clock));
        let owner = Owner::new(target, self.settings.group.clone(), identity.domain.clone());
        let flows = FlowTable::new(
            owner,
            identity.shared_key.flow_hash_seed(),
            Arc::clone(&limiter),
            clock,
            app.shutdown(),
        );
        let server = Arc::new(Server {
            backend: BackendClient::new(self.settings.backend),
            limiter: Arc::clone(&limiter),
            idempotency: Arc::clone(&idempotency),
            outcome_client: OutcomeClient::new(
                app.resource::<RpcClient>()?,
                Arc::clone(&current_view),
            ),
            flows: Arc::new(flows),
            drain_state: watch::Sender::new(DrainState::Serving),
            metrics: app.resource::<Metrics>()?,
            log: Log::new(COMPONENT),
        });
        let egress = FabricSender::new(self.settings.egress, identity.peer_address.ip())
            .map_err(plugin_error)?;
        let endpoints = Arc::new(ServiceEndpoints::new(
            &identity.shared_key,
            target,
            Arc::new(egress),
            self.certificate_files(),
        ));
        endpoints.check_certificate().map_err(plugin_error)?;
        let methods = app.resource::<MethodRegistry>()?;
        methods.register(
            outcome_rpc::rpc_module(&identity.shared_key, idempotency).map_err(plugin_error)?,
        );
        let peer = PeerSocket {
            socket: bind_peer_socket(identity.peer_address).map_err(plugin_error)?,
            key: identity.shared_key.derive("frames"),
            target,
            incarnation: identity.incarnation,
            current_view: Arc::clone(&current_view),
            forwarding_gate: app.resource::<ForwardingGate>()?,
            endpoints: Arc::clone(&endpoints),
            server: Arc::clone(&server),
        };
        let drain_controller = DrainController {
            target,
            group: self.settings.group.clone(),
            domain: identity.domain.clone(),
            current_view,
            announcement: app.resource::<AnnouncedPhase>()?,
            endpoints: Arc::clone(&endpoints),
            server: Arc::clone(&server),
        };
        let prober =
            BackendProber::new(self.settings.backend, limiter, Arc::clone(&server.metrics));
        spawn_tasks(app, peer, drain_controller, prober, endpoints);
        Ok(())
    }
}

/// Spawns the agent's tasks, which run until the app is halted.
fn spawn_tasks(
    app: &mut App,
    peer: PeerSocket,
    drain_controller: DrainController,
    prober: BackendProber,
    endpoints: Arc<ServiceEndpoints>,
) {
    let mut shutdown = app.shutdown();
    app.add_task("agent peer socket", async move {
        tokio::select! {
            () = peer.run() => {}
            () = shutdown.wait_for_terminating() => {}
        }
    });
    let shutdown = app.shutdown();
    app.add_task("agent drain controller", drain_controller.run(shutdown));
    let mut shutdown = app.shutdown();
    app.add_task("backend server probe", async move {
        tokio::select! {
            () = prober.run() => {}
            () = shutdown.wait_for_terminating() => {}
        }
    });
    let mut shutdown = app.shutdown();
    app.add_task("certificate reload", async move {
        tokio::select! {
            () = certificate_reload::reload_on_change(&endpoints) => {}
            () = shutdown.wait_for_terminating() => {}
        }
    });
}

/// Binds the UDP socket for frames from balancers and other agents.
fn bind_peer_socket(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::DGRAM,
        None,
    )?;
    // The kernel may grant a smaller buffer than requested.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}

fn plugin_error(cause: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> Error {
    Error::plugin(COMPONENT, cause)
}
