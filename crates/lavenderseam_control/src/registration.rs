//! Registration of this process in the store: its own `Balancer` or `Target` record.

use std::sync::Arc;
use std::time::Duration;

use lavenderseam_app::{Shutdown, ShutdownPhase};
use lavenderseam_core::catalog::Entry;
use lavenderseam_core::id::Incarnation;
use lavenderseam_core::record::{self, Document, Id, Kind, Phase, Record, Schema};
use lavenderseam_core::relay::Event;
use lavenderseam_platform::conditional_write::{self, Decision, RetryPolicy, UpdateOutcome};
use lavenderseam_platform::{Error, Store};

use rand::RngExt as _;
use rand::rand_core::UnwrapErr;
use rand::rngs::SysRng;

use crate::control_state::ControlState;
use crate::{AnnouncedPhase, Role};

/// Base delay of retries after a failed write of this process's record; doubled at every failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Upper bound of the delay between retries of a failed write.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(16);
/// Timeout for each store update during a planned stop.
const STOP_UPDATE_TIMEOUT: Duration = Duration::from_secs(3);

/// Keeps the record of this process up to date in the store until the app stops.
///
/// Holds a drain guard until the planned stop has been announced, and deletes the record once the
/// drain has ended.
pub(crate) async fn run<S: Store>(
    state: Arc<ControlState<S>>,
    announcement: Arc<AnnouncedPhase>,
    shutdown: Shutdown,
) {
    let drain_guard = shutdown.drain_guard();
    announce_until_draining(&state, &announcement, shutdown.clone()).await;
    if tokio::time::timeout(STOP_UPDATE_TIMEOUT, announce_stop(&state))
        .await
        .is_err()
    {
        state
            .log
            .warn("timed out announcing the planned stop to the store; stopping without it");
    }
    drop(drain_guard);
    let mut stopping = shutdown;
    loop {
        tokio::select! {
            () = stopping.wait_for_terminating() => break,
            () = state.own_record_lost.notified() => announce_stop(&state).await,
        }
    }
    if tokio::time::timeout(STOP_UPDATE_TIMEOUT, delete_after_drain(&state))
        .await
        .is_err()
    {
        state
            .log
            .warn("timed out deleting the record of this process; it stays in the store");
    }
}

/// Writes the record of this process whenever its lifecycle phase changes or the store has lost it,
/// until a planned stop begins. Failed writes are retried with exponential backoff.
async fn announce_until_draining<S: Store>(
    state: &Arc<ControlState<S>>,
    announcement: &AnnouncedPhase,
    mut shutdown: Shutdown,
) {
    let mut announced_phase = announcement.subscribe();
    let mut registered = false;
    let mut delay = INITIAL_RETRY_DELAY;
    while shutdown.phase() == ShutdownPhase::Running {
        let phase = *announced_phase.borrow_and_update();
        let outcome = tokio::select! {
            outcome = announce_phase(state, phase, registered) => outcome,
            () = shutdown.wait_for_draining() => return,
        };
        let retry_delay = match outcome {
            Ok(()) => {
                registered = true;
                delay = INITIAL_RETRY_DELAY;
                None
            }
            Err(error) => {
                state.log.warn(format_args!(
                    "retrying the failed registration of this process: {error}"
                ));
                delay = (delay * 2).min(MAX_RETRY_DELAY);
                Some(with_jitter(delay))
            }
        };
        tokio::select! {
            _ = announced_phase.changed() => {}
            () = state.own_record_lost.notified() => {}
            () = sleep_or_pending(retry_delay) => {}
            () = shutdown.wait_for_draining() => {}
        }
    }
}

/// Returns a random delay between half of `delay` and all of it, so that processes that failed at
/// the same time don't retry at the same time.
fn with_jitter(delay: Duration) -> Duration {
    delay.mul_f64(UnwrapErr(SysRng).random_range(0.5..1.0))
}

/// Sleeps for the delay; never completes if there is none.
async fn sleep_or_pending(delay: Option<Duration>) {
    match delay {
        Some(delay) => tokio::time::sleep(delay).await,
        None => std::future::pending().await,
    }
}

