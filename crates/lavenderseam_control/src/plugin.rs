//! The plugin that every daemon adds first.

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
use lavenderseam_wire::Key;
use parking_lot::Mutex;
use rand::TryRng;
use rand::rngs::SysRng;
use tokio::sync::{Notify, mpsc};

use crate::clock::Clock;
use crate::shared::{Relay, Shared};
use crate::{Announcement, Echoes, Gate, Identity, Methods, Remote, Role, Settings, Views};
use crate::{announce, probe, publish, server};

const PART: &str = "control";
/// Time between two ticks of the relay.
const TICK: Duration = Duration::from_millis(250);

/// Records, membership and liveness of one process.
pub struct ControlPlugin<S = Client> {
    settings: Settings,
    role: Role,
    metrics: Metrics,
    store: S,
}

impl ControlPlugin {
    /// The plugin of a process with these settings and this role.
    #[must_use]
    pub fn new(settings: Settings, role: Role) -> Self {
        Self {
            store: Client::new(settings.store),
            settings,
            role,
            metrics: Metrics::new("lavenderseam"),
        }
    }
}

impl<S> ControlPlugin<S> {
    /// Uses another store than the platform's HTTP API.
    #[must_use]
    pub fn with_store<T>(self, store: T) -> ControlPlugin<T> {
        ControlPlugin {
            settings: self.settings,
            role: self.role,
            metrics: self.metrics,
            store,
        }
    }

    /// Sends metrics of all plugins there; nowhere unless set.
    #[must_use]
    pub fn with_metrics(mut self, metrics: Metrics) -> Self {
        self.metrics = metrics;
        self
    }

    fn identity(&self) -> Result<Identity, Error> {
        let text = fs::read_to_string(&self.settings.key_file)
            .map_err(|cause| Error::plugin(PART, cause))?;
        let key: Key = text.parse().map_err(|cause| Error::plugin(PART, cause))?;
        let incarnation = SysRng
            .try_next_u64()
            .map_err(|cause| Error::plugin(PART, cause))?;
        Ok(Identity {
            role: self.role.clone(),
            domain: self.settings.domain.clone(),
            region: self.settings.region.clone(),
            peer: self.settings.peer,
            rpc: self.settings.rpc,
            incarnation: Incarnation(incarnation),
            key,
        })
    }

    fn listen(&self) -> Result<TcpListener, Error> {
        let listen = || {
            let listener = TcpListener::bind(self.settings.rpc)?;
            listener.set_nonblocking(true)?;
            Ok::<_, std::io::Error>(listener)
        };
        listen().map_err(|cause| Error::plugin(PART, cause))
    }

    fn node(&self, identity: &Identity, clock: &Clock) -> Node {
        let id = match &self.role {
            Role::Balancer(name) => Id::new(Kind::Balancer, name),
            Role::Agent { target, .. } => Id::new(Kind::Target, target),
        };
        let own = Member {
            id: MemberId::new(&id),
            region: identity.region.clone(),
            rpc: identity.rpc,
            balancer: matches!(self.role, Role::Balancer(_)),
        };
        let seeds = self.settings.seeds.clone();
        Node::new(own, seeds, identity.incarnation.0, clock.now())
    }
}

impl<S: Store + Clone> Plugin for ControlPlugin<S> {
    fn build(&self, app: &mut App) -> Result<(), Error> {
        let listener = self.listen()?;
        let identity = app.insert(self.identity()?);
        let methods = app.insert(Methods::default());
        let announcement = app.insert(Announcement::new());
        let clock = Clock::new();
        let node = self.node(&identity, &clock);
        let (changes, changed) = mpsc::unbounded_channel();
        let (probe_changes, probe_changed) = mpsc::unbounded_channel();
        let balancer = match &self.role {
            Role::Balancer(name) => Some(name.clone()),
            Role::Agent { .. } => None,
        };
        let shared = Arc::new(Shared {
            store: self.store.clone(),
            clock,
            relay: Mutex::new(Relay { node, pauses: 0 }),
            changes,
            probe_changes: balancer.is_some().then_some(probe_changes),
            own_deleted: Notify::new(),
            views: app.insert(Views::new()),
            gate: app.insert(Gate::new()),
            echoes: app.insert(Echoes::new()),
            metrics: app.insert(self.metrics.clone()),
            remote: app.insert(Remote::new(&identity.key)),
            log: Log::new(PART),
            identity,
        });
        let stop = app.shutdown();
        let task = || (Arc::clone(&shared), stop.clone());
        let (state, shutdown) = task();
        app.spawn("control tick", tick(state, shutdown));
        let (state, shutdown) = task();
        app.spawn("control views", publish::run(state, changed, shutdown));
        let (state, shutdown) = task();
        app.spawn(
            "control announcement",
            announce::run(state, announcement, shutdown),
        );
        if let Some(name) = balancer {
            let (state, shutdown) = task();
            app.spawn(
                "control probes",
                probe::run(state, name, probe_changed, shutdown),
            );
        }
        let (state, shutdown) = task();
        app.spawn(
            "control server",
            server::run(state, listener, methods, shutdown),
        );
        Ok(())
    }
}

/// Lets the relay's time pass until the app halts.
async fn tick<S: Store>(shared: Arc<Shared<S>>, mut shutdown: Shutdown) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = interval.tick() => {
                let looked = shared.gate.now();
                shared.clock.look();
                shared.handle(Event::Tick);
                shared.gate.renew(looked);
            }
            () = shutdown.halted() => return,
        }
    }
}
