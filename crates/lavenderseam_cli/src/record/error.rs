//! Why a record can't be accepted.

use std::fmt;

use lavenderseam_core::record::Id;

/// Why a record can't be accepted; names the key, the value and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The file can't be read as its format; holds the parser's message.
    Syntax(String),
    /// A key has a value that isn't allowed.
    Key {
        /// Where: the record's place in the file, or its identity once known.
        place: String,
        /// The key.
        key: String,
        /// The value found, as JSON; `null` if missing.
        found: String,
        /// What is allowed.
        allowed: String,
    },
    /// A file holds a record twice.
    Twice(Id),
    /// A schema 1 record can't say what the stored schema 2 record holds.
    Narrow {
        /// The record.
        id: Id,
        /// The field that schema 1 has no room for.
        field: &'static str,
    },
}

impl Error {
    /// An error at a key.
    pub(crate) fn key(
        place: impl fmt::Display,
        key: impl fmt::Display,
        found: impl fmt::Display,
        allowed: impl fmt::Display,
    ) -> Self {
        Self::Key {
            place: place.to_string(),
            key: key.to_string(),
            found: found.to_string(),
            allowed: allowed.to_string(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(message) => write!(formatter, "the file can't be read: {message}"),
            Self::Key {
                place,
                key,
                found,
                allowed,
            } => write!(formatter, "{place}: {key} is {found}; allowed: {allowed}"),
            Self::Twice(id) => write!(formatter, "{id} is in the file twice; allowed: once"),
            Self::Narrow { id, field } => write!(
                formatter,
                "{id}: the stored record has several {field}, which schema 1 has no room for; \
                 allowed: schema 2"
            ),
        }
    }
}

impl std::error::Error for Error {}