/// Announces the planned stop. The record of an agent changes to the phase `Leaving`; a balancer
/// has no flows to drain, so its record is deleted at once.
async fn announce_stop<S: Store>(state: &Arc<ControlState<S>>) {
    let result = match state.identity.role {
        Role::Balancer(_) => delete_own_record(state).await,
        Role::Agent { .. } => announce_phase(state, Phase::Leaving, true).await,
    };
    if let Err(error) = result {
        state
            .log
            .warn(format_args!("can't announce the planned stop: {error}"));
    }
}

/// Deletes the record of this process after the drain, when an agent has no flows left.
async fn delete_after_drain<S: Store>(state: &Arc<ControlState<S>>) {
    if let Err(error) = delete_own_record(state).await {
        state
            .log
            .warn(format_args!("can't delete this process's record: {error}"));
    }
}

/// Writes the record of this process with a lifecycle phase.
///
/// Before the first write of this run, a record of another incarnation is a leftover of an earlier
/// run and is overwritten. After it, such a record belongs to a newer run and is left unchanged.
async fn announce_phase<S: Store>(
    state: &Arc<ControlState<S>>,
    phase: Phase,
    registered: bool,
) -> Result<(), Error> {
    let own_incarnation = state.identity.incarnation;
    update_own_record(state, |current| {
        let belongs_to_other = current
            .and_then(incarnation_of)
            .is_some_and(|found| found != own_incarnation);
        if registered && belongs_to_other {
            state
                .log
                .error("a newer run registered under the name of this process; leaving its record");
            return Decision::Keep;
        }
        let mut document = current
            .cloned()
            .unwrap_or_else(|| empty_document(&state.own_record_id()));
        state.write_identity(phase, &mut document);
        if current == Some(&document) {
            Decision::Keep
        } else {
            Decision::Put(document)
        }
    })
    .await
}

/// Deletes the record of this process unless it belongs to another incarnation.
async fn delete_own_record<S: Store>(state: &Arc<ControlState<S>>) -> Result<(), Error> {
    let own_incarnation = state.identity.incarnation;
    update_own_record(state, |current| match current.and_then(incarnation_of) {
        Some(current) if current == own_incarnation => Decision::Delete,
        _ => Decision::Keep,
    })
    .await
}

/// Updates the record of this process in the store and passes the result to the relay.
async fn update_own_record<S: Store>(
    state: &Arc<ControlState<S>>,
    mut decide: impl FnMut(Option<&Document>) -> Decision,
) -> Result<(), Error> {
    let decide =
        |current: Option<&Entry>| decide(current.and_then(|entry| entry.document.as_ref()));
    let id = state.own_record_id();
    let entry =
        match conditional_write::update(&state.store, &id, RetryPolicy::default(), decide).await? {
            UpdateOutcome::Written(entry) => {
                *state.own_record_written_at.lock() = Some(state.clock.now());
                Some(entry)
            }
            UpdateOutcome::Unchanged(current) => current,
        };
    if let Some(entry) = entry {
        state.handle_event(Event::WriteAccepted(entry));
    }
    Ok(())
}

/// Returns a document without content for a record that doesn't exist yet.
fn empty_document(id: &Id) -> Document {
    Document::new(id.kind, &id.name, Schema(1))
}

/// Returns the incarnation in the record of a balancer or target.
fn incarnation_of(document: &Document) -> Option<Incarnation> {
    match document.kind {
        Kind::Target => Some(record::Target::read(document).ok()?.incarnation),
        _ => Some(record::Balancer::read(document).ok()?.incarnation),
    }
}

impl<S: Store> ControlState<S> {
    /// Writes the identity of this process, and the phase of an agent, into its document.
    fn write_identity(&self, phase: Phase, document: &mut Document) {
        let identity = &self.identity;
        match &identity.role {
            Role::Balancer(_) => {
                let record = record::Balancer {
                    domain: identity.domain.clone(),
                    region: identity.region.clone(),
                    peer: identity.peer_address,
                    rpc: identity.rpc_address,
                    incarnation: identity.incarnation,
                };
                record.write(document);
            }
            Role::Agent { group, .. } => {
                let record = record::Target {
                    group: group.clone(),
                    domain: identity.domain.clone(),
                    region: identity.region.clone(),
                    peer: identity.peer_address,
                    rpc: identity.rpc_address,
                    incarnation: identity.incarnation,
                    phase,
                };
                record.write(document);
            }
        }
    }
}
