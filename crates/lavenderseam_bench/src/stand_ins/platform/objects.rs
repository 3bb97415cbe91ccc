//! Versioned in-memory objects with conditional writes and a bounded change history.

use std::collections::{BTreeMap, VecDeque};

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
    /// Changes after the requested revision were already removed from the history.
    Compacted,
    /// The object exceeds 1 MiB.
    Oversized,
}

/// The objects and their recent changes.
#[derive(Debug, Default)]
pub struct ObjectStore {
    revision: u64,
    objects: BTreeMap<Id, Object>,
    history: VecDeque<Change>,
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
        let compacted_revision = self.history.front().map_or(0, |first| first.revision - 1);
        if after < compacted_revision {
            return Err(Rejection::Compacted);
        }
        let newer = self.history.iter().filter(|entry| entry.revision > after);
        Ok(Listing {
            revision: self.revision,
            entries: newer.cloned().collect(),
        })
    }

    fn append_change(&mut self, kind: &str, name: &str, document: Option<Value>) {
        self.revision += 1;
        self.history.push_back(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            document,
        });
        if self.history.len() > MAX_HISTORY_CHANGES {
            self.history.pop_front();
        }
    }
}
