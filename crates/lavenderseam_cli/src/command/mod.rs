//! Commands, each in its own module.

pub mod apply;
pub mod delete;
pub mod drain;
pub mod explain;
pub mod failure_domain;
pub mod read;
mod selector;
pub mod status;
pub mod trace;
pub mod watch;

pub use selector::Selector;

use lavenderseam_core::record::{Document, Id};
use lavenderseam_platform::Store;
use serde_json::json;

use crate::deadline_store::DeadlineStore;
use crate::{Error, Report};

/// Writes a document unless the stored one is the same, and reports the result.
pub(crate) async fn write_document<S: Store>(
    store: &DeadlineStore<'_, S>,
    current: Option<&lavenderseam_core::catalog::Entry>,
    desired: Document,
    dry_run: bool,
) -> Result<Report, Error> {
    let id = desired.id();
    let stored_document = current.and_then(|entry| entry.document.as_ref());
    if stored_document.is_some_and(|stored_document| is_same_record(stored_document, &desired)) {
        let revision = current.map(|entry| entry.revision);
        return Ok(report(&id, "unchanged", json!({ "revision": revision })));
    }
    if dry_run {
        let write_token = None;
        let desired = Document {
            write_token,
            ..desired
        };
        return Ok(report(
            &id,
            "would be written",
            json!({ "document": desired }),
        ));
    }
    let entry = store.put(current, desired).await?;
    let revision = entry.revision;
    let text = format!("{id}: written at revision {revision}\n");
    Ok(Report::new(
        text,
        json!({ "id": id, "result": "written", "revision": revision }),
    ))
}

/// Reports the result of a command for a record.
fn report(id: &Id, result: &str, mut details: serde_json::Value) -> Report {
    details["id"] = json!(id);
    details["result"] = json!(result);
    Report::new(format!("{id}: {result}\n"), details)
}

/// Returns `true` if two documents are equal apart from their write tokens.
fn is_same_record(left: &Document, right: &Document) -> bool {
    let mut right = right.clone();
    right.write_token = left.write_token.clone();
    *left == right
}
