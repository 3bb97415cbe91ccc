//! The `watch` command, which prints record changes as they occur.

use std::time::Duration;

use argh::FromArgs;
use lavenderseam_core::catalog::{Entry, Revision};
use lavenderseam_core::record::Kind;
use lavenderseam_platform::{self as platform, Store};

use super::read;
use crate::deadline_store::DeadlineStore;
use crate::{Error, Report};

/// Longest time for which a watch call waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before a failed watch call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Prints record changes as they occur.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct Watch {
    /// kind of the records (default all)
    #[argh(positional)]
    pub kind: Option<Kind>,
    /// stop after this many changes
    #[argh(option)]
    pub count: Option<usize>,
}

/// Passes each change to `print` until the requested number of changes is reached.
///
/// Calls are retried while the store is unavailable. No change is printed twice or out of order. If
/// the store no longer keeps the changes since the last call, the current records are printed
/// instead.
///
/// # Errors
///
/// Returns [`Error::Unavailable`] if the first call can't read the store.
pub async fn watch<S: Store>(
    store: &DeadlineStore<'_, S>,
    arguments: &Watch,
    mut print: impl FnMut(Report),
) -> Result<(), Error> {
    let mut last_revision = store.list().await?.revision;
    let mut remaining = arguments.count.unwrap_or(usize::MAX);
    while remaining > 0 {
        for entry in next_changes(store.inner(), &mut last_revision).await {
            let is_selected = arguments.kind.is_none_or(|kind| kind == entry.id.kind);
            if is_selected && remaining > 0 {
                remaining -= 1;
                print(report(&entry));
            }
        }
    }
    Ok(())
}

/// Returns the changes after a revision and advances it; none if the call fails or times out.
async fn next_changes<S: Store>(store: &S, last_revision: &mut Revision) -> Vec<Entry> {
    let response = match store.watch(*last_revision, WATCH_TIMEOUT).await {
        Err(platform::Error::RevisionExpired) => store.list().await,
        other => other,
    };
    let Ok(list) = response else {
        tokio::time::sleep(RETRY_DELAY).await;
        return Vec::new();
    };
    let is_newer = |entry: &Entry| entry.revision > *last_revision;
    let mut entries: Vec<Entry> = list.entries.into_iter().filter(is_newer).collect();
    entries.sort_by_key(|entry| entry.revision);
    *last_revision = (*last_revision).max(list.revision);
    entries
}

fn report(entry: &Entry) -> Report {
    let mut text = String::new();
    read::write_entry_line(&mut text, entry);
    let mut value = read::entry_json(entry);
    value["id"] = serde_json::json!(entry.id);
    Report::new(text, value)
}
