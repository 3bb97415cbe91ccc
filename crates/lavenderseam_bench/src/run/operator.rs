//! A simulated operator, which changes records by conditional writes and retries until a change is
//! accepted.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http::{HeaderMap, Method, StatusCode};
use lavenderseam_core::catalog::{Epoch, Revision};
use lavenderseam_core::id;
use lavenderseam_core::record::{self, Document, DomainState, Id, Kind, Record, Schema};
use serde::Deserialize;
use tokio::time::{Instant, sleep};

use crate::stand_ins::platform::EPOCH_HEADER;
use crate::stand_ins::unix_time_ms;
use crate::{Error, http_client};

/// Time limit for all attempts at one change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two attempts at a change.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Number of operators that edit a record concurrently in a race.
const RACING_OPERATORS: usize = 8;

/// Operator that changes records through the object API.
#[derive(Clone, Copy, Debug)]
pub struct Operator {
    object_api: SocketAddr,
}

/// Object as the object API returns it.
#[derive(Deserialize)]
struct StoredObject {
    revision: u64,
    document: Document,
    /// Epoch of the revision.
    #[serde(skip)]
    epoch: Epoch,
}

/// Response of the object API to a write.
#[derive(Deserialize)]
struct WriteResponse {
    revision: u64,
}

/// A write to a record that the object API has accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedWrite {
    /// Id of the record.
    pub id: Id,
    /// Revision of the record after the write; `None` if the write deleted the record.
    pub revision: Option<Revision>,
    /// Time at which the operator learnt that the write was accepted, in milliseconds since the
    /// epoch.
    pub accepted_ms: u64,
}

/// Write that is required to bring a record to its wanted state.
enum RequiredWrite {
    /// Write the document.
    Put(Document),
    /// Delete the record.
    Delete,
    /// The record is already as wanted.
    NotNeeded,
}

impl AcceptedWrite {
    /// Returns a write that is accepted now.
    fn new(id: &Id, revision: Option<Revision>) -> Self {
        Self {
            id: id.clone(),
            revision,
            accepted_ms: unix_time_ms(),
        }
    }
}

impl Operator {
    /// Returns an operator that uses the object API at an address.
    #[must_use]
    pub const fn new(object_api: SocketAddr) -> Self {
        Self { object_api }
    }

    /// Takes a failure domain out of service or brings it back.
    ///
    /// # Errors
    ///
    /// Returns [`Error::HttpRequest`] if the object API doesn't accept the change before the
    /// timeout.
    pub async fn set_domain(&self, name: &str, state: DomainState) -> Result<AcceptedWrite, Error> {
        let id = Id::new(Kind::FailureDomain, name);
        self.apply_change(&id, |stored| {
            let current = stored.and_then(|stored| record::Domain::read(stored).ok());
            if current.is_some_and(|current| current.state == state) {
                return RequiredWrite::NotNeeded;
            }
            let mut document = stored
                .cloned()
                .unwrap_or_else(|| Document::new(Kind::FailureDomain, name, Schema(2)));
            let desired = record::Domain {
                state,
                reason: None,
            };
            desired.write(&mut document);
            RequiredWrite::Put(document)
        })
        .await
    }

    /// Creates the record that makes a target drain.
    ///
    /// # Errors
    ///
    /// Returns [`Error::HttpRequest`] if the object API doesn't accept the change before the
    /// timeout.
    pub async fn drain(&self, target: &str) -> Result<AcceptedWrite, Error> {
        let id = Id::new(Kind::Drain, target);
        let name = id::Target::new(target);
        let name = name.map_err(|error| Error::setting("subject", target, error))?;
        self.apply_change(&id, |stored| {
            if stored.is_some() {
                return RequiredWrite::NotNeeded;
            }
            let mut document = Document::new(Kind::Drain, target, Schema(1));
            let drain = record::Drain {
                target: name.clone(),
            };
            drain.write(&mut document);
            RequiredWrite::Put(document)
        })
        .await
    }

    /// Deletes the record that makes a target drain.
    ///
    /// # Errors
    ///
    /// Returns [`Error::HttpRequest`] if the object API doesn't accept the change before the
    /// timeout.
    pub async fn cancel_drain(&self, target: &str) -> Result<AcceptedWrite, Error> {
        let id = Id::new(Kind::Drain, target);
        let required_write = |stored: Option<&Document>| match stored {
            Some(_) => RequiredWrite::Delete,
            None => RequiredWrite::NotNeeded,
        };
        self.apply_change(&id, required_write).await
    }

