//! Health probes that a balancer sends to the agents of targets, and the verdict it publishes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lavenderseam_app::Shutdown;
use lavenderseam_core::catalog::Entry;
use lavenderseam_core::id;
use lavenderseam_core::liveness::{Action, Echo, Prober};
use lavenderseam_core::record::{Document, DownTarget, Id, Kind, Record, Schema, Target, Verdict};
use lavenderseam_core::relay::Event;
use lavenderseam_platform::conditional_write::{self, Decision, RetryPolicy, UpdateOutcome};
use lavenderseam_platform::{Error, Store};
use lavenderseam_wire::{Frame, FrameHeader, Probe, SymmetricKey};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{self, UnboundedReceiver};

use crate::control_state::{ControlState, ProbeUpdate};

/// Interval between checks for probes and writes that are due.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for deleting the verdict during a planned stop.
const STOP_DELETE_TIMEOUT: Duration = Duration::from_secs(3);
/// Size of the receive buffer; longer datagrams are truncated and then fail authentication.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Retries of a write by a probe task. Two are enough, since a later tick of the prober starts the
/// write again.
const RETRY_POLICY: RetryPolicy = RetryPolicy {
    retries: 2,
    initial_delay: Duration::from_millis(100),
    max_delay: Duration::from_secs(1),
};

/// Socket and state of the task that probes targets.
struct ProbeTask<S> {
    control: Arc<ControlState<S>>,
    prober: Prober,
    /// Identifies the verdict record that this balancer writes.
    verdict_id: Id,
    socket: UdpSocket,
    /// Key that authenticates the frames between processes.
    frame_key: SymmetricKey,
    /// Reports whether each write of the verdict succeeded.
    write_results: mpsc::Sender<bool>,
}

/// Probes the targets assigned to a balancer until a planned stop begins, then deletes its verdict.
pub(crate) async fn run<S: Store>(
    control: Arc<ControlState<S>>,
    name: id::Balancer,
    mut updates: UnboundedReceiver<ProbeUpdate>,
    mut shutdown: Shutdown,
) {
    let log = control.log;
    let (write_results, mut write_finished) = mpsc::channel(1);
    let mut task = match ProbeTask::new(control, &name, write_results).await {
        Ok(task) => task,
        Err(error) => return log.error(format_args!("no UDP socket to probe targets: {error}")),
    };
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut datagram = [0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            _ = interval.tick() => task.tick().await,
            Some(update) = updates.recv() => task.apply_update(&update),
            Ok((length, _)) = task.socket.recv_from(&mut datagram) => {
                task.receive(&datagram[..length]);
            }
            Some(succeeded) = write_finished.recv() => {
                let now = task.control.clock.now();
                task.prober.handle_write_result(succeeded, now);
            }
            () = shutdown.wait_for_draining() => break,
        }
    }
    // A balancer that has stopped no longer reports targets as down.
    let deletion =
        conditional_write::update(&task.control.store, &task.verdict_id, RETRY_POLICY, |_| {
            Decision::Delete
        });
    match tokio::time::timeout(STOP_DELETE_TIMEOUT, deletion).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => log.warn(format_args!(
            "can't delete this balancer's verdict: {error}"
        )),
        Err(_) => log.warn("timed out deleting this balancer's verdict; it stays in the store"),
    }
}

impl<S: Store> ProbeTask<S> {
    async fn new(
        control: Arc<ControlState<S>>,
        name: &id::Balancer,
        write_results: mpsc::Sender<bool>,
    ) -> io::Result<Self> {
        let local_address = SocketAddr::new(control.identity.peer_address.ip(), 0);
        let seed = control.identity.incarnation.0;
        Ok(Self {
            prober: Prober::new(name, seed, control.clock.now()),
            verdict_id: Id::new(Kind::Verdict, name),
            socket: UdpSocket::bind(local_address).await?,
            frame_key: control.identity.shared_key.derive("frames"),
            write_results,
            control,
        })
    }

