//! The plugin that assembles the balancer's data part.

use std::io;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use lavenderseam_app::{App, Error, Guard, Plugin, Shutdown};
use lavenderseam_control::{Echoes, Gate, Identity, Views};
use lavenderseam_core::flow::{Router, router};
use lavenderseam_telemetry::{Log, Metrics};
use lavenderseam_wire::Echo;
use tokio::sync::broadcast::{self, error::RecvError};

use crate::counters::Reported;
use crate::shared::Shared;
use crate::{Counters, Settings, Source, fabric, peer, socket};

const PART: &str = "balancer";
const LOG: Log = Log::new(PART);

/// How long packets are still forwarded after the fabric has been told to move on.
const SETTLE: Duration = Duration::from_secs(2);
/// Time between two reports of the counters.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The balancer's data part: forwards the fabric's packets to agents.
///
/// Needs the control plane's resources; inserts [`Counters`].
#[derive(Clone, Debug)]
pub struct BalancerPlugin {
    settings: Settings,
}

/// The sockets of the data part.
struct Sockets {
    fabric: UdpSocket,
    peer: UdpSocket,
}

impl BalancerPlugin {
    /// The plugin with its settings.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self { settings }
    }

    fn start(&self, shared: &Arc<Shared>, sockets: &Sockets) -> io::Result<Vec<JoinHandle<()>>> {
        let sources: Arc<[Source]> = self.settings.fabric_sources.as_slice().into();
        let mut threads = Vec::new();
        for index in 0..self.settings.threads {
            let receiver = fabric::Receiver {
                shared: Arc::clone(shared),
                fabric: sockets.fabric.try_clone()?,
                peer: sockets.peer.try_clone()?,
                sources: Arc::clone(&sources),
            };
            threads.push(spawn(format!("fabric-{index}"), || receiver.run())?);
        }
        let receiver = peer::Receiver {
            shared: Arc::clone(shared),
            peer: sockets.peer.try_clone()?,
        };
        threads.push(spawn("peer".to_owned(), || receiver.run())?);
        Ok(threads)
    }
}

impl Plugin for BalancerPlugin {
    fn build(&self, app: &mut App) -> Result<(), Error> {
        let failed = |cause: io::Error| Error::plugin(PART, cause);
        let counters = app.insert(Counters::default());
        let shared = Arc::new(Shared::new(
            app.resource::<Identity>()?,
            app.resource::<Views>()?,
            app.resource::<Gate>()?,
            Router::new(router::Settings {
                capacity: self.settings.cached_flows,
                ..router::Settings::default()
            }),
            counters,
        ));
        let sockets = Sockets {
            fabric: socket::bind(self.settings.fabric).map_err(failed)?,
            peer: socket::bind(self.settings.control.peer).map_err(failed)?,
        };
        let threads = self.start(&shared, &sockets).map_err(failed)?;
        app.spawn("balancer views", views(Arc::clone(&shared), app.shutdown()));
        let echoes = app.resource::<Echoes>()?.subscribe();
        app.spawn(
            "balancer loads",
            loads(Arc::clone(&shared), echoes, app.shutdown()),
        );
        app.spawn(
            "balancer report",
            report(
                Arc::clone(&shared),
                app.resource::<Metrics>()?,
                app.shutdown(),
            ),
        );
        app.spawn(
            "balancer stop",
            stop(shared, threads, app.shutdown().guard(), app.shutdown()),
        );
        LOG.info(format_args!("takes packets at {}", self.settings.fabric));
        Ok(())
    }
}

fn spawn(name: String, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name).spawn(run)
}

/// Forgets what is known of targets that have left.
async fn views(shared: Arc<Shared>, mut shutdown: Shutdown) {
    let mut views = shared.views.subscribe();
    loop {
        tokio::select! {
            () = shutdown.halted() => return,
            changed = views.changed() => {
                if changed.is_err() {
                    return;
                }
                let view = Arc::clone(&views.borrow_and_update());
                shared.router.retain(&view);
            }
        }
    }
}

/// Notes the open flows that targets tell with their answers to probes.
async fn loads(shared: Arc<Shared>, mut echoes: broadcast::Receiver<Echo>, mut shutdown: Shutdown) {
    loop {
        tokio::select! {
            () = shutdown.halted() => return,
            echo = echoes.recv() => match echo {
                Ok(echo) => shared.router.load(echo.target, echo.flows, shared.now()),
                Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return,
            },
        }
    }
}

/// Reports the counters until the app is halted.
async fn report(shared: Arc<Shared>, metrics: Arc<Metrics>, mut shutdown: Shutdown) {
    let mut reported = Reported::default();
    let mut interval = tokio::time::interval(REPORT_INTERVAL);
    loop {
        tokio::select! {
            () = shutdown.halted() => return,
            _ = interval.tick() => shared.counters.report(&mut reported, &metrics),
        }
    }
}

/// Tells the fabric to move on, forwards what still comes, and ends the threads.
async fn stop(
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
    guard: Guard,
    mut shutdown: Shutdown,
) {
    shutdown.draining().await;
    LOG.info("stops: health checks are answered with 0");
    shared.draining.store(true, Ordering::Release);
    tokio::time::sleep(SETTLE).await;
    drop(guard);
    shutdown.halted().await;
    shared.halted.store(true, Ordering::Release);
    let joined = tokio::task::spawn_blocking(|| threads.into_iter().try_for_each(JoinHandle::join));
    if !matches!(joined.await, Ok(Ok(()))) {
        LOG.error("a receive thread ended abnormally");
    }
}
