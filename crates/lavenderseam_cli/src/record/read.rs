//! Reading records from TOML and JSON text.
//!
//! TOML holds `[[record]]` tables; JSON holds one record, a list of records, or an object with the
//! list under `record`. A record may carry the `revision` that it is based on, as `get` prints it.

use std::collections::HashSet;
use std::path::Path;

use lavenderseam_core::catalog::Revision;
use lavenderseam_core::record::Document;
use serde_json::{Map, Value};

use super::{Error, check};

/// Format of a text with records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// TOML.
    Toml,
    /// JSON.
    Json,
}

/// A record as an operator wants it.
#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    /// The record.
    pub document: Document,
    /// The revision that it is based on, if given.
    pub revision: Option<Revision>,
}

impl Format {
    /// The format of a file, by its name.
    #[must_use]
    pub fn of(path: &Path) -> Self {
        let json = path
            .extension()
            .is_some_and(|extension| extension.eq_ignore_ascii_case("json"));
        if json { Self::Json } else { Self::Toml }
    }
}

/// Reads and checks all records of a text.
///
/// # Errors
///
/// Returns the first [`Error`] found.
pub fn parse(text: &str, format: Format) -> Result<Vec<Draft>, Error> {
    let drafts: Vec<Draft> = values(text, format)?
        .into_iter()
        .enumerate()
        .map(|(index, value)| draft(index + 1, value))
        .collect::<Result<_, _>>()?;
    let mut seen = HashSet::new();
    for draft in &drafts {
        check(&draft.document)?;
        let id = draft.document.id();
        if !seen.insert(id.clone()) {
            return Err(Error::Twice(id));
        }
    }
    Ok(drafts)
}

fn values(text: &str, format: Format) -> Result<Vec<Value>, Error> {
    let whole = match format {
        Format::Json => serde_json::from_str(text).map_err(|error| syntax(&error))?,
        Format::Toml => {
            let table: toml::Table = toml::from_str(text).map_err(|error| syntax(&error))?;
            serde_json::to_value(table).map_err(|error| syntax(&error))?
        }
    };
    match whole {
        Value::Array(values) => Ok(values),
        Value::Object(object) if object.contains_key("kind") => Ok(vec![Value::Object(object)]),
        Value::Object(object) => under_record(object),
        other => Err(Error::key("file", "record", other, LIST)),
    }
}

const LIST: &str = "a list of records";

fn under_record(mut object: Map<String, Value>) -> Result<Vec<Value>, Error> {
    let records = object.remove("record").unwrap_or(Value::Null);
    if let Some((key, value)) = object.into_iter().next() {
        return Err(Error::key("file", key, value, "the key record only"));
    }
    match records {
        Value::Array(values) => Ok(values),
        other => Err(Error::key("file", "record", other, LIST)),
    }
}

fn draft(number: usize, value: Value) -> Result<Draft, Error> {
    let place = format!("record {number}");
    let Value::Object(mut object) = value else {
        return Err(Error::key(place, "record", value, "a table"));
    };
    let revision = revision(&place, object.remove("revision"))?;
    // `get` prints a record beside its revision.
    if let Some(Value::Object(inner)) = object.remove("document") {
        object = inner;
    }
    let document = document(&place, object)?;
    Ok(Draft { document, revision })
}

fn revision(place: &str, value: Option<Value>) -> Result<Option<Revision>, Error> {
    let Some(value) = value else {
        return Ok(None);
    };
    let number = value.as_u64();
    let allowed = "a whole number, as `get` prints it";
    let number = number.ok_or_else(|| Error::key(place, "revision", &value, allowed))?;
    Ok(Some(Revision(number)))
}

fn document(place: &str, mut object: Map<String, Value>) -> Result<Document, Error> {
    // The token of the write that the record was read from is no part of the record.
    object.remove("write_token");
    let kinds = "Service, BackendGroup, FailureDomain, Drain";
    text(place, &object, "kind", kinds)?;
    text(place, &object, "name", "a name")?;
    let schema = object.get("schema").unwrap_or(&Value::Null);
    if schema
        .as_u64()
        .and_then(|n| u32::try_from(n).ok())
        .is_none()
    {
        return Err(Error::key(place, "schema", schema, "1 or 2"));
    }
    let spec = object.get("spec").unwrap_or(&Value::Null);
    if !spec.is_object() {
        return Err(Error::key(
            place,
            "spec",
            spec,
            "a table with the record's fields",
        ));
    }
    let kind = object.get("kind").cloned().unwrap_or(Value::Null);
    serde_json::from_value(Value::Object(object))
        .map_err(|_| Error::key(place, "kind", kind, kinds))
}

fn text(place: &str, object: &Map<String, Value>, key: &str, allowed: &str) -> Result<(), Error> {
    let value = object.get(key).unwrap_or(&Value::Null);
    if value.is_string() {
        return Ok(());
    }
    Err(Error::key(place, key, value, allowed))
}

fn syntax(error: &dyn std::fmt::Display) -> Error {
    Error::Syntax(error.to_string())
}