    /// Edits the record of a failure domain as several concurrent operators, and returns the number
    /// of edits that were lost.
    ///
    /// # Errors
    ///
    /// Returns [`Error::HttpRequest`] if the object API doesn't accept an edit before the timeout.
    pub async fn race(&self, domain: &str) -> Result<usize, Error> {
        let id = Id::new(Kind::FailureDomain, domain);
        let edits = (0..RACING_OPERATORS).map(|operator| self.add_annotation(&id, operator));
        for edit in join_all(edits).await {
            edit?;
        }
        let stored = self.read_object(&id).await?;
        let unknown_fields = stored
            .map(|stored| stored.document.unknown_fields)
            .unwrap_or_default();
        let lost = (0..RACING_OPERATORS)
            .filter(|operator| !unknown_fields.contains_key(&annotation_key(*operator)));
        Ok(lost.count())
    }

    /// Adds the annotation of one racing operator to a record, unless the record is missing.
    async fn add_annotation(&self, id: &Id, operator: usize) -> Result<AcceptedWrite, Error> {
        let key = annotation_key(operator);
        self.apply_change(id, |stored| {
            let Some(stored) = stored else {
                return RequiredWrite::NotNeeded;
            };
            if stored.unknown_fields.contains_key(&key) {
                return RequiredWrite::NotNeeded;
            }
            let mut document = stored.clone();
            document.unknown_fields.insert(key.clone(), true.into());
            RequiredWrite::Put(document)
        })
        .await
    }

    /// Reads a record and writes it on condition that its revision is unchanged, until it is as
    /// wanted. If the response to a write is lost, the next read shows whether the write took
    /// effect.
    async fn apply_change(
        &self,
        id: &Id,
        required_write: impl Fn(Option<&Document>) -> RequiredWrite,
    ) -> Result<AcceptedWrite, Error> {
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        loop {
            match self.try_change(id, &required_write).await {
                Ok(Some(revision)) => return Ok(AcceptedWrite::new(id, revision)),
                Err(error) if Instant::now() > deadline => return Err(error),
                Ok(None) | Err(_) => sleep(RETRY_INTERVAL).await,
            }
        }
    }

    /// Makes one attempt at a change. Returns `None` if the write was rejected, else the revision
    /// of the record, which is `None` if the record is deleted.
    async fn try_change(
        &self,
        id: &Id,
        required_write: impl Fn(Option<&Document>) -> RequiredWrite,
    ) -> Result<Option<Option<Revision>>, Error> {
        let stored = self.read_object(id).await?;
        let (method, body) = match required_write(stored.as_ref().map(|stored| &stored.document)) {
            RequiredWrite::NotNeeded => {
                return Ok(Some(
                    stored.and_then(|stored| Revision::new(stored.epoch, stored.revision)),
                ));
            }
            RequiredWrite::Delete => (Method::DELETE, Bytes::new()),
            RequiredWrite::Put(document) => (Method::PUT, self.encode_document(id, &document)?),
        };
        let revision = stored.map(|stored| format!("\"{}\"", stored.revision));
        let condition = match &revision {
            Some(revision) => ("if-match", revision.as_str()),
            None => ("if-none-match", "*"),
        };
        let request_method = method.clone();
        let response = http_client::send_request(
            request_method,
            self.object_api,
            &object_path(id),
            &[condition],
            body,
        )
        .await?;
        if response.status != StatusCode::OK {
            return Ok(None);
        }
        let write_response: WriteResponse = serde_json::from_slice(&response.body)
            .map_err(|error| Error::http(self.object_api, &object_path(id), error))?;
        if method == Method::DELETE {
            return Ok(Some(None));
        }
        let revision = Revision::new(epoch(&response.headers), write_response.revision);
        Ok(Some(revision))
    }

    /// Reads an object; returns `None` if it doesn't exist.
    async fn read_object(&self, id: &Id) -> Result<Option<StoredObject>, Error> {
        let path = object_path(id);
        let response =
            http_client::send_request(Method::GET, self.object_api, &path, &[], Bytes::new())
                .await?;
        match response.status {
            StatusCode::OK => {
                let stored: StoredObject = serde_json::from_slice(&response.body)
                    .map_err(|error| Error::http(self.object_api, &path, error))?;
                let epoch = epoch(&response.headers);
                Ok(Some(StoredObject { epoch, ..stored }))
            }
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(Error::http(self.object_api, &path, status)),
        }
    }

    /// Encodes a document as JSON.
    fn encode_document(&self, id: &Id, document: &Document) -> Result<Bytes, Error> {
        let encoded = serde_json::to_vec(document);
        let encoded =
            encoded.map_err(|error| Error::http(self.object_api, &object_path(id), error))?;
        Ok(Bytes::from(encoded))
    }
}

/// Returns the epoch in the headers of a response.
fn epoch(headers: &HeaderMap) -> Epoch {
    let value = headers.get(EPOCH_HEADER);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or_default()
}

/// Returns the path of a record in the object API.
fn object_path(id: &Id) -> String {
    format!("/v1/objects/{}/{}", id.kind, id.name)
}

/// Returns the key that one racing operator adds to a document.
fn annotation_key(number: usize) -> String {
    format!("edited-by-operator-{number}")
}
