//! Catalog entries: a record, or its deletion, at one revision.

use xxhash_rust::xxh3::xxh3_64;

use super::Revision;
use crate::record::{Document, Id};

value! {
    /// A record, or its deletion, at one revision.
    pub struct Entry {
        /// Identity of the record.
        pub id: Id,
        /// Revision of the write.
        pub revision: Revision,
        /// Document that was written; `None` if the write deleted the record.
        pub document: Option<Document>,
    }
}

impl Entry {
    /// Returns `true` if both entries are the same write, which may be seen in two epochs.
    pub(crate) fn is_same_write(&self, other: &Self) -> bool {
        self.revision.number() == other.revision.number() && self.document == other.document
    }

    /// Returns a hash of the document; 0 for a deletion.
    ///
    /// The hash doesn't depend on which fields this version of the software knows, since it covers
    /// all fields in the order of their names.
    pub(crate) fn content_hash(&self) -> u64 {
        let document = self.document.as_ref();
        let content = document.and_then(|document| serde_json::to_value(document).ok());
        content.map_or(0, |content| xxh3_64(content.to_string().as_bytes()))
    }

    /// Creates an entry for the deletion of a record.
    #[must_use]
    pub fn deletion(id: Id, revision: Revision) -> Self {
        Self {
            id,
            revision,
            document: None,
        }
    }

    /// Creates an entry for a written document.
    #[must_use]
    pub fn written(revision: Revision, document: Document) -> Self {
        Self {
            id: document.id(),
            revision,
            document: Some(document),
        }
    }
}
