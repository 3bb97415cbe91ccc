//! The `delete` command.

use argh::FromArgs;
use lavenderseam_core::record::{Id, Kind};
use lavenderseam_platform::Store;
use serde_json::json;

use crate::deadline_store::DeadlineStore;
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

/// Deletes a record, or reports that it would be deleted.
///
/// # Errors
///
/// Returns [`Error::NotFound`] if the record doesn't exist, or another [`Error`].
pub async fn delete<S: Store>(
    store: &DeadlineStore<'_, S>,
    id: &Id,
    dry_run: bool,
) -> Result<Report, Error> {
    let Some(current) = store.get(id).await? else {
        return Err(Error::NotFound(id.clone()));
    };
    let result = if dry_run {
        "would be deleted"
    } else {
        store.delete(&current).await?;
        "deleted"
    };
    let json = json!({ "id": id, "result": result, "was": current });
    Ok(Report::new(format!("{id}: {result}\n"), json))
}
