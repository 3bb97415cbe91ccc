//! Records: the configuration and announcements stored in the platform's object API.
//!
//! A [`Document`] is a record as stored: a kind, a name, a schema version and a specification, plus
//! any fields that a newer version of the software added. A typed record is a view of the document
//! and is written back into it, so a change never drops fields that this version doesn't know.
//!
//! Services, backend groups and failure domains, which operators write, are read in two schema
//! versions. A change keeps the document's version unless that version can't express the change.

mod balancer;
mod document;
mod domain;
mod drain;
mod error;
mod group;
mod kind;
mod service;
mod target;
mod verdict;

pub use balancer::Balancer;
pub use document::{Document, Id, Schema, WriteToken};
pub use domain::{Domain, State as DomainState};
pub use drain::Drain;
pub use error::Error;
pub use group::{Group, Slots};
pub use kind::{Kind, UnknownKind};
pub use service::Service;
pub use target::{Phase, Target};
pub use verdict::{DownTarget, Verdict};

/// A typed view of a document's specification.
pub trait Record: Sized {
    /// Kind of the documents that hold this record.
    const KIND: Kind;

    /// Reads the record from a document of any supported schema version.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the document is of another kind, its schema version is not supported,
    /// or a field is missing or malformed.
    fn read(document: &Document) -> Result<Self, Error>;

    /// Writes the record's fields into a document and leaves the document's other fields unchanged.
    fn write(&self, document: &mut Document);
}
