//! Errors when reading a document as a typed record.

use std::fmt;

use super::{Kind, Schema};

/// Reason why a document can't be read as a typed record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The document is of a different kind.
    Kind {
        /// Kind of the record to read.
        expected: Kind,
        /// Kind of the document.
        found: Kind,
    },
    /// The document's schema version is not supported.
    Schema {
        /// Kind of the document.
        kind: Kind,
        /// Schema version of the document.
        found: Schema,
    },
    /// A field of the specification is missing or malformed.
    Field {
        /// Kind of the document.
        kind: Kind,
        /// Name of the field.
        field: &'static str,
        /// Value of the field as JSON; `null` if the field is missing.
        found: String,
        /// Description of the allowed values.
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
