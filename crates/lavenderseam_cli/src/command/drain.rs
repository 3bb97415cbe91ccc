//! Draining targets.

use argh::FromArgs;
use lavenderseam_core::id;
use lavenderseam_core::record::{self, Document, Id, Kind, Record, Schema};
use lavenderseam_platform::Store;
use serde_json::json;

use super::{delete, store_one};
use crate::edit::Editor;
use crate::{Error, Report};

/// Drains a target: it gets no new flows and finishes those that it has.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// name of the target
    #[argh(positional)]
    pub target: id::Target,
}

/// Lets a drained target serve again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "undrain")]
pub struct Undrain {
    /// name of the target
    #[argh(positional)]
    pub target: id::Target,
}

/// Drains a target.
///
/// # Errors
///
/// Returns [`Error::Missing`] if no such target has announced itself, or another [`Error`].
pub async fn drain<S: Store>(
    editor: &Editor<'_, S>,
    target: &id::Target,
    dry_run: bool,
) -> Result<Report, Error> {
    let announced = Id::new(Kind::Target, target);
    if editor.get(&announced).await?.is_none() {
        return Err(Error::Missing(announced));
    }
    let held = editor.get(&Id::new(Kind::Drain, target)).await?;
    let stored = held.as_ref().and_then(|entry| entry.document.clone());
    let new = || Document::new(Kind::Drain, target, Schema(1));
    let mut document = stored.unwrap_or_else(new);
    let target = target.clone();
    record::Drain { target }.write(&mut document);
    store_one(editor, held.as_ref(), document, dry_run).await
}

/// Lets a drained target serve again; one that isn't drained stays as it is.
///
/// # Errors
///
/// Returns [`Error`] if the store can't be read or written.
pub async fn undrain<S: Store>(
    editor: &Editor<'_, S>,
    target: &id::Target,
    dry_run: bool,
) -> Result<Report, Error> {
    let id = Id::new(Kind::Drain, target);
    match delete::delete(editor, &id, dry_run).await {
        Err(Error::Missing(_)) => Ok(Report::new(
            format!("{target} isn't drained\n"),
            json!({ "id": id, "result": "unchanged" }),
        )),
        other => other,
    }
}
