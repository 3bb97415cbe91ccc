//! The `watch` command, which prints record changes as they occur.

use std::collections::BTreeMap;
use std::time::Duration;

use argh::FromArgs;
use lavenderseam_core::catalog::{Entry, Revision};
use lavenderseam_core::record::{Id, Kind};
use lavenderseam_platform::{self as platform, ListResponse, Store};

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
/// the store no longer keeps the changes since the last call, the records that differ since then
/// are printed instead.
///
/// # Errors
///
/// Returns [`Error::Unavailable`] if the first call can't read the store.
pub async fn watch<S: Store>(
    store: &DeadlineStore<'_, S>,
    arguments: &Watch,
    mut print: impl FnMut(Report),
) -> Result<(), Error> {
    let mut seen = SeenRecords::new(store.list().await?);
    let mut remaining = arguments.count.unwrap_or(usize::MAX);
    while remaining > 0 {
        for entry in next_changes(store.inner(), &mut seen).await {
            let is_selected = arguments.kind.is_none_or(|kind| kind == entry.id.kind);
            if is_selected && remaining > 0 {
                remaining -= 1;
                print(report(&entry));
            }
        }
    }
    Ok(())
}

/// Returns the changes since the records were last seen; none if the call fails or times out.
async fn next_changes<S: Store>(store: &S, seen: &mut SeenRecords) -> Vec<Entry> {
    let changes = match store.watch(seen.revision, WATCH_TIMEOUT).await {
        Ok(changes) => Ok(seen.apply_changes(changes)),
        Err(platform::Error::RevisionExpired) => {
            store.list().await.map(|list| seen.apply_list(list))
        }
        Err(error) => Err(error),
    };
    match changes {
        Ok(changes) => changes,
        Err(_) => {
            tokio::time::sleep(RETRY_DELAY).await;
            Vec::new()
        }
    }
}

/// Records as last seen in the store.
struct SeenRecords {
    entries: BTreeMap<Id, Entry>,
    /// Revision after which the next watch starts.
    revision: Revision,
}

impl SeenRecords {
    fn new(list: ListResponse) -> Self {
        let with_id = |entry: Entry| (entry.id.clone(), entry);
        Self {
            revision: list.revision,
            entries: list.entries.into_iter().map(with_id).collect(),
        }
    }

    /// Applies the response to a watch and returns the changes in it.
    fn apply_changes(&mut self, changes: ListResponse) -> Vec<Entry> {
        let is_newer = |entry: &Entry| entry.revision > self.revision;
        let mut entries: Vec<Entry> = changes.entries.into_iter().filter(is_newer).collect();
        entries.sort_by_key(|entry| entry.revision);
        for entry in &entries {
            if entry.document.is_some() {
                self.entries.insert(entry.id.clone(), entry.clone());
            } else {
                self.entries.remove(&entry.id);
            }
        }
        self.revision = self.revision.max(changes.revision);
        entries
    }

    /// Replaces the records by a list and returns those that differ or are gone.
    fn apply_list(&mut self, list: ListResponse) -> Vec<Entry> {
        let listed = Self::new(list);
        let is_gone = |entry: &&Entry| !listed.entries.contains_key(&entry.id);
        let gone = self.entries.values().filter(is_gone);
        let gone = gone.map(|entry| Entry::deletion(entry.id.clone(), listed.revision));
        let differs = |entry: &&Entry| {
            let seen = self.entries.get(&entry.id);
            seen.is_none_or(|seen| seen.document != entry.document)
        };
        let changed = listed.entries.values().filter(differs).cloned();
        let mut changes: Vec<Entry> = changed.chain(gone).collect();
        changes.sort_by_key(|entry| entry.revision);
        *self = listed;
        changes
    }
}

fn report(entry: &Entry) -> Report {
    let mut text = String::new();
    read::write_entry_line(&mut text, entry);
    let mut value = read::entry_json(entry);
    value["id"] = serde_json::json!(entry.id);
    Report::new(text, value)
}
