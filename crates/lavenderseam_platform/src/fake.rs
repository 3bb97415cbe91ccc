//! A store in memory with faults on demand, for tests.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lavenderseam_core::catalog::{Entry, Revision};
use lavenderseam_core::record::{Document, Id};
use tokio::sync::watch;

use crate::{Condition, Error, List, Store};

/// Faults that a fake store shows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Calls fail as unreachable.
    pub away: bool,
    /// Calls answer only after this time.
    pub delay: Duration,
    /// Answers of the next writes are lost after the write took effect.
    pub lost_answers: u32,
    /// The next writes are lost before they take effect.
    pub lost_writes: u32,
    /// Calls that are still answered; the rest are refused for their rate.
    pub allowance: Option<u32>,
}

/// A store in memory.
#[derive(Debug)]
pub struct Fake {
    state: Mutex<State>,
    head: watch::Sender<Revision>,
}

#[derive(Debug, Default)]
struct State {
    entries: BTreeMap<Id, Entry>,
    faults: Faults,
    calls: u64,
    kept_after: Revision,
}

impl Fake {
    /// An empty store without faults.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: Mutex::default(),
            head: watch::Sender::new(Revision(0)),
        }
    }

    /// Replaces the faults.
    pub fn set(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Forgets the history: watches from before must list anew.
    pub fn compact(&self) {
        self.lock().kept_after = *self.head.borrow();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and applies the faults that come before it.
    async fn enter(&self) -> Result<(), Error> {
        let faults = {
            let mut state = self.lock();
            state.calls += 1;
            state.faults
        };
        tokio::time::sleep(faults.delay).await;
        if faults.away {
            return Err(Error::Unreachable);
        }
        let mut state = self.lock();
        match &mut state.faults.allowance {
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

    fn write(
        &self,
        id: &Id,
        document: Option<Document>,
        condition: Condition,
    ) -> Result<Revision, Error> {
        let mut state = self.lock();
        if take(&mut state.faults.lost_writes) {
            return Err(Error::Unanswered);
        }
        let held = state
            .entries
            .get(id)
            .filter(|entry| entry.document.is_some());
        let held = held.map(|entry| entry.revision);
        let holds = match condition {
            Condition::Absent => held.is_none(),
            Condition::At(revision) => held == Some(revision),
        };
        if !holds {
            return Err(Error::Conflict(held));
        }
        let revision = Revision(self.head.borrow().0 + 1);
        let entry = match document {
            Some(document) => Entry::with_document(revision, document),
            None => Entry::new(id.clone(), revision),
        };
        state.entries.insert(id.clone(), entry);
        self.head.send_replace(revision);
        if take(&mut state.faults.lost_answers) {
            return Err(Error::Unanswered);
        }
        Ok(revision)
    }
}

impl Default for Fake {
    fn default() -> Self {
        Self::new()
    }
}

impl Store for Fake {
    async fn get(&self, id: &Id) -> Result<Option<Entry>, Error> {
        self.enter().await?;
        let entry = self.lock().entries.get(id).cloned();
        Ok(entry.filter(|entry| entry.document.is_some()))
    }

    async fn list(&self) -> Result<List, Error> {
        self.enter().await?;
        let state = self.lock();
        let present = state
            .entries
            .values()
            .filter(|entry| entry.document.is_some());
        Ok(List {
            entries: present.cloned().collect(),
            revision: *self.head.borrow(),
        })
    }

    async fn put(&self, document: &Document, condition: Condition) -> Result<Revision, Error> {
        self.enter().await?;
        self.write(&document.id(), Some(document.clone()), condition)
    }

    async fn delete(&self, id: &Id, held: Revision) -> Result<Revision, Error> {
        self.enter().await?;
        self.write(id, None, Condition::At(held))
    }

    async fn watch(&self, after: Revision, wait: Duration) -> Result<List, Error> {
        self.enter().await?;
        if after < self.lock().kept_after {
            return Err(Error::Gone);
        }
        let mut head = self.head.subscribe();
        let _ = tokio::time::timeout(wait, head.wait_for(|head| *head > after)).await;
        let state = self.lock();
        if state.faults.away {
            return Err(Error::Unanswered);
        }
        let newer = state
            .entries
            .values()
            .filter(|entry| entry.revision > after);
        let mut entries: Vec<Entry> = newer.cloned().collect();
        entries.sort_by_key(|entry| entry.revision);
        Ok(List {
            entries,
            revision: *self.head.borrow(),
        })
    }
}

fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}
