//! The records that a process holds; a record is never replaced by an older revision.
//!
//! The platform's store orders all writes by [`Revision`]. A catalog applies an entry only if its
//! revision is higher than the revision held for that record, whatever the source: the store, a
//! peer, a stale read or a delayed watch response. A deletion is an entry with a revision too, so
//! an older write can't undo it. [`restore`] describes what happens when the store is restored from
//! a copy.
//!
//! ```
//! use lavenderseam_core::catalog::{ApplyOutcome, Catalog, Entry, Revision};
//! use lavenderseam_core::record::{Document, Id, Kind, Schema};
//!
//! let document = Document::new(Kind::FailureDomain, "suva-a", Schema(1));
//! let mut catalog = Catalog::default();
//! let newer = Entry::written(Revision(7), document.clone());
//! let older = Entry::written(Revision(3), document);
//! assert_eq!(catalog.apply(newer), ApplyOutcome::Newer);
//! assert_eq!(catalog.apply(older), ApplyOutcome::Stale);
//! ```

mod digest;
mod entry;
mod mirror;
pub mod restore;
mod revision;

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

pub use digest::{BUCKET_COUNT, Digest, Root};
pub use entry::Entry;
pub use mirror::{Mirror, Object};
pub use revision::{Epoch, ParseRevisionError, Revision};

use crate::record::{Document, Id, Kind, Record};
use restore::SupersededWrites;

/// Result of applying an entry to a catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The entry was newer and has been applied.
    Newer,
    /// The catalog already holds this revision of the record.
    AlreadyHeld,
    /// The entry is older than what the catalog holds and was ignored.
    Stale,
    /// The entry was superseded before the store was restored; it was ignored, since the epoch
    /// isn't settled.
    Restored,
}

/// All records that a process holds, including deletions.
///
/// A catalog is complete through a revision if it reflects all writes up to that revision. It then
/// discards deletions up to that revision: an entry at or below it for a record that the catalog
/// doesn't hold must have been deleted since, and is stale.
///
/// An epoch is settled once the store's records count without exception. Until then, a catalog
/// keeps records of an older epoch that the store lacks, ignores writes that it has seen superseded
/// in an older epoch, and isn't complete through a revision of the new epoch.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    entries: BTreeMap<Id, Entry>,
    digest: Digest,
    highest_revision: Revision,
    complete_through: Revision,
    settled_epoch: Epoch,
    /// Revision of the newest epoch after which no write comes from the copy that the store was
    /// restored from: the lowest revision at which it was read.
    copy_limit: Option<Revision>,
    /// Revision since which the catalog has received all writes of the store, and not only the last
    /// one of each record; `None` if it has not.
    memory_start: Option<Revision>,
    deletions: BTreeSet<(Revision, Id)>,
    superseded: SupersededWrites<Id>,
}

impl Catalog {
    /// Applies an entry that may come from the copy that the store was restored from: one that was
    /// listed, or sent by a process that doesn't know of the restore.
    ///
    /// In addition to what [`Self::apply`] ignores, a write is ignored until the epoch is settled if
    /// it may have been superseded before the catalog received all writes, and a deletion if it may
    /// follow from the record's absence in the copy.
    pub fn apply_unverified(&mut self, entry: Entry) -> ApplyOutcome {
        if self.may_be_older_than_memory(&entry) || self.may_be_absent_from_copy(&entry) {
            return ApplyOutcome::Restored;
        }
        self.apply(entry)
    }

    /// Applies an entry if it is newer than the entry held for the same record.
    pub fn apply(&mut self, entry: Entry) -> ApplyOutcome {
        if self.is_restored(&entry) {
            return ApplyOutcome::Restored;
        }
        let Some(stored) = self.entries.get(&entry.id) else {
            if entry.revision <= self.complete_through {
                return ApplyOutcome::Stale;
            }
            self.insert_entry(entry);
            return ApplyOutcome::Newer;
        };
        match stored.revision.cmp(&entry.revision) {
            Ordering::Equal => ApplyOutcome::AlreadyHeld,
            Ordering::Greater => ApplyOutcome::Stale,
            Ordering::Less if stored.is_same_write(&entry) => ApplyOutcome::AlreadyHeld,
            Ordering::Less => {
                self.remove_entry(&entry.id);
                self.insert_entry(entry);
                ApplyOutcome::Newer
            }
        }
    }

