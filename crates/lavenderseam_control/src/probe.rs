//! Probes of targets by a balancer.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lavenderseam_app::Shutdown;
use lavenderseam_core::catalog::Entry;
use lavenderseam_core::id;
use lavenderseam_core::liveness::{Action, Echo, Prober};
use lavenderseam_core::record::{Document, Down, Id, Kind, Record, Schema, Target, Verdict};
use lavenderseam_core::relay::Event;
use lavenderseam_platform::write::{self, Change, Outcome, Policy};
use lavenderseam_platform::{Error, Store};
use lavenderseam_wire::{Body, Frame, Key, Probe};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{self, UnboundedReceiver};

use crate::shared::Shared;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(250);
/// Longest time that a planned stop waits for the store.
const STOP_LIMIT: Duration = Duration::from_secs(3);
/// Longest datagram that is read, in bytes.
const DATAGRAM_LIMIT: usize = 2048;
/// A write of a verdict is tried once more after a conflict; the next tick tries again.
const POLICY: Policy = Policy {
    attempts: 2,
    pause: Duration::from_millis(100),
    pause_limit: Duration::from_secs(1),
};

/// One balancer's probes.
struct Probes<S> {
    shared: Arc<Shared<S>>,
    prober: Prober,
    verdict: Id,
    socket: UdpSocket,
    key: Key,
    outcomes: mpsc::Sender<bool>,
}

/// Probes the targets assigned to a balancer until the app halts.
pub(crate) async fn run<S: Store>(
    shared: Arc<Shared<S>>,
    name: id::Balancer,
    mut changes: UnboundedReceiver<Arc<[Entry]>>,
    mut shutdown: Shutdown,
) {
    let log = shared.log;
    let (outcomes, mut written) = mpsc::channel(1);
    let mut probes = match Probes::new(shared, &name, outcomes).await {
        Ok(probes) => probes,
        Err(error) => return log.error(format_args!("can't probe targets: {error}")),
    };
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut datagram = [0; DATAGRAM_LIMIT];
    loop {
        tokio::select! {
            _ = ticks.tick() => probes.tick().await,
            Some(entries) = changes.recv() => {
                entries.iter().for_each(|entry| probes.prober.apply(entry));
            }
            Ok((length, _)) = probes.socket.recv_from(&mut datagram) => {
                probes.take(&datagram[..length]);
            }
            Some(taken) = written.recv() => {
                let now = probes.shared.clock.now();
                probes.prober.written(taken, now);
            }
            () = shutdown.draining() => break,
        }
    }
    // A balancer that has left finds no one down.
    let left = write::update(&probes.shared.store, &probes.verdict, POLICY, |_| {
        Change::Delete
    });
    match tokio::time::timeout(STOP_LIMIT, left).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => log.warn(format_args!("can't delete the verdict: {error}")),
        Err(_) => log.warn("the store didn't delete the verdict in time"),
    }
}

impl<S: Store> Probes<S> {
    async fn new(
        shared: Arc<Shared<S>>,
        name: &id::Balancer,
        outcomes: mpsc::Sender<bool>,
    ) -> io::Result<Self> {
        let own = SocketAddr::new(shared.identity.peer.ip(), 0);
        let seed = shared.identity.incarnation.0;
        Ok(Self {
            prober: Prober::new(name, seed, shared.clock.now()),
            verdict: Id::new(Kind::Verdict, name),
            socket: UdpSocket::bind(own).await?,
            key: shared.identity.key.derive("frames"),
            outcomes,
            shared,
        })
    }

    async fn tick(&mut self) {
        for action in self.prober.tick(self.shared.clock.now()) {
            match action {
                Action::Probe { peer, nonce } => self.probe(peer, nonce).await,
                Action::Write(verdict) => self.write(verdict),
                Action::Forget(down) => self.forget(down),
            }
        }
    }

    /// Sends a probe. One that can't be sent counts as unanswered.
    async fn probe(&self, peer: SocketAddr, nonce: u64) {
        let mut datagram = Vec::new();
        let frame = Frame::new(Body::Probe(Probe { nonce }));
        if frame.seal(&self.key, &mut datagram).is_ok() {
            let _ = self.socket.send_to(&datagram, peer).await;
        }
    }

    fn take(&mut self, datagram: &[u8]) {
        let Ok(frame) = Frame::open(&self.key, datagram) else {
            return;
        };
        if let Body::Echo(echo) = frame.body {
            self.shared.echoes.publish(echo.clone());
            let echo = Echo {
                target: echo.target,
                nonce: echo.nonce,
                incarnation: echo.incarnation,
            };
            self.prober.echo(echo, self.shared.clock.now());
        }
    }

    fn write(&self, verdict: Verdict) {
        let shared = Arc::clone(&self.shared);
        let outcomes = self.outcomes.clone();
        let id = self.verdict.clone();
        shared.metrics.count("verdict.writes", 1);
        tokio::spawn(async move {
            let change = |held: Option<&Entry>| put(&id, held, &verdict);
            let outcome = write::update(&shared.store, &id, POLICY, change).await;
            let _ = outcomes.send(outcome.is_ok()).await;
            accept(&shared, outcome);
        });
    }

    fn forget(&self, down: Down) {
        let shared = Arc::clone(&self.shared);
        shared
            .log
            .info(format_args!("forgets {}, down for an hour", down.target));
        tokio::spawn(async move {
            let id = Id::new(Kind::Target, &down.target);
            let change = |held: Option<&Entry>| match held.and_then(target) {
                Some(target) if target.incarnation == down.incarnation => Change::Delete,
                _ => Change::Keep,
            };
            let outcome = write::update(&shared.store, &id, POLICY, change).await;
            accept(&shared, outcome);
        });
    }
}

fn put(id: &Id, held: Option<&Entry>, verdict: &Verdict) -> Change {
    let held = held.and_then(|entry| entry.document.clone());
    let mut document = held.unwrap_or_else(|| Document::new(id.kind, &id.name, Schema(1)));
    verdict.write(&mut document);
    Change::Put(document)
}

fn target(entry: &Entry) -> Option<Target> {
    Target::read(entry.document.as_ref()?).ok()
}

fn accept<S: Store>(shared: &Arc<Shared<S>>, outcome: Result<Outcome, Error>) {
    match outcome {
        Ok(Outcome::Written(entry)) => shared.handle(Event::Accepted(entry)),
        Ok(Outcome::Kept(_)) => {}
        Err(error) => shared
            .log
            .warn(format_args!("can't write a record: {error}")),
    }
}
