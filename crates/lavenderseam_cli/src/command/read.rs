//! The `get` and `describe` commands, which print records.

use std::fmt::Write as _;

use argh::FromArgs;
use lavenderseam_core::catalog::{Catalog, Entry};
use lavenderseam_core::record::{Id, Kind};
use lavenderseam_core::view::{Candidate, View};
use lavenderseam_platform::{ListResponse, Store};
use serde_json::{Value, json};

use super::Selector;
use crate::deadline_store::DeadlineStore;
use crate::{Error, Report};

/// Prints records; the JSON output includes revisions and is accepted by `apply`.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// kind of the records, or kind and name of one (default all)
    #[argh(positional)]
    pub record: Vec<String>,
}

/// Prints a record and the targets that it applies to.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "describe")]
pub struct Describe {
    /// kind of the record
    #[argh(positional)]
    pub kind: Kind,
    /// name of the record
    #[argh(positional)]
    pub name: String,
}

/// Prints records.
///
/// # Errors
///
/// Returns [`Error::NotFound`] if a named record doesn't exist, or another [`Error`].
pub async fn get<S: Store>(store: &DeadlineStore<'_, S>, arguments: &Get) -> Result<Report, Error> {
    let selector = Selector::new(&arguments.record)?;
    let list = store.list().await?;
    let matching = list
        .entries
        .iter()
        .filter(|entry| selector.matches(&entry.id));
    let mut entries: Vec<&Entry> = matching.collect();
    entries.sort_by(|left, right| left.id.cmp(&right.id));
    if let (true, Some(id)) = (entries.is_empty(), selector.id()) {
        return Err(Error::NotFound(id));
    }
    let mut text = String::new();
    for entry in &entries {
        write_entry_line(&mut text, entry);
    }
    Ok(Report::new(
        text,
        entries.iter().map(|entry| entry_json(entry)).collect(),
    ))
}

/// Prints a record and the targets that it applies to.
///
/// # Errors
///
/// Returns [`Error::NotFound`] if the record doesn't exist, or another [`Error`].
pub async fn describe<S: Store>(
    store: &DeadlineStore<'_, S>,
    arguments: &Describe,
) -> Result<Report, Error> {
    let id = Id::new(arguments.kind, &arguments.name);
    let list = store.list().await?;
    let found = list.entries.iter().find(|entry| entry.id == id).cloned();
    let Some(entry) = found else {
        return Err(Error::NotFound(id));
    };
    let view = view(list);
    let mut targets: Vec<&Candidate> = view
        .targets()
        .filter(|t| applies_to(&id, t, &view))
        .collect();
    targets.sort_by(|left, right| left.name.cmp(&right.name));
    let mut text = String::new();
    write_entry_line(&mut text, &entry);
    for target in &targets {
        let _ = writeln!(
            text,
            "  target {} group {} failure domain {} {}",
            target.name, target.group, target.domain, target.state
        );
    }
    let targets: Vec<Value> = targets.into_iter().map(target_json).collect();
    Ok(Report::new(
        text,
        json!({ "record": entry_json(&entry), "targets": targets }),
    ))
}

/// Builds the view of all records in a list.
pub(crate) fn view(list: ListResponse) -> View {
    let mut catalog = Catalog::default();
    for entry in list.entries {
        catalog.apply(entry);
    }
    View::new(&catalog)
}

/// Returns `true` if a record applies to a target.
fn applies_to(id: &Id, target: &Candidate, view: &View) -> bool {
    match id.kind {
        Kind::Service => view
            .services()
            .any(|(_, service)| service.name.as_str() == id.name && service.group == target.group),
        Kind::BackendGroup => target.group.as_str() == id.name,
        Kind::FailureDomain => target.domain.as_str() == id.name,
        Kind::Drain | Kind::Target => target.name.as_str() == id.name,
        Kind::Balancer | Kind::Verdict => false,
    }
}

/// Returns a target as JSON.
fn target_json(target: &Candidate) -> Value {
    json!({
        "name": target.name,
        "group": target.group,
        "domain": target.domain,
        "standing": target.state.to_string(),
    })
}

/// Appends a line that describes a record.
pub(crate) fn write_entry_line(text: &mut String, entry: &Entry) {
    let Some(document) = &entry.document else {
        let _ = writeln!(text, "{} revision {} deleted", entry.id, entry.revision);
        return;
    };
    let spec = Value::Object(document.spec.clone());
    let (revision, schema) = (entry.revision, document.schema);
    let _ = writeln!(
        text,
        "{} revision {revision} schema {schema} {spec}",
        entry.id
    );
}

/// Returns a record and its revision as JSON.
pub(crate) fn entry_json(entry: &Entry) -> Value {
    json!({ "revision": entry.revision, "document": entry.document })
}
