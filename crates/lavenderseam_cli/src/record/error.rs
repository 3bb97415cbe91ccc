//! Errors from parsing, validating and merging records.

use std::fmt;

use lavenderseam_core::record::Id;

/// Reason why a record is not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The text is not valid TOML or JSON; holds the message of the parser.
    Syntax(String),
    /// The value of a key is not allowed.
    InvalidValue {
        /// Identity of the record, or its position in the file if the identity isn't known yet.
        location: String,
        /// Path of the key in the record, such as `spec.slots`.
        key: String,
        /// Value found, as JSON; `null` if the key is missing.
        found: String,
        /// Description of the allowed values.
        allowed: String,
    },
    /// A file contains the same record twice.
    Duplicate(Id),
    /// The stored schema 2 record has several values in a field that holds one in schema 1.
    SchemaTooOld {
        /// Identity of the record.
        id: Id,
        /// Field with several values.
        field: &'static str,
    },
}

impl Error {
    /// Creates an error for a value that is not allowed.
    pub(crate) fn invalid(
        location: impl fmt::Display,
        key: impl fmt::Display,
        found: impl fmt::Display,
        allowed: impl fmt::Display,
    ) -> Self {
        Self::InvalidValue {
            location: location.to_string(),
            key: key.to_string(),
            found: found.to_string(),
            allowed: allowed.to_string(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(message) => write!(
                formatter,
                "invalid syntax, the file can't be read: {message}"
            ),
            Self::InvalidValue {
                location,
                key,
                found,
                allowed,
            } => write!(
                formatter,
                "{location}: {key} is {found}; allowed: {allowed}"
            ),
            Self::Duplicate(id) => write!(formatter, "{id} is in the file twice; allowed: once"),
            Self::SchemaTooOld { id, field } => write!(
                formatter,
                "{id}: the stored record has several {field}, which schema 1 can't express; \
                 allowed: schema 2"
            ),
        }
    }
}

impl std::error::Error for Error {}
