//! Versioned objects with conditional writes and a bounded history.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Changes that a watch can go back.
const HISTORY_LIMIT: usize = 10_000;
/// Largest object, in bytes.
pub(crate) const SIZE_LIMIT: usize = 1 << 20;

/// Identity of an object: kind and name.
type Id = (String, String);

/// An object at a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Revision of the last write.
    pub revision: u64,
    /// Content.
    pub document: Value,
}

/// A write, as watches see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision of the write.
    pub revision: u64,
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// Content; none for a deletion.
    pub document: Option<Value>,
}

/// All objects, or the changes after a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing<T> {
    /// Revision of the whole store.
    pub revision: u64,
    /// The objects or changes.
    pub entries: Vec<T>,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object doesn't exist.
    Absent,
    /// The object is at this revision.
    At(u64),
}

/// Why a call was rejected; nothing was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The condition doesn't hold; holds the present revision, if any.
    Conflict(Option<u64>),
    /// The object doesn't exist.
    Missing,
    /// The history doesn't reach back so far.
    Compacted,
    /// The object exceeds 1 MiB.
    Oversized,
}

/// The objects.
#[derive(Debug, Default)]
pub struct Objects {
    revision: u64,
    held: BTreeMap<Id, Object>,
    history: VecDeque<Change>,
}

impl Objects {
    /// Revision of the last write.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// One object.
    #[must_use]
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.held.get(&(kind.to_owned(), name.to_owned()))
    }

    /// All objects.
    #[must_use]
    pub fn list(&self) -> Listing<Object> {
        Listing {
            revision: self.revision,
            entries: self.held.values().cloned().collect(),
        }
    }

    /// Writes an object and returns the write's revision.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::Conflict`] or [`Rejection::Oversized`].
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        document: Value,
        condition: Condition,
    ) -> Result<u64, Rejection> {
        if document.to_string().len() > SIZE_LIMIT {
            return Err(Rejection::Oversized);
        }
        let present = self.get(kind, name).map(|object| object.revision);
        let holds = match condition {
            Condition::Absent => present.is_none(),
            Condition::At(revision) => present == Some(revision),
        };
        if !holds {
            return Err(Rejection::Conflict(present));
        }
        self.record(kind, name, Some(document.clone()));
        let object = Object {
            revision: self.revision,
            document,
        };
        self.held.insert((kind.to_owned(), name.to_owned()), object);
        Ok(self.revision)
    }

    /// Deletes an object at a revision and returns the deletion's revision.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::Missing`] or [`Rejection::Conflict`].
    pub fn delete(&mut self, kind: &str, name: &str, revision: u64) -> Result<u64, Rejection> {
        let present = self.get(kind, name).ok_or(Rejection::Missing)?.revision;
        if present != revision {
            return Err(Rejection::Conflict(Some(present)));
        }
        self.record(kind, name, None);
        self.held.remove(&(kind.to_owned(), name.to_owned()));
        Ok(self.revision)
    }

    /// The changes after a revision.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::Compacted`] if they are no longer all known.
    pub fn changes(&self, after: u64) -> Result<Listing<Change>, Rejection> {
        let dropped = self.history.front().map_or(0, |first| first.revision - 1);
        if after < dropped {
            return Err(Rejection::Compacted);
        }
        let newer = self.history.iter().filter(|entry| entry.revision > after);
        Ok(Listing {
            revision: self.revision,
            entries: newer.cloned().collect(),
        })
    }

    fn record(&mut self, kind: &str, name: &str, document: Option<Value>) {
        self.revision += 1;
        self.history.push_back(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            document,
        });
        if self.history.len() > HISTORY_LIMIT {
            self.history.pop_front();
        }
    }
}