    fn apply_update(&mut self, update: &ProbeUpdate) {
        match update {
            ProbeUpdate::Records(entries) => {
                entries.iter().for_each(|entry| self.prober.apply(entry));
            }
            ProbeUpdate::StoreRestored => {
                self.prober.handle_restore(self.control.clock.now());
            }
        }
    }

    /// Starts the probes and writes that are due.
    async fn tick(&mut self) {
        for action in self.prober.tick(self.control.clock.now()) {
            match action {
                Action::Probe { peer, nonce } => self.send_probe(peer, nonce).await,
                Action::WriteVerdict(verdict) => self.write_verdict(verdict),
                Action::DeleteTarget(down) => self.delete_target(down),
            }
        }
    }

    /// Sends a probe to an agent. The prober treats a probe that can't be sent like a lost one.
    async fn send_probe(&self, peer: SocketAddr, nonce: u64) {
        let mut datagram = Vec::new();
        let frame = Frame::new(FrameHeader::Probe(Probe { nonce }));
        if frame.seal(&self.frame_key, &mut datagram).is_ok() {
            let _ = self.socket.send_to(&datagram, peer).await;
        }
    }

    /// Handles a datagram: passes the reply to a probe on, drops everything else.
    fn receive(&mut self, datagram: &[u8]) {
        let Ok(frame) = Frame::open(&self.frame_key, datagram) else {
            return;
        };
        if let FrameHeader::Echo(reply) = frame.header {
            self.control.probe_replies.publish(reply.clone());
            let echo = Echo {
                target: reply.target,
                nonce: reply.nonce,
                incarnation: reply.incarnation,
            };
            self.prober.handle_echo(echo, self.control.clock.now());
        }
    }

    /// Writes the verdict in the background and reports the result to the prober.
    fn write_verdict(&self, verdict: Verdict) {
        let control = Arc::clone(&self.control);
        let write_results = self.write_results.clone();
        let id = self.verdict_id.clone();
        control.metrics.count("verdict.writes", 1);
        tokio::spawn(async move {
            let change = |current: Option<&Entry>| put_verdict(&id, current, &verdict);
            let outcome =
                conditional_write::update(&control.store, &id, RETRY_POLICY, change).await;
            let _ = write_results.send(outcome.is_ok()).await;
            report_outcome(&control, outcome);
        });
    }

    /// Deletes the record of a target that is down, in the background. The record stays if the
    /// agent has restarted since, which its incarnation shows.
    fn delete_target(&self, down: DownTarget) {
        let control = Arc::clone(&self.control);
        control.log.info(format_args!(
            "deleting the record of target {}, which has been down for an hour",
            down.target
        ));
        tokio::spawn(async move {
            let id = Id::new(Kind::Target, &down.target);
            let change = |current: Option<&Entry>| match current.and_then(read_target) {
                Some(target) if target.incarnation == down.incarnation => Decision::Delete,
                _ => Decision::Keep,
            };
            let outcome =
                conditional_write::update(&control.store, &id, RETRY_POLICY, change).await;
            report_outcome(&control, outcome);
        });
    }
}

/// Puts the verdict into its document; fields that this version doesn't know are kept.
fn put_verdict(id: &Id, current: Option<&Entry>, verdict: &Verdict) -> Decision {
    let current = current.and_then(|entry| entry.document.clone());
    let mut document = current.unwrap_or_else(|| Document::new(id.kind, &id.name, Schema(1)));
    verdict.write(&mut document);
    Decision::Put(document)
}

/// Returns the target in an entry; `None` if the record is deleted or can't be parsed.
fn read_target(entry: &Entry) -> Option<Target> {
    Target::read(entry.document.as_ref()?).ok()
}

/// Passes the result of a write to the relay, or logs its failure.
fn report_outcome<S: Store>(control: &Arc<ControlState<S>>, outcome: Result<UpdateOutcome, Error>) {
    match outcome {
        Ok(UpdateOutcome::Written(entry)) => control.handle_event(Event::WriteAccepted(entry)),
        Ok(UpdateOutcome::Unchanged(_)) => {}
        Err(error) => control.log.warn(format_args!(
            "can't update a verdict or target record: {error}"
        )),
    }
}
