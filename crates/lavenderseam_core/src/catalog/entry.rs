//! One record at one revision.

use crate::record::{Document, Id};

number! {
    /// Position of a write in the store's order; higher is newer.
    pub struct Revision(u64);
}

value! {
    /// One record at one revision, or its deletion.
    pub struct Entry {
        /// Identity of the record.
        pub id: Id,
        /// Revision of the write.
        pub revision: Revision,
        /// The document written; none if the write deleted the record.
        pub document: Option<Document>,
    }
}

impl Entry {
    /// An entry for a deletion.
    #[must_use]
    pub fn new(id: Id, revision: Revision) -> Self {
        Self {
            id,
            revision,
            document: None,
        }
    }

    /// An entry for a document.
    #[must_use]
    pub fn with_document(revision: Revision, document: Document) -> Self {
        Self {
            id: document.id(),
            revision,
            document: Some(document),
        }
    }
}
