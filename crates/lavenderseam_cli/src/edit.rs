//! One conditional write, settled if its answer is lost.
//!
//! A write is sent under the condition that the record is as it was read. If the answer is lost, the
//! record is read back: the write's own token means that it took effect; the revision that it was
//! based on means that it hasn't yet, and sending the same write again is safe, since at most one
//! of the two can meet the condition; anything else means that the outcome can't be told.
//! The model `model/configuration.pml` checks this.

use std::time::{Duration, Instant};

use lavenderseam_core::catalog::{Entry, Revision};
use lavenderseam_core::record::{Document, Id, WriteToken};
use lavenderseam_platform::{self as platform, Condition, Store};
use rand::RngExt as _;
use rand::rand_core::UnwrapErr;
use rand::rngs::SysRng;

use crate::{Conflict, Error};

/// Pause before a call is tried again, if the store names none.
const PAUSE: Duration = Duration::from_millis(100);

/// A store with the time until which calls are tried.
#[derive(Clone, Copy, Debug)]
pub struct Editor<'a, S> {
    store: &'a S,
    deadline: Instant,
}

enum Settled {
    Effective(Entry),
    Pending,
    Unknown,
}

impl<'a, S: Store> Editor<'a, S> {
    /// An editor that gives up after a time.
    #[must_use]
    pub fn new(store: &'a S, timeout: Duration) -> Self {
        Self {
            store,
            deadline: Instant::now() + timeout,
        }
    }

    /// The store.
    #[must_use]
    pub const fn store(&self) -> &'a S {
        self.store
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Away`] if the store can't be read before the deadline.
    pub async fn get(&self, id: &Id) -> Result<Option<Entry>, Error> {
        loop {
            match self.store.get(id).await {
                Ok(entry) => return Ok(entry.filter(|entry| entry.document.is_some())),
                Err(error) => self.pause(error).await.map_err(Error::Away)?,
            }
        }
    }

    /// Reads all records and the store's revision.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Away`] if the store can't be read before the deadline.
    pub async fn list(&self) -> Result<platform::List, Error> {
        loop {
            match self.store.list().await {
                Ok(list) => return Ok(list),
                Err(error) => self.pause(error).await.map_err(Error::Away)?,
            }
        }
    }

    /// Writes a document if the record is as `base`; a token of its own is drawn for it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`], [`Error::Unknown`], [`Error::Away`] or [`Error::Rejected`].
    pub async fn put(&self, base: Option<&Entry>, mut document: Document) -> Result<Entry, Error> {
        document.write_token = Some(token());
        let id = document.id();
        self.write(&id, base, Some(&document)).await
    }

    /// Deletes a record if it is as `base`.
    ///
    /// # Errors
    ///
    /// As [`Editor::put`].
    pub async fn delete(&self, base: &Entry) -> Result<Entry, Error> {
        self.write(&base.id, Some(base), None).await
    }

    async fn write(
        &self,
        id: &Id,
        base: Option<&Entry>,
        wanted: Option<&Document>,
    ) -> Result<Entry, Error> {
        let mut unsettled = false;
        loop {
            let error = match self.send(id, base, wanted).await {
                Ok(revision) => return Ok(entry(id, revision, wanted)),
                Err(error) => error,
            };
            unsettled |= !error.surely_not_written();
            if !unsettled {
                self.not_written(id, base, wanted, error).await?;
                continue;
            }
            match self.settle(id, base, wanted).await? {
                Settled::Effective(entry) => return Ok(entry),
                Settled::Unknown => return Err(Error::Unknown(id.clone())),
                Settled::Pending => self
                    .pause(error)
                    .await
                    .map_err(|_| Error::Unknown(id.clone()))?,
            }
        }
    }

    async fn send(
        &self,
        id: &Id,
        base: Option<&Entry>,
        wanted: Option<&Document>,
    ) -> Result<Revision, platform::Error> {
        match (wanted, base) {
            (Some(document), Some(base)) => {
                let condition = Condition::At(base.revision);
                self.store.put(document, condition).await
            }
            (Some(document), None) => self.store.put(document, Condition::Absent).await,
            (None, Some(base)) => self.store.delete(id, base.revision).await,
            (None, None) => Err(platform::Error::Conflict(None)),
        }
    }

    /// Waits before the next try, or tells why there is none.
    async fn not_written(
        &self,
        id: &Id,
        base: Option<&Entry>,
        wanted: Option<&Document>,
        error: platform::Error,
    ) -> Result<(), Error> {
        match error {
            platform::Error::Conflict(_) => {
                let present = self.store.get(id).await.ok().flatten();
                Err(Error::Conflict(Box::new(Conflict {
                    id: id.clone(),
                    base: base.cloned(),
                    wanted: wanted.cloned(),
                    present: present.filter(|entry| entry.document.is_some()),
                })))
            }
            platform::Error::Oversized => Err(Error::Rejected(error)),
            error => self.pause(error).await.map_err(Error::Away),
        }
    }

    async fn settle(
        &self,
        id: &Id,
        base: Option<&Entry>,
        wanted: Option<&Document>,
    ) -> Result<Settled, Error> {
        let found = self.get(id).await;
        let found = found.map_err(|_| Error::Unknown(id.clone()))?;
        let same = found.as_ref().map(|entry| entry.revision) == base.map(|entry| entry.revision);
        Ok(match (found, wanted) {
            (Some(entry), Some(document)) if is_own(&entry, document) => Settled::Effective(entry),
            // Whoever deleted it, the record is gone as wanted.
            (None, None) => Settled::Effective(Entry::new(id.clone(), Revision(0))),
            _ if same => Settled::Pending,
            _ => Settled::Unknown,
        })
    }

    /// Waits before the next try; returns the error if the deadline comes first.
    async fn pause(&self, error: platform::Error) -> Result<(), platform::Error> {
        let wait = match &error {
            platform::Error::Throttled { retry_after } => (*retry_after).max(PAUSE),
            _ => PAUSE,
        };
        if Instant::now() + wait >= self.deadline {
            return Err(error);
        }
        tokio::time::sleep(wait).await;
        Ok(())
    }
}

fn entry(id: &Id, revision: Revision, wanted: Option<&Document>) -> Entry {
    match wanted {
        Some(document) => Entry::with_document(revision, document.clone()),
        None => Entry::new(id.clone(), revision),
    }
}

fn is_own(found: &Entry, document: &Document) -> bool {
    let held = found.document.as_ref();
    held.is_some_and(|held| held.write_token.is_some() && held.write_token == document.write_token)
}

fn token() -> WriteToken {
    WriteToken(format!("{:032x}", UnwrapErr(SysRng).random::<u128>()))
}
