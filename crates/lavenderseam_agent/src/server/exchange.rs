//! A request's stream with its deadline and identifiers, common to all kinds of requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::FusedFuture;
use h3::error::StreamError;
use http::{HeaderValue, Method, Request, Response, StatusCode, header as field};
use lavenderseam_core::request::{Refusal, Stage};
use lavenderseam_quic::Stopped;
use lavenderseam_telemetry::trace;
use quinn::{ConnectionError, StoppedError};
use tokio::time::Instant;

use super::Server;
use super::reply::{self, RequestStream};
use crate::header;

/// Deadline of a request that names none and isn't an event stream.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
/// Media type of server-sent events.
const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// Kind of a request, which decides how it is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// The request may be retried.
    Idempotent,
    /// Server-sent events. The request may be retried, its response has no end, and it isn't
    /// limited by the concurrency window.
    Sse,
    /// The request must run at most once.
    NonIdempotent,
}

/// A request's stream with its deadline and identifiers.
pub(super) struct Exchange {
    pub(super) server: Arc<Server>,
    pub(super) stream: RequestStream,
    /// Resolves when the caller has cancelled the response or has received all of it.
    pub(super) stopped: Stopped,
    /// Deadline; `None` for an event stream that names none.
    pub(super) deadline: Option<Instant>,
    /// Request id that the caller gave this attempt.
    pub(super) attempt_id: Option<HeaderValue>,
}

/// Why an exchange ends before its response is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Abort {
    /// The caller has cancelled the request.
    Cancel,
    /// The caller's connection was lost.
    ConnectionLost,
    /// The deadline has passed.
    Deadline,
}

impl Kind {
    /// Determines the kind of a request from its method and its `accept` field.
    pub(super) fn new(request: &Request<()>) -> Self {
        let accept = request.headers().get(field::ACCEPT);
        let event_stream = accept
            .and_then(|accept| accept.to_str().ok())
            .is_some_and(|accept| accept.contains(EVENT_STREAM_TYPE));
        match *request.method() {
            Method::GET if event_stream => Self::Sse,
            Method::GET | Method::HEAD | Method::OPTIONS => Self::Idempotent,
            _ => Self::NonIdempotent,
        }
    }
}

impl Exchange {
    pub(super) fn new(
        server: Arc<Server>,
        stream: RequestStream,
        stopped: Stopped,
        request: &Request<()>,
        kind: Kind,
    ) -> Self {
        Self {
            server,
            stream,
            stopped,
            deadline: request_deadline(request, kind),
            attempt_id: request.headers().get(&header::REQUEST_ID).cloned(),
        }
    }

    /// Resolves when the caller is gone or the deadline has passed.
    pub(super) async fn aborted(&mut self) -> Abort {
        tokio::select! {
            abort = cancelled_or_lost(&mut self.stopped) => abort,
            () = deadline_passed(self.deadline) => Abort::Deadline,
        }
    }

    /// Sends a response that the agent itself generates.
    pub(super) async fn refuse(
        &mut self,
        status: StatusCode,
        refusal: &Refusal,
    ) -> Result<(), StreamError> {
        let response = reply::refusal_response(status, refusal);
        self.send(response).await
    }

    /// Sends a complete response with the request id of this attempt; a stored response has the id
    /// of an earlier attempt.
    pub(super) async fn send(&mut self, mut response: Response<Bytes>) -> Result<(), StreamError> {
        if let Some(attempt_id) = &self.attempt_id {
            let headers = response.headers_mut();
            headers.insert(header::REQUEST_ID, attempt_id.clone());
        }
        reply::send_complete(&mut self.stream, response).await
    }

    /// Refuses the request because the concurrency limit is reached.
    pub(super) async fn shed_load(&mut self, retry_after: Duration) -> Result<(), StreamError> {
        self.server.metrics.count("requests.refused", 1);
        let refusal = Refusal::with_retry_after(Stage::NotSent, retry_after);
        self.refuse(StatusCode::SERVICE_UNAVAILABLE, &refusal).await
    }

    /// Returns the time left until the deadline.
    pub(super) fn remaining(&self) -> Option<Duration> {
        self.deadline
            .map(|deadline| deadline.saturating_duration_since(Instant::now()))
    }

    /// Waits until the caller has received the whole response or its connection has ended, so that
    /// a drain doesn't close the connection earlier.
    pub(super) async fn wait_until_received(&mut self) {
        if !self.stopped.is_terminated() {
            let _ = (&mut self.stopped).await;
        }
    }
}

/// Resolves when the caller has cancelled the request or its connection was lost; never if the
/// caller has received the whole response.
pub(super) async fn cancelled_or_lost(stopped: &mut Stopped) -> Abort {
    match stopped.await {
        Ok(Some(_)) => Abort::Cancel,
        Ok(None) => std::future::pending().await,
        // A caller that closes its connection cancels all of its requests.
        Err(StoppedError::ConnectionLost(ConnectionError::ApplicationClosed(_))) => Abort::Cancel,
        Err(_) => Abort::ConnectionLost,
    }
}

/// Resolves when the deadline has passed; never without one.
pub(super) async fn deadline_passed(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

/// Returns the trace id from a request's `traceparent` field: `00-<trace>-<span>-<flags>`.
pub(super) fn trace_id(request: &Request<()>) -> Option<trace::Id> {
    let traceparent: String = header::parse_field(request.headers(), &header::TRACEPARENT)?;
    traceparent.split('-').nth(1)?.parse().ok()
}

/// Returns the deadline that the request names or the default; `None` for an event stream that
/// names none.
fn request_deadline(request: &Request<()>, kind: Kind) -> Option<Instant> {
    let requested =
        header::parse_field(request.headers(), &header::DEADLINE).map(Duration::from_millis);
    let limit = match kind {
        Kind::Sse => requested,
        Kind::Idempotent | Kind::NonIdempotent => Some(requested.unwrap_or(DEFAULT_DEADLINE)),
    };
    limit.map(|limit| Instant::now() + limit)
}

/// Builds the request that is sent to the backend server.
pub(super) fn backend_request(
    exchange: &Exchange,
    request: Request<()>,
    body: Bytes,
) -> Request<http_body_util::Full<Bytes>> {
    let (mut parts, ()) = request.into_parts();
    let headers = &mut parts.headers;
    header::remove_hop_by_hop(headers);
    headers.remove(header::BINDING);
    if let Some(remaining) = exchange.remaining() {
        headers.insert(header::DEADLINE, header::field_value(remaining.as_millis()));
    }
    if let Some(authority) = parts.uri.authority() {
        headers.insert(field::HOST, header::field_value(authority));
    }
    headers
        .entry(header::REQUEST_ID)
        .or_insert_with(|| header::field_value(format_args!("{:032x}", rand::random::<u128>())));
    parts.version = http::Version::HTTP_11;
    Request::from_parts(parts, http_body_util::Full::new(body))
}
