//! Versioned in-memory objects with conditional writes and a bounded change history.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Maximum number of changes in the history, which bounds how far back a watch can start.
const MAX_HISTORY_CHANGES: usize = 10_000;
/// Maximum size of an object, in bytes.
pub(crate) const MAX_OBJECT_BYTES: usize = 1 << 20;

/// Kind and name of an object, which identify it.
type Id = (String, String);

/// A stored object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Revision of the last write to the object.
    pub revision: u64,
    /// Content of the object.
    pub document: Value,
}

/// A write or deletion, as reported to watches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision of the write or deletion.
    pub revision: u64,
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// New content, or `None` for a deletion.
    pub document: Option<Value>,
}

/// A change with what is needed to undo it.
#[derive(Clone, Debug)]
struct UndoableChange {
    change: Change,
    /// Object before the change; `None` if it didn't exist.
    previous: Option<Object>,
    written_at: Instant,
}

/// All objects, or the changes after a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing<T> {
    /// Revision of the store.
    pub revision: u64,
    /// Objects or changes, in order.
    pub entries: Vec<T>,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The object must not exist.
    Absent,
    /// The object must be at this revision.
    At(u64),
}

/// Why a call was rejected; a rejected call has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The precondition failed; holds the current revision, if the object exists.
    Conflict(Option<u64>),
    /// The object doesn't exist.
    Missing,
    /// Changes after the requested revision were already removed from the history, or the store
    /// doesn't have this revision.
    Compacted,
    /// The object exceeds 1 MiB.
    Oversized,
}

/// The objects and their recent changes.
#[derive(Debug, Default)]
pub struct ObjectStore {
    revision: u64,
    objects: BTreeMap<Id, Object>,
    history: VecDeque<UndoableChange>,
    /// Revision of each copy that the objects were replaced by.
    restored_revisions: Vec<u64>,
}

impl ObjectStore {
    /// Returns the revision of the last write to the store.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns an object, if it exists.
    #[must_use]
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    /// Returns all objects.
    #[must_use]
    pub fn list(&self) -> Listing<Object> {
        Listing {
            revision: self.revision,
            entries: self.objects.values().cloned().collect(),
        }
    }

    /// Writes an object and returns the revision of the write.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::Conflict`] if the precondition fails and [`Rejection::Oversized`] if
    /// the document is too large.
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        document: Value,
        precondition: Precondition,
    ) -> Result<u64, Rejection> {
        if document.to_string().len() > MAX_OBJECT_BYTES {
            return Err(Rejection::Oversized);
        }
        let current = self.get(kind, name).map(|object| object.revision);
        let satisfied = match precondition {
            Precondition::Absent => current.is_none(),
            Precondition::At(revision) => current == Some(revision),
        };
        if !satisfied {
            return Err(Rejection::Conflict(current));
        }
        self.append_change(kind, name, Some(document.clone()));
        let object = Object {
            revision: self.revision,
            document,
        };
        self.objects
            .insert((kind.to_owned(), name.to_owned()), object);
        Ok(self.revision)
    }

    /// Deletes an object at a revision and returns the revision of the deletion.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::Missing`] if the object doesn't exist and [`Rejection::Conflict`] if it
    /// is at another revision.
    pub fn delete(&mut self, kind: &str, name: &str, revision: u64) -> Result<u64, Rejection> {
        let current = self.get(kind, name).ok_or(Rejection::Missing)?.revision;
        if current != revision {
            return Err(Rejection::Conflict(Some(current)));
        }
        self.append_change(kind, name, None);
        self.objects.remove(&(kind.to_owned(), name.to_owned()));
        Ok(self.revision)
    }

    /// Returns the changes after a revision.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::Compacted`] if the history no longer holds all of them.
    pub fn changes(&self, after: u64) -> Result<Listing<Change>, Rejection> {
        let first = self.history.front();
        let compacted_revision = first.map_or(0, |first| first.change.revision - 1);
        if after < compacted_revision {
            return Err(Rejection::Compacted);
        }
        let changes = self.history.iter().map(|undoable| &undoable.change);
        let newer = changes.filter(|change| change.revision > after);
        Ok(Listing {
            revision: self.revision,
            entries: newer.cloned().collect(),
        })
    }

    /// Returns the number of times that the objects were replaced by a copy.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.restored_revisions.len() as u64
    }

    /// Returns the revision of each copy that the objects were replaced by.
    #[must_use]
    pub fn restored_revisions(&self) -> &[u64] {
        &self.restored_revisions
    }

    /// Undoes all changes after `time`, whose revisions are then assigned again. Returns the undone
    /// changes, newest first.
    pub fn restore(&mut self, time: Instant) -> Vec<Change> {
        let mut undone = Vec::new();
        while let Some(undoable) = self.history.pop_back_if(|last| last.written_at > time) {
            let UndoableChange {
                change, previous, ..
            } = undoable;
            let id = (change.kind.clone(), change.name.clone());
            match previous {
                Some(previous) => self.objects.insert(id, previous),
                None => self.objects.remove(&id),
            };
            self.revision = change.revision - 1;
            undone.push(change);
        }
        self.restored_revisions.push(self.revision);
        undone
    }

    fn append_change(&mut self, kind: &str, name: &str, document: Option<Value>) {
        self.revision += 1;
        self.history.push_back(UndoableChange {
            change: Change {
                revision: self.revision,
                kind: kind.to_owned(),
                name: name.to_owned(),
                document,
            },
            previous: self.get(kind, name).cloned(),
            written_at: Instant::now(),
        });
        if self.history.len() > MAX_HISTORY_CHANGES {
            self.history.pop_front();
        }
    }
}
