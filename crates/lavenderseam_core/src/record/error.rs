//! Why a document can't be read as a record.

use std::fmt;

use super::{Kind, Schema};

/// Why a document can't be read as a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The document is of another kind.
    Kind {
        /// The kind that was asked for.
        expected: Kind,
        /// The kind that the document has.
        found: Kind,
    },
    /// This program doesn't know the document's schema version.
    Schema {
        /// The document's kind.
        kind: Kind,
        /// The document's schema version.
        found: Schema,
    },
    /// A field of the specification is missing or malformed.
    Field {
        /// The document's kind.
        kind: Kind,
        /// The field's name.
        field: &'static str,
        /// The value found, as JSON; `null` if missing.
        found: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kind { expected, found } => {
                write!(
                    formatter,
                    "expected a {expected} record, found a {found} record"
                )
            }
            Self::Schema { kind, found } => {
                write!(formatter, "{kind}: schema version {found} is not supported")
            }
            Self::Field {
                kind,
                field,
                found,
                allowed,
            } => {
                write!(
                    formatter,
                    "{kind}: spec.{field} is {found}; allowed: {allowed}"
                )
            }
        }
    }
}

impl std::error::Error for Error {}
