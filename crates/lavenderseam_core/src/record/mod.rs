//! Records: what operators and processes write to the platform's object API.
//!
//! A [`Document`] is a record as stored: a kind, a name, a schema version and a specification,
//! plus whatever fields a newer program added. Reading one into a typed record never loses the
//! unknown fields, because typed records are views: changes are made on the document.
//!
//! Two schema versions of the operators' kinds are read side by side; a change keeps the version
//! that the document already has.

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
pub use verdict::{Down, Verdict};

/// A typed record that can be read from and written into a document.
pub trait Record: Sized {
    /// The kind of document that holds this record.
    const KIND: Kind;

    /// Reads the record from a document of any supported schema version.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] naming the field that is missing or malformed, or the schema version that
    /// is not supported.
    fn read(document: &Document) -> Result<Self, Error>;

    /// Writes the record's fields into a document, leaving fields it doesn't know untouched.
    fn write(&self, document: &mut Document);
}
