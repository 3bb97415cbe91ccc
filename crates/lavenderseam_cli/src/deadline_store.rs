//! Store access with retries, and conditional writes whose outcome is resolved if the response is
//! lost.
//!
//! A write is conditional on the revision at which the record was read. If the response is lost,
//! the record is read again. If it carries the write token of this write, the write took effect. If
//! it is still at the base revision, the write has not taken effect yet; resending it is safe
//! because at most one of the two copies can meet the condition. In any other case the outcome is
//! unknown. The model `model/configuration.pml` checks this protocol.

use std::time::{Duration, Instant};

use lavenderseam_core::catalog::{Entry, Revision};
use lavenderseam_core::record::{Document, Id, WriteToken};
use lavenderseam_platform::{self as platform, Condition, Store};
use rand::RngExt as _;
use rand::rand_core::UnwrapErr;
use rand::rngs::SysRng;

use crate::{Conflict, Error};

/// Shortest delay before a call is retried; the store may request a longer one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A store whose calls are retried until a deadline.
#[derive(Clone, Copy, Debug)]
pub struct DeadlineStore<'a, S> {
    store: &'a S,
    deadline: Instant,
}

/// Outcome of a write whose response was lost, as determined by reading the record.
enum Outcome {
    /// The record is as the write would leave it.
    Applied(Entry),
    /// The record is still at the base revision.
    NotApplied,
    /// Another writer changed or deleted the record; the write may have taken effect before that.
    Unknown,
}

impl<'a, S: Store> DeadlineStore<'a, S> {
    /// Wraps a store; calls are retried until `timeout` has passed from now.
    #[must_use]
    pub fn new(store: &'a S, timeout: Duration) -> Self {
        Self {
            store,
            deadline: Instant::now() + timeout,
        }
    }

