//! Plugin that starts the tasks of the control plane.

use std::fs;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use lavenderseam_app::{App, Error, Plugin, Shutdown};
use lavenderseam_core::id::Incarnation;
use lavenderseam_core::record::{Id, Kind};
use lavenderseam_core::relay::{Event, Member, MemberId, Node};
use lavenderseam_platform::{Client, Store};
use lavenderseam_telemetry::{Log, Metrics};
use lavenderseam_wire::SymmetricKey;
use parking_lot::Mutex;
use rand::TryRng;
use rand::rngs::SysRng;
use tokio::sync::{Notify, mpsc};

use crate::clock::Clock;
use crate::control_state::{ControlState, RelayState};
use crate::{
    AnnouncedPhase, CurrentView, ForwardingGate, Identity, MethodRegistry, ProbeReplies, Role,
    RpcClient, Settings,
};
use crate::{probe, registration, server, view_publisher};

/// Name of this plugin in log lines and startup errors.
const COMPONENT: &str = "control";
/// Interval between ticks of the relay, which also renew the gate.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Adds the control plane to a daemon; must be its first plugin.
///
/// It replicates the records, serves RPC calls and registers the process in the store. On a
/// balancer, it also sends health probes to targets.
pub struct ControlPlugin<S = Client> {
    settings: Settings,
    role: Role,
    metrics: Metrics,
    store: S,
}

impl ControlPlugin {
    /// Creates the plugin with a client of the object API as its store, and with metrics disabled.
    #[must_use]
    pub fn new(settings: Settings, role: Role) -> Self {
        Self {
            store: Client::new(settings.store),
            settings,
            role,
            metrics: Metrics::disabled("lavenderseam"),
        }
    }
}

impl<S> ControlPlugin<S> {
    /// Replaces the client of the platform's HTTP API by another store.
    #[must_use]
    pub fn with_store<T>(self, store: T) -> ControlPlugin<T> {
        ControlPlugin {
            settings: self.settings,
            role: self.role,
            metrics: self.metrics,
            store,
        }
    }

    /// Sets the metrics that all plugins record to. Without this, metrics are discarded.
    #[must_use]
    pub fn with_metrics(mut self, metrics: Metrics) -> Self {
        self.metrics = metrics;
        self
    }

    /// Reads the key file and draws the incarnation of this run.
    fn load_identity(&self) -> Result<Identity, Error> {
        let text = fs::read_to_string(&self.settings.key_file)
            .map_err(|cause| Error::plugin(COMPONENT, cause))?;
        let key: SymmetricKey = text
            .parse()
            .map_err(|cause| Error::plugin(COMPONENT, cause))?;
        let incarnation = SysRng
            .try_next_u64()
            .map_err(|cause| Error::plugin(COMPONENT, cause))?;
        Ok(Identity {
            role: self.role.clone(),
            domain: self.settings.domain.clone(),
            region: self.settings.region.clone(),
            peer_address: self.settings.peer,
            rpc_address: self.settings.rpc,
            incarnation: Incarnation(incarnation),
            shared_key: key,
        })
    }

    /// Opens the listening socket for RPC calls.
    fn bind_rpc_listener(&self) -> Result<TcpListener, Error> {
        let bind = || {
            let listener = TcpListener::bind(self.settings.rpc)?;
            listener.set_nonblocking(true)?;
            Ok::<_, std::io::Error>(listener)
        };
        bind().map_err(|cause| Error::plugin(COMPONENT, cause))
    }

    /// Creates the node that replicates the records between processes.
    fn relay_node(&self, identity: &Identity, clock: &Clock) -> Node {
        let id = match &self.role {
            Role::Balancer(name) => Id::new(Kind::Balancer, name),
            Role::Agent { target, .. } => Id::new(Kind::Target, target),
        };
        let member = Member {
            id: MemberId::new(&id),
            region: identity.region.clone(),
            rpc: identity.rpc_address,
            is_balancer: matches!(self.role, Role::Balancer(_)),
        };
        let seeds = self.settings.seeds.clone();
        Node::new(member, seeds, identity.incarnation.0, clock.now())
    }
}

impl<S: Store + Clone> Plugin for ControlPlugin<S> {
    fn build(&self, app: &mut App) -> Result<(), Error> {
        let listener = self.bind_rpc_listener()?;
        let identity = app.insert_resource(self.load_identity()?);
        let methods = app.insert_resource(MethodRegistry::default());
        let announcement = app.insert_resource(AnnouncedPhase::new());
        let clock = Clock::new();
        let node = self.relay_node(&identity, &clock);
        let (view_updates, view_update_receiver) = mpsc::unbounded_channel();
        let (probe_updates, probe_update_receiver) = mpsc::unbounded_channel();
        let balancer = match &self.role {
            Role::Balancer(name) => Some(name.clone()),
            Role::Agent { .. } => None,
        };
        let control = Arc::new(ControlState {
            store: self.store.clone(),
            clock,
            relay: Mutex::new(RelayState {
                node,
                pause_count: 0,
            }),
            view_updates,
            probe_updates: balancer.is_some().then_some(probe_updates),
            own_record_lost: Notify::new(),
            own_record_written_at: Mutex::default(),
            current_view: app.insert_resource(CurrentView::new()),
            forwarding_gate: app.insert_resource(ForwardingGate::new()),
            probe_replies: app.insert_resource(ProbeReplies::new()),
            metrics: app.insert_resource(self.metrics.clone()),
            rpc_client: app.insert_resource(RpcClient::new(&identity.shared_key)),
            log: Log::new(COMPONENT),
            identity,
        });
        let shutdown = app.shutdown();
        let task_arguments = || (Arc::clone(&control), shutdown.clone());
        let (state, shutdown) = task_arguments();
        app.add_task("control tick", run_ticks(state, shutdown));
        let (state, shutdown) = task_arguments();
        app.add_task(
            "control views",
            view_publisher::run(state, view_update_receiver, shutdown),
        );
        let (state, shutdown) = task_arguments();
        app.add_task(
            "control announcement",
            registration::run(state, announcement, shutdown),
        );
        if let Some(name) = balancer {
            let (state, shutdown) = task_arguments();
            app.add_task(
                "control probes",
                probe::run(state, name, probe_update_receiver, shutdown),
            );
        }
        let (state, shutdown) = task_arguments();
        app.add_task(
            "control server",
            server::run(state, listener, methods, shutdown),
        );
        Ok(())
    }
}

/// Ticks the relay and renews the gate until the app stops.
async fn run_ticks<S: Store>(control: Arc<ControlState<S>>, mut shutdown: Shutdown) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = interval.tick() => {
                let checked_ms = control.forwarding_gate.now_ms();
                control.clock.detect_suspension();
                control.handle_event(Event::Tick);
                control.forwarding_gate.renew(checked_ms);
            }
            () = shutdown.wait_for_terminating() => return,
        }
    }
}
