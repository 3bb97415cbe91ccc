//! Catalog entries: a record, or its deletion, at one revision.

use crate::record::{Document, Id};

number! {
    /// Position of a write in the store's total order of writes; a higher revision is newer.
    pub struct Revision(u64);
}

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
