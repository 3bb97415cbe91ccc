//! Restores of the store from a copy of its records.
//!
//! A restored store has lost the writes that are newer than the copy, and assigns their numbers to
//! other writes. Each restore starts a new [`Epoch`](super::Epoch), and revisions of a newer epoch
//! are newer whatever their number. That order alone would undo accepted writes, since the copy
//! shows older content in the newer epoch. So what a process accepted before the restore stays in
//! force until its owner writes it again, at most for [`RESTORE_GRACE`]; after that, the store's
//! records count. Meanwhile, a process recognises old content by the writes that it has seen
//! superseded, and every other write of the new epoch takes effect at once.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::Revision;

/// Time after a process learns of a restore for which it keeps records that the restored store
/// lacks; their owners write them again within a few seconds.
pub const RESTORE_GRACE: Duration = Duration::from_secs(10);
/// Age of a write from which no copy that the store is restored from lacks it.
pub const MAX_COPY_AGE: Duration = Duration::from_secs(60);

/// Maximum number of superseded writes that are remembered, far more than are made between a copy
/// and a restore from it.
const MAX_SUPERSEDED_WRITES: usize = 4_096;

/// Writes of records that were replaced or deleted recently, each as its revision and a hash of its
/// content. `K` identifies a record.
#[derive(Clone, Debug)]
pub(crate) struct SupersededWrites<K> {
    writes: BTreeMap<K, Vec<(Revision, u64)>>,
    /// Records of the writes, oldest write first.
    order: VecDeque<K>,
}

impl<K: Clone + Ord> SupersededWrites<K> {
    /// Adds a write that was replaced or deleted.
    pub(crate) fn insert(&mut self, record: K, revision: Revision, content_hash: u64) {
        self.order.push_back(record.clone());
        self.writes
            .entry(record)
            .or_default()
            .push((revision, content_hash));
        if self.order.len() > MAX_SUPERSEDED_WRITES {
            self.remove_oldest();
        }
    }

    /// Returns `true` if a write of a newer epoch is one that was superseded in an older epoch, so
    /// that it comes from a copy.
    pub(crate) fn contains(&self, record: &K, revision: Revision, content_hash: u64) -> bool {
        let is_same = |(superseded, superseded_hash): &(Revision, u64)| {
            superseded.epoch() < revision.epoch()
                && superseded.number() == revision.number()
                && *superseded_hash == content_hash
        };
        let writes = self.writes.get(record);
        writes.is_some_and(|writes| writes.iter().any(is_same))
    }

    fn remove_oldest(&mut self) {
        let Some(record) = self.order.pop_front() else {
            return;
        };
        if let Some(writes) = self.writes.get_mut(&record) {
            writes.remove(0);
            if writes.is_empty() {
                self.writes.remove(&record);
            }
        }
    }
}

impl<K> Default for SupersededWrites<K> {
    fn default() -> Self {
        Self {
            writes: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }
}
