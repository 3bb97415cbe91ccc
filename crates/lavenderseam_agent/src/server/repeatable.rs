//! Requests that may be repeated, downloads and live feeds: the answer is streamed.

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

use super::exchange::{Exchange, Gone, Kind, forwarded, gone, passed, trace};
use super::reply;
use super::stage::{Stage as Phase, leaving};
use crate::backend;
use crate::gauge::Permit;

/// Span over which the live feeds are ended when the agent leaves, so that their callers don't all
/// come back at once.
const FEED_SPREAD: Duration = Duration::from_secs(1);
/// End of an event in a live feed.
const EVENT_END: &[u8] = b"\n\n";

/// Serves a request that may be repeated.
pub(super) async fn serve(
    exchange: &mut Exchange,
    request: Request<()>,
    kind: Kind,
) -> Result<(), StreamError> {
    let mut permit = match kind {
        Kind::Feed => None,
        Kind::Repeatable | Kind::Edit => match exchange.server.gauge.acquire() {
            Ok(permit) => Some(permit),
            Err(full) => return exchange.refuse_full(full.retry_after).await,
        },
    };
    let span = trace(&request).map(|trace| Span::new(Hop::Backend, "answer head", trace));
    let request = forwarded(exchange, request, Bytes::new());
    let backend = exchange.server.backend.clone();
    let answered = tokio::select! {
        answered = backend.send(request) => answered,
        gone = exchange.gone() => return give_up(exchange, gone, permit).await,
    };
    drop(span);
    match answered {
        Ok(response) => {
            if let Some(permit) = &mut permit {
                permit.answered();
            }
            forward(exchange, response, permit, kind).await
        }
        Err(error) => fail(exchange, &error, permit).await,
    }
}

async fn fail(
    exchange: &mut Exchange,
    error: &backend::Error,
    permit: Option<Permit>,
) -> Result<(), StreamError> {
    exchange.server.log.debug(error);
    match permit {
        Some(mut permit) => permit.end(error.outcome()),
        None if error.outcome() == Outcome::Unreachable => exchange.server.gauge.lost(),
        None => {}
    }
    let refusal = Refusal::new(error.stage());
    exchange.refuse(StatusCode::BAD_GATEWAY, &refusal).await
}

/// Ends a request that has no answer yet.
async fn give_up(
    exchange: &mut Exchange,
    gone: Gone,
    permit: Option<Permit>,
) -> Result<(), StreamError> {
    match gone {
        Gone::Cancelled | Gone::Lost => {
            exchange.stream.stop_stream(Code::H3_REQUEST_CANCELLED);
            Ok(())
        }
        Gone::Late => {
            if let Some(mut permit) = permit {
                permit.end(Outcome::Late);
            }
            let refusal = Refusal::new(Stage::Sent);
            exchange.refuse(StatusCode::GATEWAY_TIMEOUT, &refusal).await
        }
    }
}

/// Streams an answer to the caller; one that is cut resets the stream.
async fn forward(
    exchange: &mut Exchange,
    response: Response<Incoming>,
    permit: Option<Permit>,
    kind: Kind,
) -> Result<(), StreamError> {
    let (parts, mut body) = response.into_parts();
    let refused = parts.status == StatusCode::SERVICE_UNAVAILABLE;
    let mut head = reply::head(parts.status, parts.headers);
    if refused {
        reply::mark_unproved(&mut head);
    }
    exchange.stream.send_response(head).await?;
    let mut leave = Leave::new(exchange, kind);
    let outcome = loop {
        let step = tokio::select! {
            frame = body.frame() => Step::Frame(frame),
            gone = gone(&mut exchange.watch) => Step::Gone(gone),
            () = passed(exchange.deadline) => Step::Gone(Gone::Late),
            () = leave.due() => Step::Leave,
        };
        match step {
            Step::Frame(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                if let Some(permit) = &permit {
                    permit.progress();
                }
                leave.note(&data);
                if let Some(gone) = send(exchange, data).await? {
                    break Err(gone);
                }
            }
            Step::Frame(Some(Err(_))) => break Err(None),
            Step::Frame(None) | Step::Leave => break Ok(()),
            Step::Gone(gone) => break Err(Some(gone)),
        }
    };
    settle(exchange, outcome, permit, refused).await
}

enum Step {
    Frame(Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>),
    Gone(Gone),
    Leave,
}

/// Sends data; a caller that takes none in until the deadline has passed ends the exchange.
async fn send(exchange: &mut Exchange, data: Bytes) -> Result<Option<Option<Gone>>, StreamError> {
    tokio::select! {
        sent = exchange.stream.send_data(data) => sent.map(|()| None),
        () = passed(exchange.deadline) => Ok(Some(Some(Gone::Late))),
    }
}

/// Ends the stream and gives the slot back.
async fn settle(
    exchange: &mut Exchange,
    outcome: Result<(), Option<Gone>>,
    permit: Option<Permit>,
    refused: bool,
) -> Result<(), StreamError> {
    match outcome {
        Ok(()) => {
            if let Some(mut permit) = permit {
                if refused {
                    permit.end(Outcome::Refused);
                } else {
                    permit.succeed();
                }
            }
            exchange.stream.finish().await
        }
        Err(gone) => {
            if let (None, Some(mut permit)) = (gone, permit) {
                permit.end(Outcome::Failed);
            }
            exchange.stream.stop_stream(Code::H3_INTERNAL_ERROR);
            Ok(())
        }
    }
}

/// Ends a live feed between two events once the agent leaves.
struct Leave {
    stage: Option<watch::Receiver<Phase>>,
    between_events: bool,
    spread: Duration,
}

impl Leave {
    fn new(exchange: &Exchange, kind: Kind) -> Self {
        let feed = kind == Kind::Feed;
        Self {
            stage: feed.then(|| exchange.server.stage.subscribe()),
            between_events: true,
            spread: FEED_SPREAD.mul_f64(rand::random()),
        }
    }

    fn note(&mut self, data: &Bytes) {
        self.between_events = data.ends_with(EVENT_END);
    }

    async fn due(&mut self) {
        let Some(stage) = &mut self.stage else {
            return std::future::pending().await;
        };
        leaving(stage).await;
        if !self.between_events {
            return std::future::pending().await;
        }
        // Later looks, after another event, wait no more.
        tokio::time::sleep(std::mem::take(&mut self.spread)).await;
    }
}
