//! What the system needs of the platform's object API.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use lavenderseam_core::catalog::{Entry, Revision};
use lavenderseam_core::record::{Document, Id};

use crate::Error;

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The record doesn't exist.
    Absent,
    /// The record is at this revision.
    At(Revision),
}

/// All records at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct List {
    /// The records; deletions are not included.
    pub entries: Vec<Entry>,
    /// Revision of the whole; a watch continues after it.
    pub revision: Revision,
}

/// The platform's object API.
pub trait Store: Send + Sync + 'static {
    /// Reads one record.
    fn get(&self, id: &Id) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;

    /// Reads all records.
    fn list(&self) -> impl Future<Output = Result<List, Error>> + Send;

    /// Writes a record under a condition and returns the revision of the write.
    fn put(
        &self,
        document: &Document,
        condition: Condition,
    ) -> impl Future<Output = Result<Revision, Error>> + Send;

    /// Deletes a record that is at a revision and returns the revision of the deletion.
    fn delete(
        &self,
        id: &Id,
        held: Revision,
    ) -> impl Future<Output = Result<Revision, Error>> + Send;

    /// Waits up to `wait` for writes after a revision; none if nothing was written meanwhile.
    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<List, Error>> + Send;
}

impl<S: Store> Store for Arc<S> {
    async fn get(&self, id: &Id) -> Result<Option<Entry>, Error> {
        self.as_ref().get(id).await
    }

    async fn list(&self) -> Result<List, Error> {
        self.as_ref().list().await
    }

    async fn put(&self, document: &Document, condition: Condition) -> Result<Revision, Error> {
        self.as_ref().put(document, condition).await
    }

    async fn delete(&self, id: &Id, held: Revision) -> Result<Revision, Error> {
        self.as_ref().delete(id, held).await
    }

    async fn watch(&self, after: Revision, wait: Duration) -> Result<List, Error> {
        self.as_ref().watch(after, wait).await
    }
}
