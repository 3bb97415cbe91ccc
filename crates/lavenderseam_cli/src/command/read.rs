//! Printing records.

use std::fmt::Write as _;

use argh::FromArgs;
use lavenderseam_core::catalog::{Catalog, Entry};
use lavenderseam_core::record::{Id, Kind};
use lavenderseam_core::view::{Candidate, View};
use lavenderseam_platform::{List, Store};
use serde_json::{Value, json};

use super::Selector;
use crate::edit::Editor;
use crate::{Error, Report};

/// Prints records; in JSON with their revisions, as `apply` takes them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// kind of the records, or kind and name of one; all unless given
    #[argh(positional)]
    pub record: Vec<String>,
}

/// Prints a record and the targets that it bears on.
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
/// Returns [`Error::Missing`] if a named record doesn't exist, or another [`Error`].
pub async fn get<S: Store>(editor: &Editor<'_, S>, arguments: &Get) -> Result<Report, Error> {
    let selector = Selector::new(&arguments.record)?;
    let list = editor.list().await?;
    let selected = list
        .entries
        .iter()
        .filter(|entry| selector.selects(&entry.id));
    let mut entries: Vec<&Entry> = selected.collect();
    entries.sort_by(|left, right| left.id.cmp(&right.id));
    if let (true, Some(id)) = (entries.is_empty(), selector.id()) {
        return Err(Error::Missing(id));
    }
    let mut text = String::new();
    for entry in &entries {
        line(&mut text, entry);
    }
    Ok(Report::new(
        text,
        entries.iter().map(|entry| value(entry)).collect(),
    ))
}

/// Prints a record and the targets that it bears on.
///
/// # Errors
///
/// Returns [`Error::Missing`] if the record doesn't exist, or another [`Error`].
pub async fn describe<S: Store>(
    editor: &Editor<'_, S>,
    arguments: &Describe,
) -> Result<Report, Error> {
    let id = Id::new(arguments.kind, &arguments.name);
    let list = editor.list().await?;
    let found = list.entries.iter().find(|entry| entry.id == id).cloned();
    let Some(entry) = found else {
        return Err(Error::Missing(id));
    };
    let view = view(list);
    let mut targets: Vec<&Candidate> = view.targets().filter(|t| bears_on(&id, t, &view)).collect();
    targets.sort_by(|left, right| left.name.cmp(&right.name));
    let mut text = String::new();
    line(&mut text, &entry);
    for target in &targets {
        let _ = writeln!(
            text,
            "  target {} group {} failure domain {} {}",
            target.name, target.group, target.domain, target.standing
        );
    }
    let targets: Vec<Value> = targets.into_iter().map(target_value).collect();
    Ok(Report::new(
        text,
        json!({ "record": value(&entry), "targets": targets }),
    ))
}

/// The view of all records of a list.
pub(crate) fn view(list: List) -> View {
    let mut catalog = Catalog::default();
    for entry in list.entries {
        catalog.apply(entry);
    }
    View::new(&catalog)
}

fn bears_on(id: &Id, target: &Candidate, view: &View) -> bool {
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

fn target_value(target: &Candidate) -> Value {
    json!({
        "name": target.name,
        "group": target.group,
        "domain": target.domain,
        "standing": target.standing.to_string(),
    })
}

pub(crate) fn line(text: &mut String, entry: &Entry) {
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

pub(crate) fn value(entry: &Entry) -> Value {
    json!({ "revision": entry.revision, "document": entry.document })
}
