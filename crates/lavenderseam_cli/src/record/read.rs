//! Parsing of records from TOML and JSON.
//!
//! A TOML file has `[[record]]` tables. JSON text is one record, a list of records, or an object
//! with a list under `record`. A record may have the `revision` that it is based on, as printed by
//! `get`.

use std::collections::HashSet;
use std::path::Path;

use lavenderseam_core::catalog::Revision;
use lavenderseam_core::record::Document;
use serde_json::{Map, Value};

use super::{Error, validate};

/// Format of a text that contains records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// TOML.
    Toml,
    /// JSON.
    Json,
}

/// Record that an operator wants to write.
#[derive(Clone, Debug, PartialEq)]
pub struct DesiredRecord {
    /// Document to write.
    pub document: Document,
    /// Revision that the document is based on, if given.
    pub revision: Option<Revision>,
}

impl Format {
    /// Returns the format of a file by its extension; TOML unless it is `.json`.
    #[must_use]
    pub fn from_path(path: &Path) -> Self {
        let is_json = path
            .extension()
            .is_some_and(|extension| extension.eq_ignore_ascii_case("json"));
        if is_json { Self::Json } else { Self::Toml }
    }
}

/// Parses and validates all records in a text.
///
/// # Errors
///
/// Returns the first [`Error`] found.
pub fn parse(text: &str, format: Format) -> Result<Vec<DesiredRecord>, Error> {
    let records: Vec<DesiredRecord> = record_values(text, format)?
        .into_iter()
        .enumerate()
        .map(|(index, value)| parse_record(index + 1, value))
        .collect::<Result<_, _>>()?;
    let mut seen = HashSet::new();
    for record in &records {
        validate(&record.document)?;
        let id = record.document.id();
        if !seen.insert(id.clone()) {
            return Err(Error::Duplicate(id));
        }
    }
    Ok(records)
}

/// Parses a text into the values of its records.
fn record_values(text: &str, format: Format) -> Result<Vec<Value>, Error> {
    let root = match format {
        Format::Json => serde_json::from_str(text).map_err(|error| syntax_error(&error))?,
        Format::Toml => {
            let table: toml::Table = toml::from_str(text).map_err(|error| syntax_error(&error))?;
            serde_json::to_value(table).map_err(|error| syntax_error(&error))?
        }
    };
    match root {
        Value::Array(values) => Ok(values),
        Value::Object(object) if object.contains_key("kind") => Ok(vec![Value::Object(object)]),
        Value::Object(object) => record_list(object),
        other => Err(Error::invalid(
            "file",
            "record",
            other,
            EXPECTED_RECORD_LIST,
        )),
    }
}

/// Description of the expected value in errors about a file or key that must hold a list of
/// records.
const EXPECTED_RECORD_LIST: &str = "a list of records";

/// Returns the list under the key `record`, which must be the only key.
fn record_list(mut object: Map<String, Value>) -> Result<Vec<Value>, Error> {
    let records = object.remove("record").unwrap_or(Value::Null);
    if let Some((key, value)) = object.into_iter().next() {
        return Err(Error::invalid("file", key, value, "the key record only"));
    }
    match records {
        Value::Array(values) => Ok(values),
        other => Err(Error::invalid(
            "file",
            "record",
            other,
            EXPECTED_RECORD_LIST,
        )),
    }
}

/// Parses one record; `number` is its position in the file.
fn parse_record(number: usize, value: Value) -> Result<DesiredRecord, Error> {
    let location = format!("record {number}");
    let Value::Object(mut object) = value else {
        return Err(Error::invalid(location, "record", value, "a table"));
    };
    let revision = parse_revision(&location, object.remove("revision"))?;
    // `get` prints an object with the keys `revision` and `document`.
    if let Some(Value::Object(document)) = object.remove("document") {
        object = document;
    }
    let document = parse_document(&location, object)?;
    Ok(DesiredRecord { document, revision })
}

fn parse_revision(location: &str, value: Option<Value>) -> Result<Option<Revision>, Error> {
    let Some(value) = value else {
        return Ok(None);
    };
    let number = value.as_u64();
    let allowed = "a whole number, as `get` prints it";
    let number = number.ok_or_else(|| Error::invalid(location, "revision", &value, allowed))?;
    Ok(Some(Revision(number)))
}

fn parse_document(location: &str, mut object: Map<String, Value>) -> Result<Document, Error> {
    // `get` also prints the token of the last write, which is not part of the record.
    object.remove("write_token");
    let kinds = "Service, BackendGroup, FailureDomain, Drain";
    require_string(location, &object, "kind", kinds)?;
    require_string(location, &object, "name", "a name")?;
    let schema = object.get("schema").unwrap_or(&Value::Null);
    if schema
        .as_u64()
        .and_then(|n| u32::try_from(n).ok())
        .is_none()
    {
        return Err(Error::invalid(location, "schema", schema, "1 or 2"));
    }
    let spec = object.get("spec").unwrap_or(&Value::Null);
    if !spec.is_object() {
        return Err(Error::invalid(
            location,
            "spec",
            spec,
            "a table with the record's fields",
        ));
    }
    let kind = object.get("kind").cloned().unwrap_or(Value::Null);
    serde_json::from_value(Value::Object(object))
        .map_err(|_| Error::invalid(location, "kind", kind, kinds))
}

/// Returns an error if the value of a key is not a string.
fn require_string(
    location: &str,
    object: &Map<String, Value>,
    key: &str,
    allowed: &str,
) -> Result<(), Error> {
    let value = object.get(key).unwrap_or(&Value::Null);
    if value.is_string() {
        return Ok(());
    }
    Err(Error::invalid(location, key, value, allowed))
}

fn syntax_error(error: &dyn std::fmt::Display) -> Error {
    Error::Syntax(error.to_string())
}
