//! Plugin that assembles the balancer's data path.

use std::io;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use lavenderseam_app::{App, DrainGuard, Error, Plugin, Shutdown};
use lavenderseam_control::{CurrentView, ForwardingGate, Identity, ProbeReplies};
use lavenderseam_core::flow::{Router, router};
use lavenderseam_telemetry::{Log, Metrics};
use lavenderseam_wire::ProbeReply;
use tokio::sync::broadcast::{self, error::RecvError};

use crate::counters::ReportedCounts;
use crate::shared_state::SharedState;
use crate::{Counters, FabricSource, Settings, fabric_receiver, peer_receiver, socket};

/// Component name in errors and log lines.
const COMPONENT: &str = "balancer";
const LOG: Log = Log::new(COMPONENT);

/// Time during which packets are still forwarded after health checks have started to fail, until
/// the fabric sends them to other balancers.
const FABRIC_SETTLE_TIME: Duration = Duration::from_secs(2);
/// Interval of the counter reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The balancer's data path: forwards the fabric's packets to agents.
///
/// Requires the resources of the control plane; inserts [`Counters`].
#[derive(Clone, Debug)]
pub struct BalancerPlugin {
    settings: Settings,
}

/// Sockets of the data path.
struct Sockets {
    fabric: UdpSocket,
    peer: UdpSocket,
}

impl BalancerPlugin {
    /// Creates the plugin from the balancer's settings.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self { settings }
    }

    /// Starts the receive threads.
    fn start_threads(
        &self,
        shared: &Arc<SharedState>,
        sockets: &Sockets,
    ) -> io::Result<Vec<JoinHandle<()>>> {
        let sources: Arc<[FabricSource]> = self.settings.fabric_sources.as_slice().into();
        let mut threads = Vec::new();
        for index in 0..self.settings.threads {
            let receiver = fabric_receiver::FabricReceiver {
                shared: Arc::clone(shared),
                fabric_socket: sockets.fabric.try_clone()?,
                peer_socket: sockets.peer.try_clone()?,
                sources: Arc::clone(&sources),
            };
            threads.push(spawn_thread(format!("fabric-{index}"), || receiver.run())?);
        }
        let receiver = peer_receiver::PeerReceiver {
            shared: Arc::clone(shared),
            socket: sockets.peer.try_clone()?,
        };
        threads.push(spawn_thread("peer".to_owned(), || receiver.run())?);
        Ok(threads)
    }
}

impl Plugin for BalancerPlugin {
    fn build(&self, app: &mut App) -> Result<(), Error> {
        let plugin_error = |cause: io::Error| Error::plugin(COMPONENT, cause);
        let counters = app.insert_resource(Counters::default());
        let shared = Arc::new(SharedState::new(
            app.resource::<Identity>()?,
            app.resource::<CurrentView>()?,
            app.resource::<ForwardingGate>()?,
            Router::new(router::Settings {
                capacity: self.settings.cached_flows,
                ..router::Settings::default()
            }),
            counters,
        ));
        let sockets = Sockets {
            fabric: socket::bind(self.settings.fabric).map_err(plugin_error)?,
            peer: socket::bind(self.settings.control.peer).map_err(plugin_error)?,
        };
        let threads = self
            .start_threads(&shared, &sockets)
            .map_err(plugin_error)?;
        app.add_task(
            "balancer views",
            prune_router(Arc::clone(&shared), app.shutdown()),
        );
        let probe_replies = app.resource::<ProbeReplies>()?.subscribe();
        app.add_task(
            "balancer loads",
            record_loads(Arc::clone(&shared), probe_replies, app.shutdown()),
        );
        app.add_task(
            "balancer report",
            report_counters(
                Arc::clone(&shared),
                app.resource::<Metrics>()?,
                app.shutdown(),
            ),
        );
        app.add_task(
            "balancer stop",
            drain_and_stop(
                shared,
                threads,
                app.shutdown().drain_guard(),
                app.shutdown(),
            ),
        );
        LOG.info(format_args!(
            "receiving packets from the fabric at {}",
            self.settings.fabric
        ));
        Ok(())
    }
}

fn spawn_thread(name: String, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name).spawn(run)
}

/// Removes the router's state of targets that are no longer in the view.
async fn prune_router(shared: Arc<SharedState>, mut shutdown: Shutdown) {
    let mut view_receiver = shared.current_view.subscribe();
    loop {
        tokio::select! {
            () = shutdown.wait_for_terminating() => return,
            changed = view_receiver.changed() => {
                if changed.is_err() {
                    return;
                }
                let view = Arc::clone(&view_receiver.borrow_and_update());
                shared.router.retain_targets(&view);
            }
        }
    }
}

/// Records the flow counts that targets report in their probe replies.
async fn record_loads(
    shared: Arc<SharedState>,
    mut probe_replies: broadcast::Receiver<ProbeReply>,
    mut shutdown: Shutdown,
) {
    loop {
        tokio::select! {
            () = shutdown.wait_for_terminating() => return,
            reply = probe_replies.recv() => match reply {
                Ok(reply) => shared.router.record_load(reply.target, reply.flows, shared.now()),
                Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return,
            },
        }
    }
}

/// Reports the counters as metrics until the app is halted.
async fn report_counters(shared: Arc<SharedState>, metrics: Arc<Metrics>, mut shutdown: Shutdown) {
    let mut reported = ReportedCounts::default();
    let mut interval = tokio::time::interval(REPORT_INTERVAL);
    loop {
        tokio::select! {
            () = shutdown.wait_for_terminating() => return,
            _ = interval.tick() => shared.counters.report(&mut reported, &metrics),
        }
    }
}

/// Runs the planned stop: fails the health checks, keeps forwarding while the fabric moves its
/// traffic to other balancers, then ends the threads.
async fn drain_and_stop(
    shared: Arc<SharedState>,
    threads: Vec<JoinHandle<()>>,
    drain_guard: DrainGuard,
    mut shutdown: Shutdown,
) {
    shutdown.wait_for_draining().await;
    LOG.info("balancer drains and stops: health checks are answered with 0");
    shared.draining.store(true, Ordering::Release);
    tokio::time::sleep(FABRIC_SETTLE_TIME).await;
    drop(drain_guard);
    shutdown.wait_for_terminating().await;
    shared.halted.store(true, Ordering::Release);
    let joined = tokio::task::spawn_blocking(|| threads.into_iter().try_for_each(JoinHandle::join));
    if !matches!(joined.await, Ok(Ok(()))) {
        LOG.error("a receive thread panicked");
    }
}
