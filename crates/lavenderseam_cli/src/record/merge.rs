//! Merging a wanted record with the stored one.
//!
//! The stored schema version is kept, unless the wanted record is written in a newer one. Fields
//! that the wanted record's version doesn't know are kept, and so are all fields that this program
//! doesn't know.

use lavenderseam_core::record::{Document, Kind, Record, Schema, Service};
use serde_json::Value;

use super::check::known;
use super::{Error, check};

/// What the store should hold for a wanted record, given what it holds.
///
/// # Errors
///
/// Returns [`Error::Narrow`] if the wanted record can't say what the stored one holds, or another
/// [`Error`] if the outcome isn't a valid record.
pub fn merge(held: Option<&Document>, wanted: &Document) -> Result<Document, Error> {
    let Some(held) = held else {
        return Ok(wanted.clone());
    };
    let mut merged = held.clone();
    if wanted.schema > held.schema {
        widen(&mut merged, wanted.schema);
    }
    for field in known(wanted.kind, wanted.schema) {
        set(&mut merged, wanted, field)?;
    }
    let fields = known(wanted.kind, wanted.schema);
    let unknown = wanted.spec.iter();
    for (field, value) in unknown.filter(|(field, _)| !fields.contains(&field.as_str())) {
        merged.spec.insert(field.clone(), value.clone());
    }
    for (field, value) in &wanted.other {
        merged.other.insert(field.clone(), value.clone());
    }
    check(&merged)?;
    Ok(merged)
}

/// Moves a stored record to a newer schema version.
fn widen(document: &mut Document, schema: Schema) {
    if document.kind == Kind::Service
        && let Some(address) = document.spec.remove("address")
    {
        let addresses = Value::Array(vec![address]);
        document.spec.insert("addresses".to_owned(), addresses);
    }
    document.schema = schema;
}

fn set(merged: &mut Document, wanted: &Document, field: &'static str) -> Result<(), Error> {
    if field == "address" && merged.schema > Schema(1) {
        return set_only_address(merged, wanted);
    }
    match wanted.spec.get(field) {
        Some(value) => {
            merged.spec.insert(field.to_owned(), value.clone());
        }
        None => {
            merged.spec.remove(field);
        }
    }
    Ok(())
}

/// Sets the one address of schema 1 in a record of schema 2.
fn set_only_address(merged: &mut Document, wanted: &Document) -> Result<(), Error> {
    let several = Service::read(merged).is_ok_and(|service| service.addresses.len() > 1);
    if several {
        return Err(Error::Narrow {
            id: wanted.id(),
            field: "addresses",
        });
    }
    let address = wanted.spec.get("address").cloned().unwrap_or(Value::Null);
    let addresses = Value::Array(vec![address]);
    merged.spec.insert("addresses".to_owned(), addresses);
    Ok(())
}
