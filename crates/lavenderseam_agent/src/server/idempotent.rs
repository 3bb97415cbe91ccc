//! Streams the responses of idempotent requests, downloads and event streams.

use std::time::Duration;

use bytes::Bytes;
use h3::error::{Code, StreamError};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use lavenderseam_core::admission::Outcome;
use lavenderseam_core::request::{Refusal, Stage};
use lavenderseam_telemetry::trace::{Hop, Span};
use tokio::sync::watch;

use super::drain_state::{DrainState, wait_until_leaving};
use super::exchange::{
    Abort, Exchange, Kind, backend_request, cancelled_or_lost, deadline_passed, trace_id,
};
use super::reply;
use crate::backend_client;
use crate::concurrency_limiter::Permit;

/// Period over which open event streams are closed when the agent drains, so that their callers
/// don't all reconnect at once.
const EVENT_STREAM_CLOSE_SPREAD: Duration = Duration::from_secs(1);
/// Terminator of an event in an event stream.
const EVENT_TERMINATOR: &[u8] = b"\n\n";

/// Serves an idempotent request or an event stream.
pub(super) async fn serve(
    exchange: &mut Exchange,
    request: Request<()>,
    kind: Kind,
) -> Result<(), StreamError> {
    let mut permit = match kind {
        Kind::Sse => None,
        Kind::Idempotent | Kind::NonIdempotent => match exchange.server.limiter.acquire() {
            Ok(permit) => Some(permit),
            Err(full) => return exchange.shed_load(full.retry_after).await,
        },
    };
    let span = trace_id(&request).map(|trace| Span::new(Hop::Backend, "answer head", trace));
    let request = backend_request(exchange, request, Bytes::new());
    let backend = exchange.server.backend.clone();
    let result = tokio::select! {
        result = backend.send(request) => result,
        abort = exchange.aborted() => return abort_exchange(exchange, abort, permit).await,
    };
    drop(span);
    match result {
        Ok(response) => {
            if let Some(permit) = &mut permit {
                permit.record_first_byte();
            }
            stream_response(exchange, response, permit, kind).await
        }
        Err(error) => refuse_failed(exchange, &error, permit).await,
    }
}

/// Records the failure of the backend server and refuses the request.
async fn refuse_failed(
    exchange: &mut Exchange,
    error: &backend_client::Error,
    permit: Option<Permit>,
) -> Result<(), StreamError> {
    exchange.server.log.debug(error);
    match permit {
        Some(mut permit) => permit.release(error.outcome()),
        None if error.outcome() == Outcome::Unreachable => exchange.server.limiter.on_unreachable(),
        None => {}
    }
    let refusal = Refusal::new(error.stage());
    exchange.refuse(StatusCode::BAD_GATEWAY, &refusal).await
}

/// Ends a request whose response head hasn't arrived.
async fn abort_exchange(
    exchange: &mut Exchange,
    abort: Abort,
    permit: Option<Permit>,
) -> Result<(), StreamError> {
    match abort {
        Abort::Cancel | Abort::ConnectionLost => {
            exchange.stream.stop_stream(Code::H3_REQUEST_CANCELLED);
            Ok(())
        }
        Abort::Deadline => {
            if let Some(mut permit) = permit {
                permit.release(Outcome::DeadlineExceeded);
            }
            let refusal = Refusal::new(Stage::PossiblySent);
            exchange.refuse(StatusCode::GATEWAY_TIMEOUT, &refusal).await
        }
    }
}

/// Streams a response to the caller; resets the stream if the response is truncated.
async fn stream_response(
    exchange: &mut Exchange,
    response: Response<Incoming>,
    permit: Option<Permit>,
    kind: Kind,
) -> Result<(), StreamError> {
    let (parts, mut body) = response.into_parts();
    let refused = parts.status == StatusCode::SERVICE_UNAVAILABLE;
    let mut head = reply::response_head(parts.status, parts.headers);
    if refused {
        reply::mark_possibly_run(&mut head);
    }
    exchange.stream.send_response(head).await?;
    let mut closer = EventStreamCloser::new(exchange, kind);
    let outcome = loop {
        let step = tokio::select! {
            frame = body.frame() => Step::Frame(frame),
            abort = cancelled_or_lost(&mut exchange.stopped) => Step::Ended(abort),
            () = deadline_passed(exchange.deadline) => Step::Ended(Abort::Deadline),
            () = closer.close_due() => Step::CloseForDrain,
        };
        match step {
            Step::Frame(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                if let Some(permit) = &permit {
                    permit.record_progress();
                }
                closer.observe(&data);
                if let Some(abort) = send(exchange, data).await? {
                    break Err(abort);
                }
            }
            Step::Frame(Some(Err(_))) => break Err(None),
            Step::Frame(None) | Step::CloseForDrain => break Ok(()),
            Step::Ended(abort) => break Err(Some(abort)),
        }
    };
    finish(exchange, outcome, permit, refused).await
}

/// Next event while a response is streamed.
enum Step {
    /// The backend server has sent a frame, ended the response or failed.
    Frame(Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>),
    /// The caller is gone or the deadline has passed.
    Ended(Abort),
    /// The agent drains and the event stream closes.
    CloseForDrain,
}

/// Sends data to the caller; ends early if the caller accepts none before the deadline.
async fn send(exchange: &mut Exchange, data: Bytes) -> Result<Option<Option<Abort>>, StreamError> {
    tokio::select! {
        sent = exchange.stream.send_data(data) => sent.map(|()| None),
        () = deadline_passed(exchange.deadline) => Ok(Some(Some(Abort::Deadline))),
    }
}

/// Ends the stream and releases the permit.
async fn finish(
    exchange: &mut Exchange,
    outcome: Result<(), Option<Abort>>,
    permit: Option<Permit>,
    refused: bool,
) -> Result<(), StreamError> {
    match outcome {
        Ok(()) => {
            if let Some(mut permit) = permit {
                if refused {
                    permit.release(Outcome::Refused);
                } else {
                    permit.release_completed();
                }
            }
            exchange.stream.finish().await
        }
        Err(abort) => {
            if let (None, Some(mut permit)) = (abort, permit) {
                permit.release(Outcome::Failed);
            }
            exchange.stream.stop_stream(Code::H3_INTERNAL_ERROR);
            Ok(())
        }
    }
}

/// Closes an event stream between two events once the agent drains.
struct EventStreamCloser {
    drain_state: Option<watch::Receiver<DrainState>>,
    between_events: bool,
    close_delay: Duration,
}

impl EventStreamCloser {
    fn new(exchange: &Exchange, kind: Kind) -> Self {
        let is_event_stream = kind == Kind::Sse;
        Self {
            drain_state: is_event_stream.then(|| exchange.server.drain_state.subscribe()),
            between_events: true,
            close_delay: EVENT_STREAM_CLOSE_SPREAD.mul_f64(rand::random()),
        }
    }

    /// Records whether the data sent last ends an event.
    fn observe(&mut self, data: &Bytes) {
        self.between_events = data.ends_with(EVENT_TERMINATOR);
    }

    /// Resolves when the event stream has to close; never for other responses.
    async fn close_due(&mut self) {
        let Some(drain_state) = &mut self.drain_state else {
            return std::future::pending().await;
        };
        wait_until_leaving(drain_state).await;
        if !self.between_events {
            return std::future::pending().await;
        }
        // Only the first call waits; later calls, after another event, close at once.
        tokio::time::sleep(std::mem::take(&mut self.close_delay)).await;
    }
}
