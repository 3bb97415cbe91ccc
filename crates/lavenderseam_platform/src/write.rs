//! Conditional changes of records.
//!
//! A change is decided on the record as read and written under the condition that it still is so.
//! When another writer was faster, the change is decided anew. When the answer to a write is lost,
//! the record is read back: the token drawn for the write tells whether it took effect. The same
//! write may be sent again under the same condition, so it takes effect at most once.
//!
//! When another write came between a lost answer and the reading back, nobody can tell whether the
//! first one took effect before it. The change is then decided anew on what is there, so a change
//! must name the content it wants and not add to what it finds.

use std::time::Duration;

use lavenderseam_core::catalog::{Entry, Revision};
use lavenderseam_core::record::{Document, Id, WriteToken};
use rand::RngExt as _;
use rand::rand_core::UnwrapErr;
use rand::rngs::SysRng;

use crate::{Condition, Error, Store};

/// What a change makes of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The record gets this content.
    Put(Document),
    /// The record goes.
    Delete,
    /// The record stays as it is.
    Keep,
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record was written or deleted by this change.
    Written(Entry),
    /// The change kept the record as it is; holds it if it exists.
    Kept(Option<Entry>),
}

/// How long a change is tried.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Calls that may fail before the change is given up.
    pub attempts: u32,
    /// Longest pause after the first failed call; it doubles with each.
    pub pause: Duration,
    /// Longest pause.
    pub pause_limit: Duration,
}

/// What reading back told about a write without an answer.
enum Settled {
    Effective(Entry),
    Pending,
    Superseded,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            attempts: 6,
            pause: Duration::from_millis(50),
            pause_limit: Duration::from_secs(2),
        }
    }
}

/// Changes a record: reads it, lets `change` decide and writes under a condition; decides again
/// after a conflict and settles a lost answer by reading back.
///
/// # Errors
///
/// Returns the last [`Error`] once the attempts are used up. [`Error::Unanswered`] means that the
/// write may have taken effect; after any other error it has not.
pub async fn update<S: Store>(
    store: &S,
    id: &Id,
    policy: Policy,
    mut change: impl FnMut(Option<&Entry>) -> Change,
) -> Result<Outcome, Error> {
    let mut retry = Retry::new(policy);
    loop {
        let held = read(store, id, &mut retry).await?;
        let wanted = match change(held.as_ref()) {
            Change::Keep => return Ok(Outcome::Kept(held)),
            Change::Delete if held.is_none() => return Ok(Outcome::Kept(None)),
            Change::Delete => None,
            Change::Put(document) => Some(with_token(document)),
        };
        if let Some(entry) = write(store, id, held.as_ref(), wanted, &mut retry).await? {
            return Ok(Outcome::Written(entry));
        }
    }
}

/// Reads a record, trying again after failures.
async fn read<S: Store>(store: &S, id: &Id, retry: &mut Retry) -> Result<Option<Entry>, Error> {
    loop {
        match store.get(id).await {
            Ok(entry) => return Ok(entry),
            // A read that isn't answered has written nothing.
            Err(Error::Unanswered) => retry.after(Error::Unreachable).await?,
            Err(error) => retry.after(error).await?,
        }
    }
}

/// Writes under the condition that the record is as `held`; none if it no longer is.
async fn write<S: Store>(
    store: &S,
    id: &Id,
    held: Option<&Entry>,
    wanted: Option<Document>,
    retry: &mut Retry,
) -> Result<Option<Entry>, Error> {
    let mut unsettled = false;
    loop {
        let error = match send(store, id, held, wanted.as_ref()).await {
            Ok(revision) => return Ok(Some(entry(id, revision, wanted))),
            Err(error) => error,
        };
        unsettled |= !error.surely_not_written();
        if !unsettled {
            if matches!(error, Error::Conflict(_)) {
                retry.again(error)?;
                return Ok(None);
            }
            retry.after(error).await?;
            continue;
        }
        match settle(store, id, held, wanted.as_ref(), retry).await? {
            Settled::Effective(entry) => return Ok(Some(entry)),
            Settled::Pending => retry.after(Error::Unanswered).await?,
            Settled::Superseded => {
                retry.uncertain = true;
                retry.again(Error::Unanswered)?;
                return Ok(None);
            }
        }
    }
}

async fn send<S: Store>(
    store: &S,
    id: &Id,
    held: Option<&Entry>,
    wanted: Option<&Document>,
) -> Result<Revision, Error> {
    match (wanted, held) {
        (Some(document), Some(held)) => store.put(document, Condition::At(held.revision)).await,
        (Some(document), None) => store.put(document, Condition::Absent).await,
        (None, Some(held)) => store.delete(id, held.revision).await,
        (None, None) => Err(Error::Conflict(None)),
    }
}

/// Reads back after a lost answer.
async fn settle<S: Store>(
    store: &S,
    id: &Id,
    held: Option<&Entry>,
    wanted: Option<&Document>,
    retry: &mut Retry,
) -> Result<Settled, Error> {
    let found = loop {
        match store.get(id).await {
            Ok(found) => break found,
            Err(_) => retry.after(Error::Unanswered).await?,
        }
    };
    let same = found.as_ref().map(|entry| entry.revision) == held.map(|entry| entry.revision);
    Ok(match (found, wanted) {
        (Some(entry), Some(document)) if is_own(&entry, document) => Settled::Effective(entry),
        // Whoever deleted it, the record is gone as wanted. The revision of the deletion is not
        // known; it is above the one held.
        (None, None) => {
            let revision = held.map_or(Revision(0), |entry| entry.revision);
            Settled::Effective(Entry::new(id.clone(), Revision(revision.0 + 1)))
        }
        _ if same => Settled::Pending,
        _ => Settled::Superseded,
    })
}

fn is_own(found: &Entry, document: &Document) -> bool {
    let token = found
        .document
        .as_ref()
        .and_then(|found| found.write_token.as_ref());
    token.is_some() && token == document.write_token.as_ref()
}

fn entry(id: &Id, revision: Revision, wanted: Option<Document>) -> Entry {
    match wanted {
        Some(document) => Entry::with_document(revision, document),
        None => Entry::new(id.clone(), revision),
    }
}

fn with_token(mut document: Document) -> Document {
    document.write_token = Some(WriteToken(format!(
        "{:032x}",
        UnwrapErr(SysRng).random::<u128>()
    )));
    document
}

/// Attempts left and the pause before the next.
struct Retry {
    left: u32,
    pause: Duration,
    limit: Duration,
    /// A write whose effect can no longer be told has been sent.
    uncertain: bool,
}

impl Retry {
    const fn new(policy: Policy) -> Self {
        Self {
            left: policy.attempts,
            pause: policy.pause,
            limit: policy.pause_limit,
            uncertain: false,
        }
    }

    /// Uses up an attempt.
    fn again(&mut self, error: Error) -> Result<(), Error> {
        let error = if self.uncertain {
            Error::Unanswered
        } else {
            error
        };
        self.left = self.left.checked_sub(1).ok_or(error)?;
        Ok(())
    }

    /// Uses up an attempt and pauses.
    async fn after(&mut self, error: Error) -> Result<(), Error> {
        let asked = match &error {
            Error::Throttled { retry_after } => *retry_after,
            Error::Oversized | Error::Protocol(_) => return Err(error),
            _ => Duration::ZERO,
        };
        self.again(error)?;
        let pause = self.pause.mul_f64(UnwrapErr(SysRng).random_range(0.5..1.0));
        self.pause = (self.pause * 2).min(self.limit);
        tokio::time::sleep(asked.max(pause)).await;
        Ok(())
    }
}
