//! Merging of a desired record into the stored one.
//!
//! The merged record keeps the stored schema version, unless that of the desired record is newer.
//! It also keeps stored fields that don't exist in the schema version of the desired record, and
//! stored fields that this program doesn't know.

use lavenderseam_core::record::{Document, Kind, Record, Schema, Service};
use serde_json::Value;

use super::validate::known_fields;
use super::{Error, validate};

/// Merges a desired record into the stored one and validates the result.
///
/// # Errors
///
/// Returns [`Error::SchemaTooOld`] if the desired record has one address and the stored one
/// several, or another [`Error`] if the merged record is invalid.
pub fn merge(stored: Option<&Document>, desired: &Document) -> Result<Document, Error> {
    let Some(stored) = stored else {
        return Ok(desired.clone());
    };
    let mut merged = stored.clone();
    if desired.schema > stored.schema {
        upgrade_schema(&mut merged, desired.schema);
    }
    for field in known_fields(desired.kind, desired.schema) {
        merge_field(&mut merged, desired, field)?;
    }
    let fields = known_fields(desired.kind, desired.schema);
    let desired_fields = desired.spec.iter();
    for (field, value) in desired_fields.filter(|(field, _)| !fields.contains(&field.as_str())) {
        merged.spec.insert(field.clone(), value.clone());
    }
    for (field, value) in &desired.unknown_fields {
        merged.unknown_fields.insert(field.clone(), value.clone());
    }
    validate(&merged)?;
    Ok(merged)
}

/// Converts a stored record to a newer schema version.
fn upgrade_schema(document: &mut Document, schema: Schema) {
    if document.kind == Kind::Service
        && let Some(address) = document.spec.remove("address")
    {
        let addresses = Value::Array(vec![address]);
        document.spec.insert("addresses".to_owned(), addresses);
    }
    document.schema = schema;
}

/// Sets a field of the merged record to its desired value, or removes it.
fn merge_field(
    merged: &mut Document,
    desired: &Document,
    field: &'static str,
) -> Result<(), Error> {
    if field == "address" && merged.schema > Schema(1) {
        return merge_single_address(merged, desired);
    }
    match desired.spec.get(field) {
        Some(value) => {
            merged.spec.insert(field.to_owned(), value.clone());
        }
        None => {
            merged.spec.remove(field);
        }
    }
    Ok(())
}

/// Sets the single address of a schema 1 record in a schema 2 record.
fn merge_single_address(merged: &mut Document, desired: &Document) -> Result<(), Error> {
    let has_several = Service::read(merged).is_ok_and(|service| service.addresses.len() > 1);
    if has_several {
        return Err(Error::SchemaTooOld {
            id: desired.id(),
            field: "addresses",
        });
    }
    let address = desired.spec.get("address").cloned().unwrap_or(Value::Null);
    let addresses = Value::Array(vec![address]);
    merged.spec.insert("addresses".to_owned(), addresses);
    Ok(())
}
