//! The `drain` and `undrain` commands.

use argh::FromArgs;
use lavenderseam_core::id;
use lavenderseam_core::record::{self, Document, Id, Kind, Record, Schema};
use lavenderseam_platform::Store;
use serde_json::json;

use super::{delete, write_document};
use crate::deadline_store::DeadlineStore;
use crate::{Error, Report};

/// Drains a target: it takes no new flows and keeps its established ones until they end.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// name of the target
    #[argh(positional)]
    pub target: id::Target,
}

/// Ends the drain of a target, which takes new flows again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "undrain")]
pub struct Undrain {
    /// name of the target
    #[argh(positional)]
    pub target: id::Target,
}

/// Writes the drain record of a target.
///
/// # Errors
///
/// Returns [`Error::NotFound`] if no target has announced itself under the name, or another
/// [`Error`].
pub async fn drain<S: Store>(
    store: &DeadlineStore<'_, S>,
    target: &id::Target,
    dry_run: bool,
) -> Result<Report, Error> {
    let target_id = Id::new(Kind::Target, target);
    if store.get(&target_id).await?.is_none() {
        return Err(Error::NotFound(target_id));
    }
    let current = store.get(&Id::new(Kind::Drain, target)).await?;
    let stored_document = current.as_ref().and_then(|entry| entry.document.clone());
    let new_document = || Document::new(Kind::Drain, target, Schema(1));
    let mut document = stored_document.unwrap_or_else(new_document);
    let target = target.clone();
    record::Drain { target }.write(&mut document);
    write_document(store, current.as_ref(), document, dry_run).await
}

/// Deletes the drain record of a target; does nothing if the target is not being drained.
///
/// # Errors
///
/// Returns [`Error`] if the store can't be read or written.
pub async fn undrain<S: Store>(
    store: &DeadlineStore<'_, S>,
    target: &id::Target,
    dry_run: bool,
) -> Result<Report, Error> {
    let id = Id::new(Kind::Drain, target);
    match delete::delete(store, &id, dry_run).await {
        Err(Error::NotFound(_)) => Ok(Report::new(
            format!("{target} isn't drained\n"),
            json!({ "id": id, "result": "unchanged" }),
        )),
        other => other,
    }
}