    /// Returns `true` if an entry may come from the copy of an epoch that isn't settled.
    fn may_be_from_copy(&self, entry: &Entry) -> bool {
        let is_within_limit = self
            .copy_limit
            .is_none_or(|limit| entry.revision.epoch() != limit.epoch() || entry.revision <= limit);
        is_within_limit && entry.document.is_some() && entry.revision.epoch() > self.settled_epoch
    }

    /// Returns `true` if an entry may come from the copy, has a lower number than the entry held
    /// from an older epoch, and may have been superseded before the catalog received all writes.
    fn may_be_older_than_memory(&self, entry: &Entry) -> bool {
        let Some(held) = self.entries.get(&entry.id) else {
            return false;
        };
        let number = entry.revision.number();
        let precedes_memory = self
            .memory_start
            .is_none_or(|start| number <= start.number());
        precedes_memory
            && held.revision.epoch() < entry.revision.epoch()
            && number < held.revision.number()
            && held.document != entry.document
            && self.may_be_from_copy(entry)
    }

    /// Returns `true` if an entry of an epoch that isn't settled deletes a record that is held from
    /// an older epoch.
    fn may_be_absent_from_copy(&self, entry: &Entry) -> bool {
        let held = self.entries.get(&entry.id);
        entry.document.is_none()
            && entry.revision.epoch() > self.settled_epoch
            && held.is_some_and(|held| held.revision.epoch() < entry.revision.epoch())
    }

    /// Records the revision since which the catalog receives all writes of the store; `None` if it
    /// receives only some of them.
    pub fn set_memory_start(&mut self, revision: Option<Revision>) {
        self.memory_start = revision;
    }

    /// Returns `true` if an entry of an epoch that isn't settled is a write that was superseded in
    /// an older epoch.
    fn is_restored(&self, entry: &Entry) -> bool {
        self.may_be_from_copy(entry)
            && self
                .superseded
                .contains(&entry.id, entry.revision, entry.content_hash())
    }

    /// Records that the store was read at a revision, so that later writes of the same epoch don't
    /// come from a copy.
    pub fn limit_copy(&mut self, revision: Revision) {
        let replaces = self.copy_limit.is_none_or(|limit| {
            revision.epoch() > limit.epoch()
                || (revision.epoch() == limit.epoch() && revision < limit)
        });
        if replaces {
            self.copy_limit = Some(revision);
        }
    }

    /// Returns the lowest revision of the newest epoch at which the store was read.
    #[must_use]
    pub fn copy_limit(&self) -> Option<Revision> {
        self.copy_limit
    }

    /// Settles an epoch: the records of the store in this epoch count, whatever was held before.
    pub fn settle(&mut self, epoch: Epoch) {
        self.settled_epoch = self.settled_epoch.max(epoch);
    }

    /// Returns the newest settled epoch.
    #[must_use]
    pub fn settled_epoch(&self) -> Epoch {
        self.settled_epoch
    }

    /// Returns the records held at or below `revision` that satisfy `within` but are not in
    /// `present`. They have been deleted if `present` lists all records satisfying `within` that
    /// are held by the store, or by a peer that is complete through `revision`. Records of an older
    /// epoch are left out until the epoch of `revision` is settled.
    pub fn records_missing_from(
        &self,
        revision: Revision,
        present: &BTreeSet<Id>,
        within: impl Fn(&Id) -> bool,
    ) -> Vec<Id> {
        let is_settled = revision.epoch() <= self.settled_epoch;
        let may_be_deleted = |entry: &&Entry| {
            entry.revision <= revision && (is_settled || entry.revision.epoch() == revision.epoch())
        };
        self.entries
            .values()
            .filter(|entry| entry.document.is_some())
            .filter(may_be_deleted)
            .filter(|entry| within(&entry.id) && !present.contains(&entry.id))
            .map(|entry| entry.id.clone())
            .collect()
    }

