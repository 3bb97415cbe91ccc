//! The process' own record.

use std::sync::Arc;
use std::time::Duration;

use lavenderseam_app::{Phase as Step, Shutdown};
use lavenderseam_core::catalog::Entry;
use lavenderseam_core::id::Incarnation;
use lavenderseam_core::record::{self, Document, Id, Kind, Phase, Record, Schema};
use lavenderseam_core::relay::Event;
use lavenderseam_platform::write::{self, Change, Outcome, Policy};
use lavenderseam_platform::{Error, Store};

use rand::RngExt as _;
use rand::rand_core::UnwrapErr;
use rand::rngs::SysRng;

use crate::shared::Shared;
use crate::{Announcement, Role};

/// Pause before an announcement that failed is tried again; it doubles with each.
const RETRY: Duration = Duration::from_secs(1);
/// Longest pause before an announcement is tried again.
const RETRY_LIMIT: Duration = Duration::from_secs(16);
/// Longest time that a planned stop waits for the store to take the last announcement.
const STOP_LIMIT: Duration = Duration::from_secs(3);

/// Keeps the process' record in the store as it is wanted, until the app halts.
pub(crate) async fn run<S: Store>(
    shared: Arc<Shared<S>>,
    announcement: Arc<Announcement>,
    shutdown: Shutdown,
) {
    let guard = shutdown.guard();
    serve(&shared, &announcement, shutdown.clone()).await;
    if tokio::time::timeout(STOP_LIMIT, leave(&shared))
        .await
        .is_err()
    {
        shared
            .log
            .warn("the store didn't take the announcement of the stop in time");
    }
    drop(guard);
    let mut halt = shutdown;
    halt.halted().await;
    if tokio::time::timeout(STOP_LIMIT, remove(&shared))
        .await
        .is_err()
    {
        shared
            .log
            .warn("the store didn't delete the process' record in time");
    }
}

/// Announces every wanted phase until a planned stop begins.
async fn serve<S: Store>(
    shared: &Arc<Shared<S>>,
    announcement: &Announcement,
    mut shutdown: Shutdown,
) {
    let mut wanted = announcement.subscribe();
    let mut announced = false;
    let mut pause = RETRY;
    while shutdown.phase() == Step::Running {
        let phase = *wanted.borrow_and_update();
        let outcome = tokio::select! {
            outcome = announce(shared, phase, announced) => outcome,
            () = shutdown.draining() => return,
        };
        let retry = match outcome {
            Ok(()) => {
                announced = true;
                pause = RETRY;
                None
            }
            Err(error) => {
                shared
                    .log
                    .warn(format_args!("can't announce the process: {error}"));
                pause = (pause * 2).min(RETRY_LIMIT);
                Some(jittered(pause))
            }
        };
        tokio::select! {
            _ = wanted.changed() => {}
            () = shared.own_deleted.notified() => {}
            () = elapsed(retry) => {}
            () = shutdown.draining() => {}
        }
    }
}

/// Between half of a pause and the whole, so that processes that failed together don't try again
/// together.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(UnwrapErr(SysRng).random_range(0.5..1.0))
}

async fn elapsed(pause: Option<Duration>) {
    match pause {
        Some(pause) => tokio::time::sleep(pause).await,
        None => std::future::pending().await,
    }
}

/// Announces the planned stop. A balancer has no flows to finish, so its record goes at once.
async fn leave<S: Store>(shared: &Arc<Shared<S>>) {
    let left = match shared.identity.role {
        Role::Balancer(_) => delete(shared).await,
        Role::Agent { .. } => announce(shared, Phase::Leaving, true).await,
    };
    if let Err(error) = left {
        shared
            .log
            .warn(format_args!("can't announce the stop: {error}"));
    }
}

/// Removes the record of an agent that has finished its flows.
async fn remove<S: Store>(shared: &Arc<Shared<S>>) {
    if let Err(error) = delete(shared).await {
        shared
            .log
            .warn(format_args!("can't delete the process' record: {error}"));
    }
}

/// Announces a phase. Before the first announcement the record may be an earlier run's and is taken
/// over; later a record of another run is a newer one's and is left alone.
async fn announce<S: Store>(
    shared: &Arc<Shared<S>>,
    phase: Phase,
    announced: bool,
) -> Result<(), Error> {
    let own = shared.identity.incarnation;
    change(shared, |held| {
        let other = held.and_then(incarnation).is_some_and(|run| run != own);
        if announced && other {
            shared
                .log
                .error("another run has taken the process' name over");
            return Change::Keep;
        }
        let mut document = held.cloned().unwrap_or_else(|| blank(&shared.id()));
        shared.describe(phase, &mut document);
        if held == Some(&document) {
            Change::Keep
        } else {
            Change::Put(document)
        }
    })
    .await
}

/// Deletes the process' record unless a newer run has taken it over.
async fn delete<S: Store>(shared: &Arc<Shared<S>>) -> Result<(), Error> {
    let own = shared.identity.incarnation;
    change(shared, |held| match held.and_then(incarnation) {
        Some(held) if held == own => Change::Delete,
        _ => Change::Keep,
    })
    .await
}

async fn change<S: Store>(
    shared: &Arc<Shared<S>>,
    mut decide: impl FnMut(Option<&Document>) -> Change,
) -> Result<(), Error> {
    let decide = |held: Option<&Entry>| decide(held.and_then(|entry| entry.document.as_ref()));
    let id = shared.id();
    let entry = match write::update(&shared.store, &id, Policy::default(), decide).await? {
        Outcome::Written(entry) => Some(entry),
        Outcome::Kept(held) => held,
    };
    if let Some(entry) = entry {
        shared.handle(Event::Accepted(entry));
    }
    Ok(())
}

fn blank(id: &Id) -> Document {
    Document::new(id.kind, &id.name, Schema(1))
}

fn incarnation(document: &Document) -> Option<Incarnation> {
    match document.kind {
        Kind::Target => Some(record::Target::read(document).ok()?.incarnation),
        _ => Some(record::Balancer::read(document).ok()?.incarnation),
    }
}

impl<S: Store> Shared<S> {
    /// Writes what the process is into its document.
    fn describe(&self, phase: Phase, document: &mut Document) {
        let identity = &self.identity;
        match &identity.role {
            Role::Balancer(_) => {
                let record = record::Balancer {
                    domain: identity.domain.clone(),
                    region: identity.region.clone(),
                    peer: identity.peer,
                    rpc: identity.rpc,
                    incarnation: identity.incarnation,
                };
                record.write(document);
            }
            Role::Agent { group, .. } => {
                let record = record::Target {
                    group: group.clone(),
                    domain: identity.domain.clone(),
                    region: identity.region.clone(),
                    peer: identity.peer,
                    rpc: identity.rpc,
                    incarnation: identity.incarnation,
                    phase,
                };
                record.write(document);
            }
        }
    }
}
