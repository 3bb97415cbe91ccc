//! One request's stream and its surroundings, whichever way it is served.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::FusedFuture;
use h3::error::StreamError;
use http::{HeaderValue, Method, Request, Response, StatusCode, header as field};
use lavenderseam_core::request::{Refusal, Stage};
use lavenderseam_quic::Watch;
use lavenderseam_telemetry::trace;
use quinn::{ConnectionError, StoppedError};
use tokio::time::Instant;

use super::Server;
use super::reply::{self, Stream};
use crate::header;

/// Time for a request that names none and isn't a live feed.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(60);
/// Media type of a live feed.
const FEED: &str = "text/event-stream";

/// How a request is to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// It may be repeated.
    Repeatable,
    /// It may be repeated, has no end of its own and takes no slot.
    Feed,
    /// It may not be repeated.
    Edit,
}

/// A request's stream and its surroundings.
pub(super) struct Exchange {
    pub(super) server: Arc<Server>,
    pub(super) stream: Stream,
    pub(super) watch: Watch,
    /// None for a feed without one.
    pub(super) deadline: Option<Instant>,
    /// The caller's id of this attempt.
    pub(super) id: Option<HeaderValue>,
}

/// Why an exchange ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Gone {
    /// The caller has given the answer up.
    Cancelled,
    /// The caller's connection is lost.
    Lost,
    /// The deadline has passed.
    Late,
}

impl Kind {
    pub(super) fn new(request: &Request<()>) -> Self {
        let accept = request.headers().get(field::ACCEPT);
        let feed = accept
            .and_then(|accept| accept.to_str().ok())
            .is_some_and(|accept| accept.contains(FEED));
        match *request.method() {
            Method::GET if feed => Self::Feed,
            Method::GET | Method::HEAD | Method::OPTIONS => Self::Repeatable,
            _ => Self::Edit,
        }
    }
}

impl Exchange {
    pub(super) fn new(
        server: Arc<Server>,
        stream: Stream,
        watch: Watch,
        request: &Request<()>,
        kind: Kind,
    ) -> Self {
        Self {
            server,
            stream,
            watch,
            deadline: deadline(request, kind),
            id: request.headers().get(&header::REQUEST_ID).cloned(),
        }
    }

    /// Resolves when the exchange has to end early.
    pub(super) async fn gone(&mut self) -> Gone {
        tokio::select! {
            gone = gone(&mut self.watch) => gone,
            () = passed(self.deadline) => Gone::Late,
        }
    }

    /// Answers on the agent's own account.
    pub(super) async fn refuse(
        &mut self,
        status: StatusCode,
        refusal: &Refusal,
    ) -> Result<(), StreamError> {
        let response = reply::refusal(status, refusal);
        self.send(response).await
    }

    /// Sends a whole response under this attempt's id: a stored answer has that of an earlier one.
    pub(super) async fn send(&mut self, mut response: Response<Bytes>) -> Result<(), StreamError> {
        if let Some(id) = &self.id {
            let headers = response.headers_mut();
            headers.insert(header::REQUEST_ID, id.clone());
        }
        reply::send(&mut self.stream, response).await
    }

    /// Answers that the window is full.
    pub(super) async fn refuse_full(&mut self, retry_after: Duration) -> Result<(), StreamError> {
        self.server.metrics.count("requests.refused", 1);
        let refusal = Refusal::with_retry_after(Stage::Held, retry_after);
        self.refuse(StatusCode::SERVICE_UNAVAILABLE, &refusal).await
    }

    /// Time left for the backend server.
    pub(super) fn remaining(&self) -> Option<Duration> {
        self.deadline
            .map(|deadline| deadline.saturating_duration_since(Instant::now()))
    }

    /// Waits until the caller has all of the answer or its connection has ended, so that the
    /// connection isn't closed before.
    pub(super) async fn received(&mut self) {
        if !self.watch.is_terminated() {
            let _ = (&mut self.watch).await;
        }
    }
}

/// Resolves when the caller has given up a stream or is lost.
pub(super) async fn gone(watch: &mut Watch) -> Gone {
    match watch.await {
        Ok(Some(_)) => Gone::Cancelled,
        Ok(None) => std::future::pending().await,
        // A caller that closes its connection gives up all that it still waits for.
        Err(StoppedError::ConnectionLost(ConnectionError::ApplicationClosed(_))) => Gone::Cancelled,
        Err(_) => Gone::Lost,
    }
}

/// Resolves when a deadline has passed.
pub(super) async fn passed(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

/// Trace of a request, from its `traceparent` field: `00-<trace>-<span>-<flags>`.
pub(super) fn trace(request: &Request<()>) -> Option<trace::Id> {
    let parent: String = header::parsed(request.headers(), &header::TRACEPARENT)?;
    parent.split('-').nth(1)?.parse().ok()
}

fn deadline(request: &Request<()>, kind: Kind) -> Option<Instant> {
    let named = header::parsed(request.headers(), &header::DEADLINE).map(Duration::from_millis);
    let time = match kind {
        Kind::Feed => named,
        Kind::Repeatable | Kind::Edit => Some(named.unwrap_or(DEADLINE_DEFAULT)),
    };
    time.map(|time| Instant::now() + time)
}

/// The request as the backend server gets it.
pub(super) fn forwarded(
    exchange: &Exchange,
    request: Request<()>,
    body: Bytes,
) -> Request<http_body_util::Full<Bytes>> {
    let (mut parts, ()) = request.into_parts();
    let headers = &mut parts.headers;
    header::strip_hop_by_hop(headers);
    headers.remove(header::BINDING);
    if let Some(remaining) = exchange.remaining() {
        headers.insert(header::DEADLINE, header::value(remaining.as_millis()));
    }
    if let Some(authority) = parts.uri.authority() {
        headers.insert(field::HOST, header::value(authority));
    }
    headers
        .entry(header::REQUEST_ID)
        .or_insert_with(|| header::value(format_args!("{:032x}", rand::random::<u128>())));
    parts.version = http::Version::HTTP_11;
    Request::from_parts(parts, http_body_util::Full::new(body))
}
