//! An operator: writes records by conditional updates until each is settled.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http::{Method, StatusCode};
use lavenderseam_core::id;
use lavenderseam_core::record::{self, Document, DomainState, Id, Kind, Record, Schema};
use serde::Deserialize;
use tokio::time::{Instant, sleep};

use crate::standins::now_ms;
use crate::{Error, remote};

/// Longest time that an order is tried.
const PATIENCE: Duration = Duration::from_secs(30);
/// Time between two attempts.
const RETRY: Duration = Duration::from_millis(100);
/// Operators that race.
const RACERS: usize = 8;

/// An operator.
#[derive(Clone, Copy, Debug)]
pub struct Operator {
    store: SocketAddr,
}

#[derive(Deserialize)]
struct Held {
    revision: u64,
    document: Document,
}

#[derive(Deserialize)]
struct Written {
    revision: u64,
}

/// An order that the object API has accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The record.
    pub id: Id,
    /// Its revision; none if the order deleted it.
    pub revision: Option<u64>,
    /// When it was known to be accepted, in milliseconds since the epoch.
    pub accepted_ms: u64,
}

/// A change of a record: the new document, none to delete it, or nothing left to do.
enum Change {
    Put(Document),
    Delete,
    Settled,
}

impl Order {
    fn new(id: &Id, revision: Option<u64>) -> Self {
        Self {
            id: id.clone(),
            revision,
            accepted_ms: now_ms(),
        }
    }
}

impl Operator {
    /// An operator that writes to an object API.
    #[must_use]
    pub const fn new(store: SocketAddr) -> Self {
        Self { store }
    }

    /// Takes a failure domain out or brings it back.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`] if the object API doesn't accept the order in time.
    pub async fn set_domain(&self, domain: &str, state: DomainState) -> Result<Order, Error> {
        let id = Id::new(Kind::FailureDomain, domain);
        self.settle(&id, |held| {
            let present = held.and_then(|held| record::Domain::read(held).ok());
            if present.is_some_and(|present| present.state == state) {
                return Change::Settled;
            }
            let mut document = held
                .cloned()
                .unwrap_or_else(|| Document::new(Kind::FailureDomain, domain, Schema(2)));
            let wanted = record::Domain {
                state,
                reason: None,
            };
            wanted.write(&mut document);
            Change::Put(document)
        })
        .await
    }

    /// Orders a target to drain.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`] if the object API doesn't accept the order in time.
    pub async fn drain(&self, target: &str) -> Result<Order, Error> {
        let id = Id::new(Kind::Drain, target);
        let name = id::Target::new(target);
        let name = name.map_err(|cause| Error::setting("subject", target, cause))?;
        self.settle(&id, |held| {
            if held.is_some() {
                return Change::Settled;
            }
            let mut document = Document::new(Kind::Drain, target, Schema(1));
            let drain = record::Drain {
                target: name.clone(),
            };
            drain.write(&mut document);
            Change::Put(document)
        })
        .await
    }

    /// Takes the order to drain a target back.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`] if the object API doesn't accept the order in time.
    pub async fn cancel_drain(&self, target: &str) -> Result<Order, Error> {
        let id = Id::new(Kind::Drain, target);
        let change = |held: Option<&Document>| match held {
            Some(_) => Change::Delete,
            None => Change::Settled,
        };
        self.settle(&id, change).await
    }

    /// Has several operators edit one failure domain's record at once, and returns the number of
    /// edits that were lost.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Call`] if the object API doesn't accept an edit in time.
    pub async fn race(&self, domain: &str) -> Result<usize, Error> {
        let id = Id::new(Kind::FailureDomain, domain);
        let edits = (0..RACERS).map(|number| self.annotate(&id, number));
        for edit in join_all(edits).await {
            edit?;
        }
        let held = self.read(&id).await?;
        let other = held.map(|held| held.document.other).unwrap_or_default();
        let lost = (0..RACERS).filter(|number| !other.contains_key(&annotation(*number)));
        Ok(lost.count())
    }

    async fn annotate(&self, id: &Id, number: usize) -> Result<Order, Error> {
        let key = annotation(number);
        self.settle(id, |held| {
            let Some(held) = held else {
                return Change::Settled;
            };
            if held.other.contains_key(&key) {
                return Change::Settled;
            }
            let mut document = held.clone();
            document.other.insert(key.clone(), true.into());
            Change::Put(document)
        })
        .await
    }

    /// Reads, changes and writes under the revision read until the record is as wanted. An answer
    /// that was lost shows in the next reading.
    async fn settle(
        &self,
        id: &Id,
        change: impl Fn(Option<&Document>) -> Change,
    ) -> Result<Order, Error> {
        let deadline = Instant::now() + PATIENCE;
        loop {
            match self.attempt(id, &change).await {
                Ok(Some(revision)) => return Ok(Order::new(id, revision)),
                Err(failure) if Instant::now() > deadline => return Err(failure),
                Ok(None) | Err(_) => sleep(RETRY).await,
            }
        }
    }

    /// One attempt; returns the record's revision, none if it is deleted, once it is as wanted.
    async fn attempt(
        &self,
        id: &Id,
        change: impl Fn(Option<&Document>) -> Change,
    ) -> Result<Option<Option<u64>>, Error> {
        let held = self.read(id).await?;
        let (method, body) = match change(held.as_ref().map(|held| &held.document)) {
            Change::Settled => return Ok(Some(held.map(|held| held.revision))),
            Change::Delete => (Method::DELETE, Bytes::new()),
            Change::Put(document) => (Method::PUT, self.encode(id, &document)?),
        };
        let revision = held.map(|held| format!("\"{}\"", held.revision));
        let condition = match &revision {
            Some(revision) => ("if-match", revision.as_str()),
            None => ("if-none-match", "*"),
        };
        let sent = method.clone();
        let answer = remote::send(sent, self.store, &path(id), &[condition], body).await?;
        if answer.status != StatusCode::OK {
            return Ok(None);
        }
        let written: Written = serde_json::from_slice(&answer.body)
            .map_err(|cause| Error::call(self.store, &path(id), cause))?;
        Ok(Some((method == Method::PUT).then_some(written.revision)))
    }

    async fn read(&self, id: &Id) -> Result<Option<Held>, Error> {
        let path = path(id);
        let answer = remote::send(Method::GET, self.store, &path, &[], Bytes::new()).await?;
        match answer.status {
            StatusCode::OK => serde_json::from_slice(&answer.body)
                .map(Some)
                .map_err(|cause| Error::call(self.store, &path, cause)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(Error::call(self.store, &path, status)),
        }
    }

    fn encode(&self, id: &Id, document: &Document) -> Result<Bytes, Error> {
        let encoded = serde_json::to_vec(document);
        let encoded = encoded.map_err(|cause| Error::call(self.store, &path(id), cause))?;
        Ok(Bytes::from(encoded))
    }
}

fn path(id: &Id) -> String {
    format!("/v1/objects/{}/{}", id.kind, id.name)
}

fn annotation(number: usize) -> String {
    format!("edited-by-operator-{number}")
}
