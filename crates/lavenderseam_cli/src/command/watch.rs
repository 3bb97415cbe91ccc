//! Printing changes as they come.

use std::time::Duration;

use argh::FromArgs;
use lavenderseam_core::catalog::{Entry, Revision};
use lavenderseam_core::record::Kind;
use lavenderseam_platform::{self as platform, Store};

use super::read;
use crate::edit::Editor;
use crate::{Error, Report};

/// Longest wait of one call.
const WAIT: Duration = Duration::from_secs(10);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(500);

/// Prints changes as they come.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct Watch {
    /// kind of the records; all unless given
    #[argh(positional)]
    pub kind: Option<Kind>,
    /// stop after this many changes
    #[argh(option)]
    pub count: Option<usize>,
}

/// Gives each change to `print` until enough have come.
///
/// A failure of the store is waited out, and no change is printed twice or out of order. Changes
/// that the store no longer keeps are replaced by the present records.
///
/// # Errors
///
/// Returns [`Error::Away`] if the store can't be read at the start.
pub async fn watch<S: Store>(
    editor: &Editor<'_, S>,
    arguments: &Watch,
    mut print: impl FnMut(Report),
) -> Result<(), Error> {
    let mut after = editor.list().await?.revision;
    let mut left = arguments.count.unwrap_or(usize::MAX);
    while left > 0 {
        for entry in next(editor.store(), &mut after).await {
            let wanted = arguments.kind.is_none_or(|kind| kind == entry.id.kind);
            if wanted && left > 0 {
                left -= 1;
                print(report(&entry));
            }
        }
    }
    Ok(())
}

async fn next<S: Store>(store: &S, after: &mut Revision) -> Vec<Entry> {
    let answer = match store.watch(*after, WAIT).await {
        Err(platform::Error::Gone) => store.list().await,
        other => other,
    };
    let Ok(list) = answer else {
        tokio::time::sleep(PAUSE).await;
        return Vec::new();
    };
    let newer = |entry: &Entry| entry.revision > *after;
    let mut entries: Vec<Entry> = list.entries.into_iter().filter(newer).collect();
    entries.sort_by_key(|entry| entry.revision);
    *after = (*after).max(list.revision);
    entries
}

fn report(entry: &Entry) -> Report {
    let mut text = String::new();
    read::line(&mut text, entry);
    let mut value = read::value(entry);
    value["id"] = serde_json::json!(entry.id);
    Report::new(text, value)
}
