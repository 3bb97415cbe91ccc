//! Read-modify-write updates of records with optimistic concurrency control.
//!
//! An update reads a record, decides on its new content and writes it under the condition that the
//! record is still at the revision that was read. After a conflict with another writer, it reads
//! and decides again. When the response to a write is lost, the record is read back: the random
//! write token in the document shows whether the write took effect. If it didn't, the same write is
//! sent again under the same condition, so it takes effect at most once.
//!
//! If another write happens between a lost response and the read-back, it is impossible to
//! determine whether the first write took effect before it. The update then decides again on the
//! record that it finds. Updates should therefore be idempotent: set the desired content rather
//! than, say, increment a counter.

use std::time::Duration;

use lavenderseam_core::catalog::{Entry, Revision};
use lavenderseam_core::record::{Document, Id, WriteToken};
use rand::RngExt as _;
use rand::rand_core::UnwrapErr;
use rand::rngs::SysRng;

use crate::{Condition, Error, Store};

/// Decision of an update about a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Write this document.
    Put(Document),
    /// Delete the record.
    Delete,
    /// Leave the record as it is.
    Keep,
}

/// Result of an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The update wrote or deleted the record; holds the new entry.
    Written(Entry),
    /// The update left the record as it is; holds the record if it exists.
    Unchanged(Option<Entry>),
}

/// Retries of an update and the delays between them.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Number of failed calls and conflicts after which the next one fails the update.
    pub retries: u32,
    /// Upper bound of the random delay after the first failed call; doubled after each.
    pub initial_delay: Duration,
    /// Limit up to which `initial_delay` is doubled.
    pub max_delay: Duration,
}

/// State of a write whose response was lost, as found by reading the record back.
enum ReadBack {
    /// The write took effect, or the record is deleted as desired.
    Applied(Entry),
    /// The record is unchanged, so the write hasn't taken effect so far.
    Unchanged,
    /// Another write changed the record; whether this one took effect before it is unknown.
    Superseded,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            retries: 6,
            initial_delay: Duration::from_millis(50),
            max_delay: Duration::from_secs(2),
        }
    }
}

/// Reads a record, lets `decide` choose its new content and writes the result under the condition
/// that the record hasn't changed. Decides again after a conflict, and reads the record back when
/// the response to a write is lost.
///
/// # Errors
///
/// Returns the last [`Error`] once the retries are used up. After [`Error::NoResponse`] the write
/// may have taken effect; after any other error it has not.
pub async fn update<S: Store>(
    store: &S,
    id: &Id,
    policy: RetryPolicy,
    mut decide: impl FnMut(Option<&Entry>) -> Decision,
) -> Result<UpdateOutcome, Error> {
    let mut retry = RetryState::new(policy);
    loop {
        let base = read(store, id, &mut retry).await?;
        let desired = match decide(base.as_ref()) {
            Decision::Keep => return Ok(UpdateOutcome::Unchanged(base)),
            Decision::Delete if base.is_none() => return Ok(UpdateOutcome::Unchanged(None)),
            Decision::Delete => None,
            Decision::Put(document) => Some(with_write_token(document)),
        };
        if let Some(entry) = write(store, id, base.as_ref(), desired, &mut retry).await? {
            return Ok(UpdateOutcome::Written(entry));
        }
    }
}

/// Reads a record and retries after failures.
async fn read<S: Store>(
    store: &S,
    id: &Id,
    retry: &mut RetryState,
) -> Result<Option<Entry>, Error> {
    loop {
        match store.get(id).await {
            Ok(entry) => return Ok(entry),
            // A read without a response leaves no doubt about a write.
            Err(Error::NoResponse) => retry.wait(Error::Unreachable).await?,
            Err(error) => retry.wait(error).await?,
        }
    }
}

/// Writes under the condition that the record is still as in `base`. Returns `None` if another
/// write changed it, so that the update must decide again.
async fn write<S: Store>(
    store: &S,
    id: &Id,
    base: Option<&Entry>,
    desired: Option<Document>,
    retry: &mut RetryState,
) -> Result<Option<Entry>, Error> {
    let mut may_have_taken_effect = false;
    loop {
        let error = match send_write(store, id, base, desired.as_ref()).await {
            Ok(revision) => return Ok(Some(resulting_entry(id, revision, desired))),
            Err(error) => error,
        };
        may_have_taken_effect |= !error.guarantees_not_written();
        if !may_have_taken_effect {
            if matches!(error, Error::Conflict(_)) {
                retry.use_retry(error)?;
                return Ok(None);
            }
            retry.wait(error).await?;
            continue;
        }
        match read_back(store, id, base, desired.as_ref(), retry).await? {
            ReadBack::Applied(entry) => return Ok(Some(entry)),
            ReadBack::Unchanged => retry.wait(Error::NoResponse).await?,
            ReadBack::Superseded => {
                retry.effect_unknown = true;
                retry.use_retry(Error::NoResponse)?;
                return Ok(None);
            }
        }
    }
}

