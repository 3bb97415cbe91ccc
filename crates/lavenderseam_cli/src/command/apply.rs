//! Writing the records of a file.

use std::path::PathBuf;

use argh::FromArgs;
use lavenderseam_core::catalog::Entry;
use lavenderseam_core::record::{Document, Id};
use lavenderseam_platform::Store;
use serde_json::json;

use super::store_one;
use crate::edit::Editor;
use crate::record::{Draft, Format, merge, parse};
use crate::settings;
use crate::{Conflict, Error, Report};

/// Writes the records of a file; all are checked before the first is written.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// file with records (TOML, or JSON if its name ends in .json)
    #[argh(option, short = 'f')]
    pub file: PathBuf,
}

struct Step {
    held: Option<Entry>,
    wanted: Document,
}

/// Writes the records of a file.
///
/// # Errors
///
/// Returns [`Error::Partial`] if it stopped midway, else the first [`Error`].
pub async fn apply<S: Store>(
    editor: &Editor<'_, S>,
    arguments: &Apply,
    dry_run: bool,
) -> Result<Report, Error> {
    let text = settings::read(&arguments.file)?;
    let drafts = parse(&text, Format::of(&arguments.file))?;
    apply_drafts(editor, &drafts, dry_run).await
}

/// Writes checked records in their order.
///
/// # Errors
///
/// As [`apply`].
pub async fn apply_drafts<S: Store>(
    editor: &Editor<'_, S>,
    drafts: &[Draft],
    dry_run: bool,
) -> Result<Report, Error> {
    let mut steps = Vec::new();
    for draft in drafts {
        steps.push(prepare(editor, draft).await?);
    }
    let ids: Vec<Id> = steps.iter().map(|step| step.wanted.id()).collect();
    let mut text = String::new();
    let mut values = Vec::new();
    for (index, step) in steps.into_iter().enumerate() {
        match store_one(editor, step.held.as_ref(), step.wanted, dry_run).await {
            Ok(report) => {
                text.push_str(&report.text);
                values.push(report.json);
            }
            Err(cause) if ids.len() == 1 => return Err(cause),
            Err(cause) => {
                return Err(Error::Partial {
                    applied: ids[..index].to_vec(),
                    left: ids[index + 1..].to_vec(),
                    cause: Box::new(cause),
                });
            }
        }
    }
    Ok(Report::new(text, json!(values)))
}

async fn prepare<S: Store>(editor: &Editor<'_, S>, draft: &Draft) -> Result<Step, Error> {
    let id = draft.document.id();
    let held = editor.get(&id).await?;
    let present = held.as_ref().map(|entry| entry.revision);
    if draft.revision.is_some() && draft.revision != present {
        return Err(Error::Conflict(Box::new(Conflict {
            id,
            base: draft.revision.map(|revision| base(draft, revision)),
            wanted: Some(draft.document.clone()),
            present: held,
        })));
    }
    let stored = held.as_ref().and_then(|entry| entry.document.as_ref());
    let wanted = merge(stored, &draft.document)?;
    Ok(Step { held, wanted })
}

/// The content of the revision that the operator read isn't known any more.
fn base(draft: &Draft, revision: lavenderseam_core::catalog::Revision) -> Entry {
    Entry::new(draft.document.id(), revision)
}
