//! The plugin that every daemon adds first.

use std::fs;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::server::{Server, ServerConfig};
use jsonrpsee::{Methods as Registered, RpcModule};
use lavenderseam_app::{App, Error, Plugin, Shutdown};
use lavenderseam_core::id::Incarnation;
use lavenderseam_platform::{Client, Store};
use lavenderseam_telemetry::{Log, Metrics};
use lavenderseam_wire::Key;
use rand::TryRng;
use rand::rngs::SysRng;

use crate::remote::{MESSAGE_LIMIT, Remote};
use crate::shared::Shared;
use crate::{Announcement, Gate, Identity, Methods, Role, Settings, Views};
use crate::{announce, status, watch};

const PART: &str = "control";
/// Connections for remote calls that are served at a time.
const CONNECTION_LIMIT: u32 = 1024;
/// Time between two renewals of the gate.
const TICK: Duration = Duration::from_millis(250);

/// Records, membership and liveness of one process.
pub struct ControlPlugin {
    settings: Settings,
    role: Role,
    metrics: Metrics,
}

impl ControlPlugin {
    /// The plugin of a process with these settings and this role.
    #[must_use]
    pub fn new(settings: Settings, role: Role) -> Self {
        Self {
            settings,
            role,
            metrics: Metrics::new("lavenderseam"),
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
}

impl Plugin for ControlPlugin {
    fn build(&self, app: &mut App) -> Result<(), Error> {
        let listener = listen(&self.settings).map_err(|cause| Error::plugin(PART, cause))?;
        let identity = app.insert(self.identity()?);
        let methods = app.insert(Methods::default());
        let announcement = app.insert(Announcement::new());
        app.insert(Remote::new(&identity.key));
        let shared = Arc::new(Shared {
            identity,
            store: Client::new(self.settings.store),
            catalog: parking_lot::Mutex::default(),
            changed: tokio::sync::Notify::new(),
            views: app.insert(Views::new()),
            gate: app.insert(Gate::new()),
            metrics: app.insert(self.metrics.clone()),
            log: Log::new(PART),
        });
        let shutdown = app.shutdown();
        app.spawn("control tick", tick(Arc::clone(&shared), shutdown.clone()));
        app.spawn(
            "control views",
            publish(Arc::clone(&shared), shutdown.clone()),
        );
        app.spawn(
            "control watch",
            watch::run(Arc::clone(&shared), shutdown.clone()),
        );
        app.spawn(
            "control announcement",
            announce::run(Arc::clone(&shared), announcement, shutdown.clone()),
        );
        app.spawn("control server", serve(shared, listener, methods, shutdown));
        Ok(())
    }
}

fn listen(settings: &Settings) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(settings.rpc)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Renews the gate until the app halts.
async fn tick<S: Store>(shared: Arc<Shared<S>>, mut shutdown: Shutdown) {
    let mut interval = tokio::time::interval(TICK);
    loop {
        tokio::select! {
            _ = interval.tick() => shared.gate.renew(),
            () = shutdown.halted() => return,
        }
    }
}

/// Publishes a view after every burst of changes until the app halts.
async fn publish<S: Store>(shared: Arc<Shared<S>>, mut shutdown: Shutdown) {
    loop {
        tokio::select! {
            () = shared.changed.notified() => shared.publish().await,
            () = shutdown.halted() => return,
        }
    }
}

/// Serves remote calls until the app halts.
async fn serve<S: Store>(
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
    let mut module = RpcModule::new(shared);
    status::register(&mut module);
    let mut offered = Registered::from(module);
    for other in methods.take() {
        if let Err(error) = offered.merge(other) {
            log.error(format_args!("a remote method is registered twice: {error}"));
        }
    }
    let handle = server.start(offered);
    shutdown.halted().await;
    let _ = handle.stop();
}
