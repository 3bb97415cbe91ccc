//! What the load needs of a caller library.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Content.
    pub body: Bytes,
}

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It surely did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// One event of a live feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its data.
    pub data: String,
}

/// Flows of a session so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowCounts {
    /// Flows established.
    pub opened: u64,
    /// Flows that could not be established.
    pub failed: u64,
    /// Live feeds that were moved to another flow.
    pub feeds_moved: u64,
    /// Attempts at requests beyond the first.
    pub retries: u64,
}

/// Opens sessions.
pub trait Client: Send + Sync + 'static {
    /// The sessions that it opens.
    type Session: Session;

    /// A session with a service.
    fn open(&self, service: SocketAddr) -> Self::Session;
}

/// One caller's session with a service; it opens flows as it needs them.
pub trait Session: Send + Sync + 'static {
    /// The feeds that it opens.
    type Feed: Feed;

    /// Sends a request that may be repeated.
    fn get(
        &self,
        path: &str,
        deadline: Duration,
    ) -> impl Future<Output = Result<Answer, Failure>> + Send;

    /// Sends a request that may not be repeated, under an idempotency key.
    fn post(
        &self,
        path: &str,
        key: &str,
        body: Bytes,
        deadline: Duration,
    ) -> impl Future<Output = Result<Answer, Failure>> + Send;

    /// A live feed; it is opened as its events are asked for, and again if its flow ends.
    fn feed(&self, path: &str) -> Self::Feed;

    /// Its flows so far.
    fn flows(&self) -> FlowCounts;

    /// The caller's addresses of established flows that ended although neither side ended them,
    /// in the order in which they were found.
    fn broken(&self) -> Vec<SocketAddr>;
}

/// A live feed.
pub trait Feed: Send + 'static {
    /// The next event, if it comes within a time.
    fn next(&mut self, time: Duration) -> impl Future<Output = Result<Event, Failure>> + Send;
}
