//! The records that a process holds, and the rule that they never go back.
//!
//! The platform's store orders the writes to each record by a [`Revision`]. A catalog takes an
//! entry only if its revision is higher than the one it holds, whoever tells it: the store, a
//! peer, a stale read or a late watch. A deletion is an entry of its own, so it is ordered too.
//!
//! ```
//! use lavenderseam_core::catalog::{Applied, Catalog, Entry, Revision};
//! use lavenderseam_core::record::{Document, Id, Kind, Schema};
//!
//! let document = Document::new(Kind::FailureDomain, "suva-a", Schema(1));
//! let mut catalog = Catalog::default();
//! let newer = Entry::with_document(Revision(7), document.clone());
//! let older = Entry::with_document(Revision(3), document);
//! assert_eq!(catalog.apply(newer), Applied::Newer);
//! assert_eq!(catalog.apply(older), Applied::Stale);
//! ```

mod digest;
mod entry;

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

pub use digest::{BUCKETS, Digest};
pub use entry::{Entry, Revision};

use crate::record::{Document, Id, Kind, Record};

/// What became of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It was newer and has been taken.
    Newer,
    /// The catalog holds this very revision.
    Same,
    /// The catalog holds a newer revision.
    Stale,
}

/// All records that a process holds, deletions included.
///
/// A catalog is complete through a revision when each record it holds is at least as new as the
/// store was at that revision. It then needs no deletions up to there: an entry of a record that
/// it doesn't hold, at or below that revision, has been deleted since and is stale.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    entries: BTreeMap<Id, Entry>,
    digest: Digest,
    head: Revision,
    complete: Revision,
    deletions: BTreeSet<(Revision, Id)>,
}

impl Catalog {
    /// Takes an entry if it is newer than what is held.
    pub fn apply(&mut self, entry: Entry) -> Applied {
        let Some(held) = self.entries.get(&entry.id) else {
            if entry.revision <= self.complete {
                return Applied::Stale;
            }
            self.insert(entry);
            return Applied::Newer;
        };
        match held.revision.cmp(&entry.revision) {
            Ordering::Equal => Applied::Same,
            Ordering::Greater => Applied::Stale,
            Ordering::Less => {
                self.remove(&entry.id);
                self.insert(entry);
                Applied::Newer
            }
        }
    }

    /// Records held at or below a revision that are missing from `present`, which names all records
    /// that the store or a peer complete through that revision holds among those in `within`.
    pub fn missing(
        &self,
        revision: Revision,
        present: &BTreeSet<Id>,
        within: impl Fn(&Id) -> bool,
    ) -> Vec<Id> {
        self.entries
            .values()
            .filter(|entry| entry.document.is_some() && entry.revision <= revision)
            .filter(|entry| within(&entry.id) && !present.contains(&entry.id))
            .map(|entry| entry.id.clone())
            .collect()
    }

    /// Notes that the catalog is complete through a revision and forgets deletions up to there.
    pub fn confirm(&mut self, revision: Revision) {
        self.complete = self.complete.max(revision);
        while let Some((deleted, _)) = self.deletions.first() {
            if *deleted > self.complete {
                break;
            }
            if let Some((_, id)) = self.deletions.pop_first() {
                self.entries.remove(&id);
            }
        }
    }

    /// Revision that the catalog is complete through.
    #[must_use]
    pub fn complete(&self) -> Revision {
        self.complete
    }

    fn insert(&mut self, entry: Entry) {
        self.head = self.head.max(entry.revision);
        if entry.document.is_some() {
            self.digest.toggle(&entry.id, entry.revision);
        } else {
            self.deletions.insert((entry.revision, entry.id.clone()));
        }
        self.entries.insert(entry.id.clone(), entry);
    }

    fn remove(&mut self, id: &Id) {
        let Some(held) = self.entries.remove(id) else {
            return;
        };
        if held.document.is_some() {
            self.digest.toggle(id, held.revision);
        } else {
            self.deletions.remove(&(held.revision, held.id));
        }
    }

    /// Highest revision held.
    #[must_use]
    pub fn head(&self) -> Revision {
        self.head
    }

    /// Digest of the identities and revisions held.
    #[must_use]
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// The entry held for a record, which may be a deletion.
    #[must_use]
    pub fn entry(&self, id: &Id) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// All entries, deletions included, in the order of their identities.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// The documents of a kind, in the order of their names.
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

    /// The records of a kind that this program can read, with their names.
    pub fn records<R: Record>(&self) -> impl Iterator<Item = (&str, R)> {
        self.documents(R::KIND).filter_map(|document| {
            let record = R::read(document).ok()?;
            Some((document.name.as_str(), record))
        })
    }

    /// Number of entries, deletions included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
