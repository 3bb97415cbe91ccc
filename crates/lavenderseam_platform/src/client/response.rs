//! Parsers for the response bodies of the object API.

use lavenderseam_core::catalog::{Entry, Revision};
use lavenderseam_core::record::{Document, Id, Kind};
use serde::Deserialize;
use serde_json::Value;

use crate::{Error, ListResponse};

/// Body of a response to a write whose condition doesn't hold.
#[derive(Deserialize)]
struct ConflictBody {
    revision: Option<Revision>,
}

/// Body of a response to a write that took effect.
#[derive(Deserialize)]
struct WriteBody {
    revision: Revision,
}

/// Body of a response that holds one record.
#[derive(Deserialize)]
struct RecordBody {
    revision: Revision,
    document: Document,
}

/// Body of a response that holds many records.
#[derive(Deserialize)]
struct ListBody {
    revision: Revision,
    entries: Vec<Value>,
}

/// Element of [`ListBody`]: a record with its document, or a deletion with kind and name.
#[derive(Deserialize)]
struct ListElement {
    revision: Revision,
    kind: Option<Kind>,
    name: Option<String>,
    document: Option<Document>,
}

/// Parses the current revision of the record from the response to a failed condition.
pub(crate) fn conflicting_revision(body: &[u8]) -> Result<Option<Revision>, Error> {
    parse::<ConflictBody>(body).map(|conflict| conflict.revision)
}

/// Parses the revision of a write that took effect.
pub(crate) fn written_revision(body: &[u8]) -> Result<Revision, Error> {
    parse::<WriteBody>(body).map(|written| written.revision)
}

/// Parses a response that holds one record.
pub(crate) fn record(body: &[u8]) -> Result<Entry, Error> {
    let record: RecordBody = parse(body)?;
    Ok(Entry::written(record.revision, record.document))
}

/// Parses a response that holds many records. Records of unknown kinds are skipped, so that a newer
/// version can add kinds without breaking this one.
pub(crate) fn list(body: &[u8]) -> Result<ListResponse, Error> {
    let list_body: ListBody = parse(body)?;
    Ok(ListResponse {
        entries: list_body
            .entries
            .into_iter()
            .filter_map(list_element)
            .collect(),
        revision: list_body.revision,
    })
}

/// Converts an element of a list; `None` if this version can't parse it.
fn list_element(value: Value) -> Option<Entry> {
    let element: ListElement = serde_json::from_value(value).ok()?;
    match element.document {
        Some(document) => Some(Entry::written(element.revision, document)),
        None => Some(Entry::deletion(
            Id::new(element.kind?, element.name?),
            element.revision,
        )),
    }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|cause| Error::Protocol(cause.to_string()))
}
