//! A record as stored.

use std::fmt;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::{Error, Kind};

number! {
    /// Schema version of a document.
    pub struct Schema(u32);
}

/// Identity of a record: its kind and name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Kind.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: String,
}

/// Drawn anew for each write; reading it back settles whether a write with a lost answer took
/// effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteToken(pub String);

/// A record as stored, with the fields that this program doesn't know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Kind.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: String,
    /// Schema version of `spec`.
    pub schema: Schema,
    /// Token of the last write.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub write_token: Option<WriteToken>,
    /// The record's fields.
    #[serde(default)]
    pub spec: Map<String, Value>,
    /// Top-level fields of newer programs.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

impl Id {
    /// Identity of the named record of a kind.
    pub fn new(kind: Kind, name: impl fmt::Display) -> Self {
        Self {
            kind,
            name: name.to_string(),
        }
    }
}

impl Document {
    /// A document with an empty specification.
    pub fn new(kind: Kind, name: impl fmt::Display, schema: Schema) -> Self {
        Self {
            kind,
            name: name.to_string(),
            schema,
            write_token: None,
            spec: Map::new(),
            other: Map::new(),
        }
    }

    /// The document's identity.
    #[must_use]
    pub fn id(&self) -> Id {
        Id {
            kind: self.kind,
            name: self.name.clone(),
        }
    }

    /// Fails unless the document has the kind and one of the schema versions.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Kind`] or [`Error::Schema`].
    pub(crate) fn expect(&self, kind: Kind, schemas: &[Schema]) -> Result<(), Error> {
        if self.kind != kind {
            return Err(Error::Kind {
                expected: kind,
                found: self.kind,
            });
        }
        if !schemas.contains(&self.schema) {
            return Err(Error::Schema {
                kind,
                found: self.schema,
            });
        }
        Ok(())
    }

    /// Reads a mandatory field of the specification.
    pub(crate) fn field<T: DeserializeOwned>(
        &self,
        field: &'static str,
        allowed: &'static str,
    ) -> Result<T, Error> {
        let found = self.spec.get(field).unwrap_or(&Value::Null);
        T::deserialize(found).map_err(|_| self.malformed(field, found, allowed))
    }

    /// Reads a field of the specification that may be absent.
    pub(crate) fn optional<T: DeserializeOwned>(
        &self,
        field: &'static str,
        allowed: &'static str,
    ) -> Result<Option<T>, Error> {
        match self.spec.get(field) {
            None | Some(Value::Null) => Ok(None),
            Some(_) => self.field(field, allowed).map(Some),
        }
    }

    /// Sets a field of the specification.
    pub(crate) fn set(&mut self, field: &'static str, value: impl Serialize) {
        let value = serde_json::to_value(value).unwrap_or(Value::Null);
        self.spec.insert(field.to_owned(), value);
    }

    fn malformed(&self, field: &'static str, found: &Value, allowed: &'static str) -> Error {
        Error::Field {
            kind: self.kind,
            field,
            found: found.to_string(),
            allowed,
        }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind, self.name)
    }
}
