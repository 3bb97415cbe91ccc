//! In-memory store with fault injection, for tests.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lavenderseam_core::catalog::{Entry, Epoch, Revision};
use lavenderseam_core::record::{Document, Id};
use tokio::sync::watch;

use crate::{Condition, Error, ListResponse, Store};

/// Faults that the in-memory store injects.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Calls fail with [`Error::Unreachable`].
    pub unreachable: bool,
    /// Time before each call is handled.
    pub delay: Duration,
    /// Number of next writes that take effect but fail with [`Error::NoResponse`].
    pub lost_responses: u32,
    /// Number of next writes that fail with [`Error::NoResponse`] without taking effect.
    pub lost_writes: u32,
    /// Number of calls until the rate limit rejects all further ones; `None` for no limit.
    pub calls_until_throttled: Option<u32>,
}

/// In-memory store with fault injection.
#[derive(Debug)]
pub struct FakeStore {
    state: Mutex<State>,
    /// Revision of the last write.
    head: watch::Sender<Revision>,
}

/// Records, faults and counters of the store.
#[derive(Debug, Default)]
struct State {
    /// Last write of every record, including deletions.
    entries: BTreeMap<Id, Entry>,
    faults: Faults,
    calls: u64,
    /// Watches from before this revision fail with [`Error::RevisionExpired`].
    compacted_revision: Revision,
}

/// Copy of the records of a store.
#[derive(Clone, Debug)]
pub struct Snapshot {
    entries: BTreeMap<Id, Entry>,
    number: u64,
}

impl FakeStore {
    /// Creates an empty store without faults.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: Mutex::default(),
            head: watch::Sender::new(Revision(0)),
        }
    }

    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the number of calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Compacts the history: watches that started at an earlier revision must list again.
    pub fn compact(&self) {
        self.lock().compacted_revision = *self.head.borrow();
    }

    /// Returns a copy of the records.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            entries: self.lock().entries.clone(),
            number: self.head.borrow().number(),
        }
    }

    /// Replaces the records by a copy, which starts a new epoch: the numbers of lost writes are
    /// assigned again.
    pub fn restore(&self, snapshot: Snapshot) {
        let mut state = self.lock();
        let epoch = Epoch(self.head.borrow().epoch().0 + 1);
        let in_epoch = |number| Revision::new(epoch, number).unwrap_or_default();
        state.entries = snapshot.entries;
        for entry in state.entries.values_mut() {
            entry.revision = in_epoch(entry.revision.number());
        }
        self.head.send_replace(in_epoch(snapshot.number));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and injects the faults that prevent it from being handled.
    async fn begin_call(&self) -> Result<(), Error> {
        let faults = {
            let mut state = self.lock();
            state.calls += 1;
            state.faults
        };
        tokio::time::sleep(faults.delay).await;
        if faults.unreachable {
            return Err(Error::Unreachable);
        }
        let mut state = self.lock();
        match &mut state.faults.calls_until_throttled {
            Some(0) => Err(Error::Throttled {
                retry_after: Duration::from_millis(100),
            }),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Writes or deletes a record if the condition holds.
    fn write(
        &self,
        id: &Id,
        document: Option<Document>,
        condition: Condition,
    ) -> Result<Revision, Error> {
        let mut state = self.lock();
        if decrement(&mut state.faults.lost_writes) {
            return Err(Error::NoResponse);
        }
        let current = state
            .entries
            .get(id)
            .filter(|entry| entry.document.is_some());
        let current = current.map(|entry| entry.revision);
        let condition_holds = match condition {
            Condition::Absent => current.is_none(),
            Condition::AtRevision(revision) => current == Some(revision),
        };
        if !condition_holds {
            return Err(Error::Conflict(current));
        }
        let revision = Revision(self.head.borrow().0 + 1);
        let entry = match document {
            Some(document) => Entry::written(revision, document),
            None => Entry::deletion(id.clone(), revision),
        };
        state.entries.insert(id.clone(), entry);
        self.head.send_replace(revision);
        if decrement(&mut state.faults.lost_responses) {
            return Err(Error::NoResponse);
        }
        Ok(revision)
    }
}

impl Default for FakeStore {
    fn default() -> Self {
        Self::new()
    }
}

impl Store for FakeStore {
    async fn get(&self, id: &Id) -> Result<Option<Entry>, Error> {
        self.begin_call().await?;
        let entry = self.lock().entries.get(id).cloned();
        Ok(entry.filter(|entry| entry.document.is_some()))
    }

    async fn list(&self) -> Result<ListResponse, Error> {
        self.begin_call().await?;
        let state = self.lock();
        let existing = state
            .entries
            .values()
            .filter(|entry| entry.document.is_some());
        Ok(ListResponse {
            errors: Vec::new(),
            entries: existing.cloned().collect(),
            revision: *self.head.borrow(),
        })
    }

    async fn put(&self, document: &Document, condition: Condition) -> Result<Revision, Error> {
        self.begin_call().await?;
        self.write(&document.id(), Some(document.clone()), condition)
    }

    async fn delete(&self, id: &Id, expected_revision: Revision) -> Result<Revision, Error> {
        self.begin_call().await?;
        self.write(id, None, Condition::AtRevision(expected_revision))
    }

    async fn watch(&self, after: Revision, wait: Duration) -> Result<ListResponse, Error> {
        self.begin_call().await?;
        if after < self.lock().compacted_revision || after.epoch() != self.head.borrow().epoch() {
            return Err(Error::RevisionExpired);
        }
        let mut head = self.head.subscribe();
        let _ = tokio::time::timeout(wait, head.wait_for(|head| *head > after)).await;
        let state = self.lock();
        if state.faults.unreachable {
            return Err(Error::NoResponse);
        }
        if after.epoch() != self.head.borrow().epoch() {
            return Err(Error::RevisionExpired);
        }
        let newer = state
            .entries
            .values()
            .filter(|entry| entry.revision > after);
        let mut entries: Vec<Entry> = newer.cloned().collect();
        entries.sort_by_key(|entry| entry.revision);
        Ok(ListResponse {
            errors: Vec::new(),
            entries,
            revision: *self.head.borrow(),
        })
    }
}

/// Decrements a counter; returns `true` if it was above zero.
fn decrement(count: &mut u32) -> bool {
    let was_positive = *count > 0;
    *count = count.saturating_sub(1);
    was_positive
}
