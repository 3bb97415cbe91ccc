//! The bodies of the API's answers.

use lavenderseam_core::catalog::{Entry, Revision};
use lavenderseam_core::record::{Document, Id, Kind};
use serde::Deserialize;
use serde_json::Value;

use crate::{Error, List};

#[derive(Deserialize)]
struct Held {
    revision: Option<Revision>,
}

#[derive(Deserialize)]
struct Written {
    revision: Revision,
}

#[derive(Deserialize)]
struct Single {
    revision: Revision,
    document: Document,
}

#[derive(Deserialize)]
struct Listed {
    revision: Revision,
    entries: Vec<Value>,
}

#[derive(Deserialize)]
struct Item {
    revision: Revision,
    kind: Option<Kind>,
    name: Option<String>,
    document: Option<Document>,
}

/// The revision that made a condition fail.
pub(crate) fn held(body: &[u8]) -> Result<Option<Revision>, Error> {
    parse::<Held>(body).map(|held| held.revision)
}

/// The revision of a write.
pub(crate) fn revision(body: &[u8]) -> Result<Revision, Error> {
    parse::<Written>(body).map(|written| written.revision)
}

/// One record.
pub(crate) fn entry(body: &[u8]) -> Result<Entry, Error> {
    let single: Single = parse(body)?;
    Ok(Entry::with_document(single.revision, single.document))
}

/// Many records. Kinds of a newer program are left out, so they don't stop an older one.
pub(crate) fn list(body: &[u8]) -> Result<List, Error> {
    let listed: Listed = parse(body)?;
    Ok(List {
        entries: listed.entries.into_iter().filter_map(item).collect(),
        revision: listed.revision,
    })
}

fn item(value: Value) -> Option<Entry> {
    let item: Item = serde_json::from_value(value).ok()?;
    match item.document {
        Some(document) => Some(Entry::with_document(item.revision, document)),
        None => Some(Entry::new(Id::new(item.kind?, item.name?), item.revision)),
    }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|cause| Error::Protocol(cause.to_string()))
}