    /// Returns the store without retries.
    #[must_use]
    pub const fn inner(&self) -> &'a S {
        self.store
    }

    /// Returns a record, or `None` if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if the store can't be read before the deadline.
    pub async fn get(&self, id: &Id) -> Result<Option<Entry>, Error> {
        loop {
            match self.store.get(id).await {
                Ok(entry) => return Ok(entry.filter(|entry| entry.document.is_some())),
                Err(error) => self
                    .wait_before_retry(error)
                    .await
                    .map_err(Error::Unavailable)?,
            }
        }
    }

    /// Returns all records and the revision of the store.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if the store can't be read before the deadline.
    pub async fn list(&self) -> Result<platform::ListResponse, Error> {
        loop {
            match self.store.list().await {
                Ok(list) => {
                    for error in &list.errors {
                        eprintln!("lavenderseam: skipping a record in the store: {error}");
                    }
                    return Ok(list);
                }
                Err(error) => self
                    .wait_before_retry(error)
                    .await
                    .map_err(Error::Unavailable)?,
            }
        }
    }

    /// Writes a document if the record is still at the revision of `base`, or doesn't exist if
    /// there is no `base`. The document gets a new random write token.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`], [`Error::UnknownOutcome`], [`Error::Unavailable`] or
    /// [`Error::Rejected`].
    pub async fn put(&self, base: Option<&Entry>, mut document: Document) -> Result<Entry, Error> {
        document.write_token = Some(new_write_token());
        let id = document.id();
        self.write(&id, base, Some(&document)).await
    }

    /// Deletes a record if it is still at the revision of `base`.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`DeadlineStore::put`].
    pub async fn delete(&self, base: &Entry) -> Result<Entry, Error> {
        self.write(&base.id, Some(base), None).await
    }

    async fn write(
        &self,
        id: &Id,
        base: Option<&Entry>,
        desired: Option<&Document>,
    ) -> Result<Entry, Error> {
        let mut maybe_applied = false;
        loop {
            let error = match self.send_write(id, base, desired).await {
                Ok(revision) => return Ok(written_entry(id, revision, desired)),
                Err(error) => error,
            };
            maybe_applied |= !error.guarantees_not_written();
            if !maybe_applied {
                self.retry_or_fail(id, base, desired, error).await?;
                continue;
            }
            match self.resolve_outcome(id, base, desired).await? {
                Outcome::Applied(entry) => return Ok(entry),
                Outcome::Unknown => return Err(Error::UnknownOutcome(id.clone())),
                Outcome::NotApplied => self
                    .wait_before_retry(error)
                    .await
                    .map_err(|_| Error::UnknownOutcome(id.clone()))?,
            }
        }
    }

    async fn send_write(
        &self,
        id: &Id,
        base: Option<&Entry>,
        desired: Option<&Document>,
    ) -> Result<Revision, platform::Error> {
        match (desired, base) {
            (Some(document), Some(base)) => {
                let condition = Condition::AtRevision(base.revision);
                self.store.put(document, condition).await
            }
            (Some(document), None) => self.store.put(document, Condition::Absent).await,
            (None, Some(base)) => self.store.delete(id, base.revision).await,
            (None, None) => Err(platform::Error::Conflict(None)),
        }
    }

    /// Waits before the next attempt, or returns the final error of a write that did not take
    /// effect.
    async fn retry_or_fail(
        &self,
        id: &Id,
        base: Option<&Entry>,
        desired: Option<&Document>,
        error: platform::Error,
    ) -> Result<(), Error> {
        match error {
            platform::Error::Conflict(_) => {
                let current = self.store.get(id).await.ok().flatten();
                Err(Error::Conflict(Box::new(Conflict {
                    id: id.clone(),
                    base: base.cloned(),
                    desired: desired.cloned(),
                    current: current.filter(|entry| entry.document.is_some()),
                })))
            }
            platform::Error::TooLarge => Err(Error::Rejected(error)),
            error => self
                .wait_before_retry(error)
                .await
                .map_err(Error::Unavailable),
        }
    }

    /// Determines the outcome of a write whose response was lost.
    async fn resolve_outcome(
        &self,
        id: &Id,
        base: Option<&Entry>,
        desired: Option<&Document>,
    ) -> Result<Outcome, Error> {
        let found = self.get(id).await;
        let found = found.map_err(|_| Error::UnknownOutcome(id.clone()))?;
        let at_base_revision =
            found.as_ref().map(|entry| entry.revision) == base.map(|entry| entry.revision);
        Ok(match (found, desired) {
            (Some(entry), Some(document)) if has_token(&entry, document) => Outcome::Applied(entry),
            // The record is gone as desired, even if another writer deleted it.
            (None, None) => Outcome::Applied(Entry::deletion(id.clone(), Revision(0))),
            _ if at_base_revision => Outcome::NotApplied,
            _ => Outcome::Unknown,
        })
    }

    /// Waits before the next attempt, or returns the error if the deadline would pass meanwhile.
    async fn wait_before_retry(&self, error: platform::Error) -> Result<(), platform::Error> {
        let delay = match &error {
            platform::Error::Throttled { retry_after } => (*retry_after).max(MIN_RETRY_DELAY),
            _ => MIN_RETRY_DELAY,
        };
        if Instant::now() + delay >= self.deadline {
            return Err(error);
        }
        tokio::time::sleep(delay).await;
        Ok(())
    }
}

/// Returns the entry that the store holds after a successful write.
fn written_entry(id: &Id, revision: Revision, desired: Option<&Document>) -> Entry {
    match desired {
        Some(document) => Entry::written(revision, document.clone()),
        None => Entry::deletion(id.clone(), revision),
    }
}

/// Returns `true` if the stored record carries the write token of `document`.
fn has_token(found: &Entry, document: &Document) -> bool {
    let doc = found.document.as_ref();
    doc.is_some_and(|doc| doc.write_token.is_some() && doc.write_token == document.write_token)
}

fn new_write_token() -> WriteToken {
    WriteToken(format!("{:032x}", UnwrapErr(SysRng).random::<u128>()))
}
