//! The process' own record.

use std::sync::Arc;
use std::time::Duration;

use lavenderseam_app::{Phase as Step, Shutdown};
use lavenderseam_core::record::{self, Document, Id, Kind, Phase, Record, Schema};
use lavenderseam_platform::write::{self, Change, Outcome, Policy};
use lavenderseam_platform::{Error, Store};

use crate::shared::Shared;
use crate::{Announcement, Role};

/// Pause before an announcement that failed is tried again.
const RETRY: Duration = Duration::from_secs(1);
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
async fn serve<S: Store>(shared: &Shared<S>, announcement: &Announcement, mut shutdown: Shutdown) {
    let mut wanted = announcement.subscribe();
    while shutdown.phase() == Step::Running {
        let phase = *wanted.borrow_and_update();
        let announced = tokio::select! {
            announced = announce(shared, phase) => announced,
            () = shutdown.draining() => return,
        };
        let pause = if announced.is_ok() { None } else { Some(RETRY) };
        if let Err(error) = announced {
            shared
                .log
                .warn(format_args!("can't announce the process: {error}"));
        }
        tokio::select! {
            _ = wanted.changed() => {}
            () = elapsed(pause) => {}
            () = shutdown.draining() => {}
        }
    }
}

async fn elapsed(pause: Option<Duration>) {
    match pause {
        Some(pause) => tokio::time::sleep(pause).await,
        None => std::future::pending().await,
    }
}

/// Announces the planned stop. A balancer has no flows to finish, so its record goes at once.
async fn leave<S: Store>(shared: &Shared<S>) {
    let left = match shared.identity.role {
        Role::Balancer(_) => delete(shared).await,
        Role::Agent { .. } => announce(shared, Phase::Leaving).await,
    };
    if let Err(error) = left {
        shared
            .log
            .warn(format_args!("can't announce the stop: {error}"));
    }
}

/// Removes the record of an agent that has finished its flows.
async fn remove<S: Store>(shared: &Shared<S>) {
    if let Err(error) = delete(shared).await {
        shared
            .log
            .warn(format_args!("can't delete the process' record: {error}"));
    }
}

async fn announce<S: Store>(shared: &Shared<S>, phase: Phase) -> Result<(), Error> {
    change(shared, |held| {
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
async fn delete<S: Store>(shared: &Shared<S>) -> Result<(), Error> {
    let own = shared.identity.incarnation;
    change(shared, |held| match held.and_then(incarnation) {
        Some(held) if held == own => Change::Delete,
        _ => Change::Keep,
    })
    .await
}

async fn change<S: Store>(
    shared: &Shared<S>,
    mut decide: impl FnMut(Option<&Document>) -> Change,
) -> Result<(), Error> {
    let decide = |held: Option<&lavenderseam_core::catalog::Entry>| {
        decide(held.and_then(|entry| entry.document.as_ref()))
    };
    let id = shared.id();
    match write::update(&shared.store, &id, Policy::default(), decide).await? {
        Outcome::Written(entry) => shared.apply(vec![entry]),
        Outcome::Kept(held) => shared.apply(held.into_iter().collect()),
    }
    Ok(())
}

fn blank(id: &Id) -> Document {
    Document::new(id.kind, &id.name, Schema(1))
}

fn incarnation(document: &Document) -> Option<lavenderseam_core::id::Incarnation> {
    match document.kind {
        Kind::Target => Some(record::Target::read(document).ok()?.incarnation),
        _ => Some(record::Balancer::read(document).ok()?.incarnation),
    }
}

impl<S: Store> Shared<S> {
    /// Identity of the process' own record.
    pub(crate) fn id(&self) -> Id {
        match &self.identity.role {
            Role::Balancer(name) => Id::new(Kind::Balancer, name),
            Role::Agent { target, .. } => Id::new(Kind::Target, target),
        }
    }

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
