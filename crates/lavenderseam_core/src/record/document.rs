//! Documents: records in their stored form.

use std::fmt;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::{Error, Kind};

number! {
    /// Schema version of a document's specification.
    pub struct Schema(u32);
}

/// Identity of a record: its kind and name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Kind of the record.
    pub kind: Kind,
    /// Name of the record, unique within its kind.
    pub name: String,
}

/// Random token of one write. If the response to a write is lost, reading the document back and
/// comparing the token shows whether the write took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteToken(pub String);

/// A record as stored, including fields that this version of the software doesn't know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Kind of the record.
    pub kind: Kind,
    /// Name of the record, unique within its kind.
    pub name: String,
    /// Schema version of `spec`.
    pub schema: Schema,
    /// Token of the last write, if the writer set one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub write_token: Option<WriteToken>,
    /// Fields of the record.
    #[serde(default)]
    pub spec: Map<String, Value>,
    /// Top-level fields that this version of the software doesn't know.
    #[serde(flatten)]
    pub unknown_fields: Map<String, Value>,
}

impl Id {
    /// Creates the identity of the record with this kind and name.
    pub fn new(kind: Kind, name: impl fmt::Display) -> Self {
        Self {
            kind,
            name: name.to_string(),
        }
    }
}

impl Document {
    /// Creates a document with an empty specification.
    pub fn new(kind: Kind, name: impl fmt::Display, schema: Schema) -> Self {
        Self {
            kind,
            name: name.to_string(),
            schema,
            write_token: None,
            spec: Map::new(),
            unknown_fields: Map::new(),
        }
    }

    /// Returns the document's identity.
    #[must_use]
    pub fn id(&self) -> Id {
        Id {
            kind: self.kind,
            name: self.name.clone(),
        }
    }

    /// Checks that the document has the given kind and one of the given schema versions.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Kind`] if the kind differs, and [`Error::Schema`] if the schema version is
    /// none of `schemas`.
    pub(crate) fn check_schema(&self, kind: Kind, schemas: &[Schema]) -> Result<(), Error> {
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

    /// Reads a required field of the specification; `allowed` describes its values in the error.
    pub(crate) fn required_field<T: DeserializeOwned>(
        &self,
        field: &'static str,
        allowed: &'static str,
    ) -> Result<T, Error> {
        let found = self.spec.get(field).unwrap_or(&Value::Null);
        T::deserialize(found).map_err(|_| self.malformed_field(field, found, allowed))
    }

    /// Reads an optional field of the specification; `None` if it is absent or `null`.
    pub(crate) fn optional_field<T: DeserializeOwned>(
        &self,
        field: &'static str,
        allowed: &'static str,
    ) -> Result<Option<T>, Error> {
        match self.spec.get(field) {
            None | Some(Value::Null) => Ok(None),
            Some(_) => self.required_field(field, allowed).map(Some),
        }
    }

    /// Sets a field of the specification.
    pub(crate) fn set_field(&mut self, field: &'static str, value: impl Serialize) {
        let value = serde_json::to_value(value).unwrap_or(Value::Null);
        self.spec.insert(field.to_owned(), value);
    }

    fn malformed_field(&self, field: &'static str, found: &Value, allowed: &'static str) -> Error {
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
