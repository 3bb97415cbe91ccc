//! The commands, a module each.

pub mod apply;
pub mod delete;
pub mod domain;
pub mod drain;
pub mod explain;
pub mod read;
mod selector;
pub mod status;
pub mod trace;
pub mod watch;

pub use selector::Selector;

use lavenderseam_core::record::{Document, Id};
use lavenderseam_platform::Store;
use serde_json::json;

use crate::edit::Editor;
use crate::{Error, Report};

/// Writes a document unless the store holds the same, and reports it.
pub(crate) async fn store_one<S: Store>(
    editor: &Editor<'_, S>,
    held: Option<&lavenderseam_core::catalog::Entry>,
    wanted: Document,
    dry_run: bool,
) -> Result<Report, Error> {
    let id = wanted.id();
    let same = held.and_then(|entry| entry.document.as_ref());
    if same.is_some_and(|same| is_same(same, &wanted)) {
        let revision = held.map(|entry| entry.revision);
        return Ok(report(&id, "unchanged", json!({ "revision": revision })));
    }
    if dry_run {
        let write_token = None;
        let wanted = Document {
            write_token,
            ..wanted
        };
        return Ok(report(
            &id,
            "would be written",
            json!({ "document": wanted }),
        ));
    }
    let entry = editor.put(held, wanted).await?;
    let revision = entry.revision;
    let text = format!("{id}: written at revision {revision}\n");
    Ok(Report::new(
        text,
        json!({ "id": id, "result": "written", "revision": revision }),
    ))
}

fn report(id: &Id, result: &str, mut details: serde_json::Value) -> Report {
    details["id"] = json!(id);
    details["result"] = json!(result);
    Report::new(format!("{id}: {result}\n"), details)
}

/// Whether two documents differ in nothing but the token of their writes.
fn is_same(left: &Document, right: &Document) -> bool {
    let mut right = right.clone();
    right.write_token = left.write_token.clone();
    *left == right
}
