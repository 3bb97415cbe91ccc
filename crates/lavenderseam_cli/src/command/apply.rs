//! The `apply` command, which writes the records in a file.

use std::path::PathBuf;

use argh::FromArgs;
use lavenderseam_core::catalog::Entry;
use lavenderseam_core::record::{Document, Id};
use lavenderseam_platform::Store;
use serde_json::json;

use super::write_document;
use crate::deadline_store::DeadlineStore;
use crate::record::{DesiredRecord, Format, merge, parse};
use crate::settings;
use crate::{Conflict, Error, Report};

/// Writes the records in a file; all are validated before the first is written.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// file with records (TOML, or JSON if its name ends in .json)
    #[argh(option, short = 'f')]
    pub file: PathBuf,
}

/// Validated write of one record.
struct PlannedWrite {
    current: Option<Entry>,
    desired: Document,
}

/// Validates and writes the records in a file.
///
/// # Errors
///
/// Returns [`Error::Partial`] if writing stopped at one of several records, or another [`Error`].
pub async fn apply<S: Store>(
    store: &DeadlineStore<'_, S>,
    arguments: &Apply,
    dry_run: bool,
) -> Result<Report, Error> {
    let text = settings::read_file(&arguments.file)?;
    let records = parse(&text, Format::from_path(&arguments.file))?;
    apply_records(store, &records, dry_run).await
}

/// Writes parsed records in their order.
///
/// # Errors
///
/// Returns the same errors as [`apply`].
pub async fn apply_records<S: Store>(
    store: &DeadlineStore<'_, S>,
    records: &[DesiredRecord],
    dry_run: bool,
) -> Result<Report, Error> {
    let mut writes = Vec::new();
    for record in records {
        writes.push(plan_write(store, record).await?);
    }
    let ids: Vec<Id> = writes.iter().map(|write| write.desired.id()).collect();
    let mut text = String::new();
    let mut values = Vec::new();
    for (index, write) in writes.into_iter().enumerate() {
        match write_document(store, write.current.as_ref(), write.desired, dry_run).await {
            Ok(report) => {
                text.push_str(&report.text);
                values.push(report.json);
            }
            Err(cause) if ids.len() == 1 => return Err(cause),
            Err(cause) => {
                return Err(Error::Partial {
                    applied: ids[..index].to_vec(),
                    not_tried: ids[index + 1..].to_vec(),
                    cause: Box::new(cause),
                });
            }
        }
    }
    Ok(Report::new(text, json!(values)))
}

/// Merges a record with the stored one and validates the result.
async fn plan_write<S: Store>(
    store: &DeadlineStore<'_, S>,
    record: &DesiredRecord,
) -> Result<PlannedWrite, Error> {
    let id = record.document.id();
    let current = store.get(&id).await?;
    let current_revision = current.as_ref().map(|entry| entry.revision);
    if record.revision.is_some() && record.revision != current_revision {
        return Err(Error::Conflict(Box::new(Conflict {
            id,
            base: record.revision.map(|revision| base_entry(record, revision)),
            desired: Some(record.document.clone()),
            current,
        })));
    }
    let stored_document = current.as_ref().and_then(|entry| entry.document.as_ref());
    let desired = merge(stored_document, &record.document)?;
    Ok(PlannedWrite { current, desired })
}

/// Returns the entry that a record is based on; the document at that revision is no longer known.
fn base_entry(record: &DesiredRecord, revision: lavenderseam_core::catalog::Revision) -> Entry {
    Entry::deletion(record.document.id(), revision)
}