/// Sends one conditional write or deletion.
async fn send_write<S: Store>(
    store: &S,
    id: &Id,
    base: Option<&Entry>,
    desired: Option<&Document>,
) -> Result<Revision, Error> {
    match (desired, base) {
        (Some(document), Some(base)) => {
            store
                .put(document, Condition::AtRevision(base.revision))
                .await
        }
        (Some(document), None) => store.put(document, Condition::Absent).await,
        (None, Some(base)) => store.delete(id, base.revision).await,
        (None, None) => Err(Error::Conflict(None)),
    }
}

/// Reads the record back after a lost response to find out whether the write took effect.
async fn read_back<S: Store>(
    store: &S,
    id: &Id,
    base: Option<&Entry>,
    desired: Option<&Document>,
    retry: &mut RetryState,
) -> Result<ReadBack, Error> {
    let found = loop {
        match store.get(id).await {
            Ok(found) => break found,
            Err(_) => retry.wait(Error::NoResponse).await?,
        }
    };
    let unchanged = found.as_ref().map(|entry| entry.revision) == base.map(|entry| entry.revision);
    Ok(match (found, desired) {
        (Some(entry), Some(document)) if same_token(&entry, document) => ReadBack::Applied(entry),
        // The record is deleted as desired, whoever did it. The revision of the deletion is
        // unknown, but it is above the one that was read.
        (None, None) => {
            let revision = base.map_or(Revision(0), |entry| entry.revision);
            ReadBack::Applied(Entry::deletion(id.clone(), Revision(revision.0 + 1)))
        }
        _ if unchanged => ReadBack::Unchanged,
        _ => ReadBack::Superseded,
    })
}

/// Returns `true` if the record found carries the write token of `document`.
fn same_token(found: &Entry, document: &Document) -> bool {
    let token = found
        .document
        .as_ref()
        .and_then(|found| found.write_token.as_ref());
    token.is_some() && token == document.write_token.as_ref()
}

/// Returns the entry that a write or deletion results in.
fn resulting_entry(id: &Id, revision: Revision, desired: Option<Document>) -> Entry {
    match desired {
        Some(document) => Entry::written(revision, document),
        None => Entry::deletion(id.clone(), revision),
    }
}

/// Adds a random write token to a document, which identifies the write when it is read back.
fn with_write_token(mut document: Document) -> Document {
    document.write_token = Some(WriteToken(format!(
        "{:032x}",
        UnwrapErr(SysRng).random::<u128>()
    )));
    document
}

/// Remaining retries of an update and the delay before the next one.
struct RetryState {
    retries_left: u32,
    delay: Duration,
    max_delay: Duration,
    /// `true` if a write was sent and it is unknown whether it took effect.
    /// The update then fails with [`Error::NoResponse`], whatever the last error.
    effect_unknown: bool,
}

impl RetryState {
    const fn new(policy: RetryPolicy) -> Self {
        Self {
            retries_left: policy.retries,
            delay: policy.initial_delay,
            max_delay: policy.max_delay,
            effect_unknown: false,
        }
    }

    /// Uses up a retry, without a delay.
    ///
    /// # Errors
    ///
    /// Returns the error if no retry is left.
    fn use_retry(&mut self, error: Error) -> Result<(), Error> {
        let error = if self.effect_unknown {
            Error::NoResponse
        } else {
            error
        };
        self.retries_left = self.retries_left.checked_sub(1).ok_or(error)?;
        Ok(())
    }

    /// Uses up a retry and waits before it.
    ///
    /// # Errors
    ///
    /// Returns the error if no retry is left or if a retry would fail the same way.
    async fn wait(&mut self, error: Error) -> Result<(), Error> {
        let retry_after_delay = match &error {
            Error::Throttled { retry_after } => *retry_after,
            Error::TooLarge | Error::Protocol(_) => return Err(error),
            _ => Duration::ZERO,
        };
        self.use_retry(error)?;
        let delay = self.delay.mul_f64(UnwrapErr(SysRng).random_range(0.5..1.0));
        self.delay = (self.delay * 2).min(self.max_delay);
        tokio::time::sleep(retry_after_delay.max(delay)).await;
        Ok(())
    }
}
