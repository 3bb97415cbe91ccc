//! Interface between the load generator and the caller library under test.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

/// Error of a request that has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The request certainly was not executed.
    NotExecuted,
    /// The request may have been executed.
    Unknown,
}

/// One event of a live feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedEvent {
    /// Data of the event.
    pub data: String,
}

/// Flow and retry counts of one session since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowCounts {
    /// Number of flows that were established.
    pub opened: u64,
    /// Number of flows that could not be established.
    pub failed: u64,
    /// Number of times that a live feed moved to another flow.
    pub feeds_moved: u64,
    /// Number of attempts at requests beyond the first.
    pub retries: u64,
}

/// Opens sessions with services.
pub trait Client: Send + Sync + 'static {
    /// Type of the sessions that the client opens.
    type Session: Session;

    /// Opens a session with a service.
    fn open_session(&self, service: SocketAddr) -> Self::Session;
}

/// Session of one caller with a service, which opens flows as needed.
pub trait Session: Send + Sync + 'static {
    /// Type of the feeds that the session opens.
    type Feed: Feed;

    /// Sends an idempotent request, which the client may retry until the deadline.
    fn get(
        &self,
        path: &str,
        deadline: Duration,
    ) -> impl Future<Output = Result<Response, RequestError>> + Send;

    /// Sends a request that is not idempotent, with an idempotency key that identifies it.
    fn post(
        &self,
        path: &str,
        key: &str,
        body: Bytes,
        deadline: Duration,
    ) -> impl Future<Output = Result<Response, RequestError>> + Send;

    /// Returns a live feed. It connects when the first event is awaited, and again if its flow
    /// ends.
    fn open_feed(&self, path: &str) -> Self::Feed;

    /// Returns the flow and retry counts of the session.
    fn flow_counts(&self) -> FlowCounts;

    /// Returns the local addresses of established flows that broke, that is, ended although
    /// neither side closed them, in the order of detection.
    fn broken_flow_addresses(&self) -> Vec<SocketAddr>;
}

/// A live feed of events.
pub trait Feed: Send + 'static {
    /// Waits for the next event, up to a timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if no event arrives before the timeout.
    fn next(
        &mut self,
        timeout: Duration,
    ) -> impl Future<Output = Result<FeedEvent, RequestError>> + Send;
}
