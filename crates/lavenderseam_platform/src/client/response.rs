//! Parsers for the response bodies of the object API.

use lavenderseam_core::catalog::{Entry, Epoch, Revision};
use lavenderseam_core::json;
use lavenderseam_core::record::{Document, Id, Kind};
use serde::Deserialize;
use serde_json::Value;

use crate::{Error, ListResponse};

/// Body of a response to a write whose condition doesn't hold.
#[derive(Deserialize)]
struct ConflictBody {
    revision: Option<u64>,
}

/// Body of a response to a write that took effect.
#[derive(Deserialize)]
struct WriteBody {
    revision: u64,
}

/// Body of a response that holds one record.
#[derive(Deserialize)]
struct RecordBody {
    revision: u64,
    document: Document,
}

/// Body of a response that holds many records, without the records.
#[derive(Deserialize)]
struct ListBody {
    revision: u64,
}

/// Record in a response that holds many: a record with its document, or a deletion with kind and name.
#[derive(Deserialize)]
struct ListElement {
    revision: u64,
    kind: Option<Kind>,
    name: Option<String>,
    document: Option<Document>,
}

/// Parses the current revision of the record from the response to a failed condition.
pub(crate) fn conflicting_revision(body: &[u8], epoch: Epoch) -> Result<Option<Revision>, Error> {
    let conflict: ConflictBody = parse(body)?;
    let number = conflict.revision;
    number.map(|number| revision(epoch, number)).transpose()
}

/// Parses the revision of a write that took effect.
pub(crate) fn written_revision(body: &[u8], epoch: Epoch) -> Result<Revision, Error> {
    revision(epoch, parse::<WriteBody>(body)?.revision)
}

/// Parses a response that holds one record.
pub(crate) fn record(body: &[u8], epoch: Epoch) -> Result<Entry, Error> {
    let record: RecordBody = parse(body)?;
    Ok(Entry::written(
        revision(epoch, record.revision)?,
        record.document,
    ))
}

/// Parses a response that holds many records. Records of unknown kinds are skipped, so that a newer
/// version can add kinds without breaking this one, and so are records that can't be decoded.
pub(crate) fn list(body: &[u8], epoch: Epoch) -> Result<ListResponse, Error> {
    let protocol = |error: serde_json::Error| Error::Protocol(error.to_string());
    let json::Answer { entries, members } =
        json::Answer::decode(body, "entries").map_err(protocol)?;
    let list_body = ListBody::deserialize(Value::Object(members)).map_err(protocol)?;
    let mut response = ListResponse {
        entries: Vec::with_capacity(entries.len()),
        errors: Vec::new(),
        revision: revision(epoch, list_body.revision)?,
    };
    for json::Entry { value, damage } in entries {
        match damage {
            Some(error) => response.errors.push(error),
            None => response.entries.extend(list_element(value, epoch)),
        }
    }
    Ok(response)
}

/// Converts an element of a list; `None` if this version can't parse it.
fn list_element(value: Value, epoch: Epoch) -> Option<Entry> {
    let element: ListElement = serde_json::from_value(value).ok()?;
    let revision = Revision::new(epoch, element.revision)?;
    match element.document {
        Some(document) => Some(Entry::written(revision, document)),
        None => Some(Entry::deletion(
            Id::new(element.kind?, element.name?),
            revision,
        )),
    }
}

/// Returns the revision of a write with a number.
fn revision(epoch: Epoch, number: u64) -> Result<Revision, Error> {
    let out_of_range =
        || Error::Protocol(format!("revision {number} of epoch {epoch} is too high"));
    Revision::new(epoch, number).ok_or_else(out_of_range)
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|cause| Error::Protocol(cause.to_string()))
}
