//! Trait for the operations of the object API that the system needs.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use lavenderseam_core::catalog::{Entry, Revision};
use lavenderseam_core::record::{Document, Id};

use crate::Error;

/// Condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The record doesn't exist.
    Absent,
    /// The record is at this revision.
    AtRevision(Revision),
}

/// Result of a list or watch: records and the revision of the store that they reflect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListResponse {
    /// Existing records for a list; records written or deleted since for a watch.
    pub entries: Vec<Entry>,
    /// Errors of the records that were skipped because they can't be decoded.
    pub errors: Vec<String>,
    /// Revision of the store that these records reflect; a watch continues after it.
    pub revision: Revision,
}

/// Operations of the platform's object API.
pub trait Store: Send + Sync + 'static {
    /// Reads one record; `None` if it doesn't exist.
    fn get(&self, id: &Id) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;

    /// Reads all existing records.
    fn list(&self) -> impl Future<Output = Result<ListResponse, Error>> + Send;

    /// Writes a record if the condition holds and returns the revision of the write.
    fn put(
        &self,
        document: &Document,
        condition: Condition,
    ) -> impl Future<Output = Result<Revision, Error>> + Send;

    /// Deletes a record if it is at `expected_revision`, and returns the revision of the deletion.
    fn delete(
        &self,
        id: &Id,
        expected_revision: Revision,
    ) -> impl Future<Output = Result<Revision, Error>> + Send;

    /// Waits up to `wait` for writes after a revision and returns them. Returns a
    /// list without entries if there were none.
    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<ListResponse, Error>> + Send;
}

impl<S: Store> Store for Arc<S> {
    async fn get(&self, id: &Id) -> Result<Option<Entry>, Error> {
        self.as_ref().get(id).await
    }

    async fn list(&self) -> Result<ListResponse, Error> {
        self.as_ref().list().await
    }

    async fn put(&self, document: &Document, condition: Condition) -> Result<Revision, Error> {
        self.as_ref().put(document, condition).await
    }

    async fn delete(&self, id: &Id, expected_revision: Revision) -> Result<Revision, Error> {
        self.as_ref().delete(id, expected_revision).await
    }

    async fn watch(&self, after: Revision, wait: Duration) -> Result<ListResponse, Error> {
        self.as_ref().watch(after, wait).await
    }
}
