//! Deleting a record.

use argh::FromArgs;
use lavenderseam_core::record::{Id, Kind};
use lavenderseam_platform::Store;
use serde_json::json;

use crate::edit::Editor;
use crate::{Error, Report};

/// Deletes a record.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "delete")]
pub struct Delete {
    /// kind of the record
    #[argh(positional)]
    pub kind: Kind,
    /// name of the record
    #[argh(positional)]
    pub name: String,
}

/// Deletes a record.
///
/// # Errors
///
/// Returns [`Error::Missing`] if there is none, or another [`Error`].
pub async fn delete<S: Store>(
    editor: &Editor<'_, S>,
    id: &Id,
    dry_run: bool,
) -> Result<Report, Error> {
    let Some(held) = editor.get(id).await? else {
        return Err(Error::Missing(id.clone()));
    };
    let result = if dry_run {
        "would be deleted"
    } else {
        editor.delete(&held).await?;
        "deleted"
    };
    let json = json!({ "id": id, "result": result, "was": held });
    Ok(Report::new(format!("{id}: {result}\n"), json))
}
