//! HTTP API of a simulated backend server.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::{Path, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use futures::stream;
use http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use serde_json::json;

use super::content;
use super::fault::FalseReport;
use super::serve::{Backend, Feed, Slot};
use crate::stand_ins::unix_time_ms;

/// Time between two events of a feed, in milliseconds.
const FEED_INTERVAL_MS: u64 = 100;
/// Maximum number of past events that a feed replays.
const MAX_REPLAYED_EVENTS: u64 = 300;
/// Request header with the sequence number of the last event that a caller received.
const LAST_EVENT_ID: &str = "last-event-id";
/// Maximum size of a file, in bytes.
const MAX_FILE_BYTES: usize = 64 << 20;
/// Size of the chunks that a file is sent in, in bytes.
const CHUNK_BYTES: usize = 64 << 10;

pub(crate) fn router(backend: Arc<Backend>) -> Router {
    Router::new()
        .route("/edits", post(edit))
        .route("/feed", get(feed))
        .route("/files/{bytes}", get(file))
        .route("/lookup/{n}", get(lookup))
        .route("/health", get(health))
        .route("/load", get(load))
        .layer(axum::middleware::from_fn(echo_request_id))
        .with_state(backend)
}

/// Copies the request's `x-request-id` to the response.
async fn echo_request_id(request: Request<Body>, next: axum::middleware::Next) -> Response {
    let id: Option<HeaderValue> = request.headers().get("x-request-id").cloned();
    let mut response = next.run(request).await;
    if let Some(id) = id {
        response.headers_mut().insert("x-request-id", id);
    }
    response
}

async fn edit(State(backend): State<Arc<Backend>>, body: Bytes) -> Response {
    let Some(slot) = backend.acquire_slot() else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let id = String::from_utf8_lossy(&body).into_owned();
    backend.record_edit(&id);
    backend.simulate_work().await;
    let response = json!({
        "service": backend.settings.service,
        "target": backend.settings.target,
        "id": id,
    });
    finish_request(slot, Json(response))
}

async fn lookup(State(backend): State<Arc<Backend>>, Path(n): Path<u64>) -> Response {
    let Some(slot) = backend.acquire_slot() else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    backend.simulate_work().await;
    let response = json!({
        "service": backend.settings.service,
        "target": backend.settings.target,
        "n": n,
    });
    finish_request(slot, Json(response))
}

async fn file(State(backend): State<Arc<Backend>>, Path(bytes): Path<usize>) -> Response {
    if bytes > MAX_FILE_BYTES {
        return StatusCode::NOT_FOUND.into_response();
    }
    let Some(slot) = backend.acquire_slot() else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    backend.simulate_work().await;
    if !slot.survived() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let content = Bytes::from(content::file(&backend.settings.service, bytes));
    let headers = [
        (header::CONTENT_LENGTH.as_str(), bytes.to_string()),
        ("x-content-hash", content::hash(&content)),
    ];
    // The slot stays in use until the last chunk has been sent.
    let chunks = stream::unfold((content, slot), |(mut content, slot)| async move {
        if content.is_empty() {
            return None;
        }
        let chunk = content.split_to(CHUNK_BYTES.min(content.len()));
        Some((Ok::<_, Infallible>(chunk), (content, slot)))
    });
    (headers, Body::from_stream(chunks)).into_response()
}

async fn feed(State(backend): State<Arc<Backend>>, headers: HeaderMap) -> Response {
    let Some(feed) = backend.open_feed() else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let first = first_event(&headers, unix_time_ms());
    let events = stream::unfold((feed, first), |(feed, sequence)| async move {
        let due_ms = sequence * FEED_INTERVAL_MS;
        tokio::time::sleep(Duration::from_millis(due_ms.saturating_sub(unix_time_ms()))).await;
        let event = event(&feed, sequence);
        Some((Ok::<_, Infallible>(event), (feed, sequence + 1)))
    });
    let headers = [(header::CONTENT_TYPE, "text/event-stream")];
    (headers, Body::from_stream(events)).into_response()
}

/// Returns the sequence number of the first event to send: the one after the last that the caller
/// received, or the next one due.
///
/// Sequence numbers derive from the due time, so that all backend servers number events alike.
fn first_event(headers: &HeaderMap, now_ms: u64) -> u64 {
    let next = now_ms / FEED_INTERVAL_MS + 1;
    let last = headers.get(LAST_EVENT_ID);
    let last = last.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    last.map_or(next, |last| {
        (last + 1).clamp(next.saturating_sub(MAX_REPLAYED_EVENTS), next)
    })
}

fn event(feed: &Feed, sequence: u64) -> Bytes {
    let settings = &feed.backend.settings;
    let data = json!({
        "service": settings.service,
        "target": settings.target,
        "sequence": sequence,
    });
    Bytes::from(format!("id: {sequence}\ndata: {data}\n\n"))
}

async fn health(State(backend): State<Arc<Backend>>) -> StatusCode {
    match backend.false_answer() {
        FalseReport::Healthy => StatusCode::OK,
        FalseReport::Unhealthy => StatusCode::SERVICE_UNAVAILABLE,
        _ if backend.is_shedding() => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::OK,
    }
}

async fn load(State(backend): State<Arc<Backend>>) -> Response {
    let slots = backend.settings.slots;
    let in_use = match backend.false_answer() {
        FalseReport::Idle => 0,
        FalseReport::Full => slots,
        _ => backend.in_use(),
    };
    Json(json!({ "slots_in_use": in_use, "slots": slots })).into_response()
}

/// Frees the slot and returns the response, or 503 if the backend server crashed meanwhile.
fn finish_request(slot: Slot, response: impl IntoResponse) -> Response {
    let survived = slot.survived();
    drop(slot);
    if survived {
        response.into_response()
    } else {
        StatusCode::SERVICE_UNAVAILABLE.into_response()
    }
}