    /// Records that the catalog is complete through a revision and discards deletions up to it.
    ///
    /// Has no effect if the epoch of the revision isn't settled. Returns the records of older
    /// epochs, which the store still holds; they now have revisions of the new epoch.
    pub fn mark_complete(&mut self, revision: Revision) -> Vec<Entry> {
        if revision.epoch() > self.settled_epoch {
            return Vec::new();
        }
        let starts_epoch = revision.epoch() > self.complete_through.epoch();
        self.complete_through = self.complete_through.max(revision);
        self.discard_deletions();
        if starts_epoch {
            self.adopt_epoch(revision.epoch())
        } else {
            Vec::new()
        }
    }

    /// Moves all records of older epochs to an epoch and returns them.
    fn adopt_epoch(&mut self, epoch: Epoch) -> Vec<Entry> {
        let mut adopted = Vec::new();
        for entry in self.entries.values_mut() {
            if entry.revision.epoch() >= epoch || entry.document.is_none() {
                continue;
            }
            if let Some(revision) = Revision::new(epoch, entry.revision.number()) {
                entry.revision = revision;
                self.highest_revision = self.highest_revision.max(revision);
                adopted.push(entry.clone());
            }
        }
        adopted
    }

    /// Discards the deletions through which the catalog is complete.
    fn discard_deletions(&mut self) {
        while let Some((deleted, _)) = self.deletions.first() {
            if *deleted > self.complete_through {
                break;
            }
            if let Some((_, id)) = self.deletions.pop_first() {
                self.entries.remove(&id);
            }
        }
    }

    /// Returns the revision through which the catalog is complete.
    #[must_use]
    pub fn complete_revision(&self) -> Revision {
        self.complete_through
    }

    fn insert_entry(&mut self, entry: Entry) {
        self.highest_revision = self.highest_revision.max(entry.revision);
        if entry.document.is_some() {
            self.digest.toggle(&entry);
        } else {
            self.deletions.insert((entry.revision, entry.id.clone()));
        }
        self.entries.insert(entry.id.clone(), entry);
    }

    fn remove_entry(&mut self, id: &Id) {
        let Some(stored) = self.entries.remove(id) else {
            return;
        };
        if stored.document.is_some() {
            self.digest.toggle(&stored);
            let content = stored.content_hash();
            self.superseded.insert(stored.id, stored.revision, content);
        } else {
            self.deletions.remove(&(stored.revision, stored.id));
        }
    }

    /// Returns the highest revision that was applied.
    #[must_use]
    pub fn highest_revision(&self) -> Revision {
        self.highest_revision
    }

    /// Returns the digest of the identities and revisions held.
    #[must_use]
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Returns the entry held for a record, which may be a deletion.
    #[must_use]
    pub fn entry(&self, id: &Id) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// Returns all entries, including deletions, ordered by identity.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the documents of a kind, ordered by name.
    pub fn documents(&self, kind: Kind) -> impl Iterator<Item = &Document> {
        let first = Id {
            kind,
            name: String::new(),
        };
        self.entries
            .range(first..)
            .take_while(move |(id, _)| id.kind == kind)
            .filter_map(|(_, entry)| entry.document.as_ref())
    }

    /// Returns the names and records of a kind, ordered by name. Documents that can't be read as
    /// `R` are skipped.
    pub fn records<R: Record>(&self) -> impl Iterator<Item = (&str, R)> {
        self.documents(R::KIND).filter_map(|document| {
            let record = R::read(document).ok()?;
            Some((document.name.as_str(), record))
        })
    }

    /// Returns the number of entries, including deletions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if the catalog holds no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
