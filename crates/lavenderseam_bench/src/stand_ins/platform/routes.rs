//! HTTP API of the simulated platform.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Router, body::Bytes};
use http::{HeaderMap, StatusCode, header};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{Instant, timeout_at};

use super::objects::{Precondition, Rejection};
use super::serve::Platform;

/// Maximum time that a watch waits for changes.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_secs(60);

/// Marks the response to a write that took effect. A fault can drop such responses.
#[derive(Clone, Copy)]
pub(crate) struct WriteApplied;

#[derive(Deserialize)]
struct Watch {
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

pub(crate) fn router(platform: Arc<Platform>) -> Router {
    Router::new()
        .route("/v1/objects", get(list))
        .route(
            "/v1/objects/{kind}/{name}",
            get(read).put(write).delete(remove),
        )
        .route("/v1/watch", get(watch))
        .layer(axum::extract::DefaultBodyLimit::max(
            2 * super::objects::MAX_OBJECT_BYTES,
        ))
        .with_state(platform)
}

async fn list(State(platform): State<Arc<Platform>>) -> Response {
    Json(platform.objects.lock().list()).into_response()
}

async fn read(
    State(platform): State<Arc<Platform>>,
    Path((kind, name)): Path<(String, String)>,
) -> Response {
    let objects = platform.objects.lock();
    match objects.get(&kind, &name) {
        Some(object) => Json(object).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write(
    State(platform): State<Arc<Platform>>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let Some(precondition) = parse_precondition(&headers) else {
        return StatusCode::PRECONDITION_REQUIRED.into_response();
    };
    let Ok(document) = serde_json::from_slice::<Value>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let string_field = |field: &str| {
        document
            .get(field)
            .and_then(Value::as_str)
            .map(str::to_owned)
    };
    if string_field("kind").as_ref() != Some(&kind) || string_field("name").as_ref() != Some(&name)
    {
        return StatusCode::BAD_REQUEST.into_response();
    }
    let outcome = platform
        .objects
        .lock()
        .put(&kind, &name, document, precondition);
    platform.write_response(outcome)
}

async fn remove(
    State(platform): State<Arc<Platform>>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
) -> Response {
    let Some(Precondition::At(revision)) = parse_precondition(&headers) else {
        return StatusCode::PRECONDITION_REQUIRED.into_response();
    };
    let outcome = platform.objects.lock().delete(&kind, &name, revision);
    platform.write_response(outcome)
}

async fn watch(State(platform): State<Arc<Platform>>, Query(watch): Query<Watch>) -> Response {
    let mut latest_revision = platform.latest_revision.subscribe();
    if watch.after > *latest_revision.borrow() {
        return Rejection::Compacted.into_response();
    }
    let timeout = Duration::from_millis(watch.wait_ms).min(MAX_WATCH_TIMEOUT);
    let deadline = Instant::now() + timeout;
    // A timeout isn't an error: the response then has no entries.
    let _ = timeout_at(
        deadline,
        latest_revision.wait_for(|revision| *revision > watch.after),
    )
    .await;
    match platform.objects.lock().changes(watch.after) {
        Ok(changes) => Json(changes).into_response(),
        Err(rejection) => rejection.into_response(),
    }
}

fn parse_precondition(headers: &HeaderMap) -> Option<Precondition> {
    if let Some(value) = headers.get(header::IF_MATCH) {
        let revision = value.to_str().ok()?.trim_matches('"').parse().ok()?;
        return Some(Precondition::At(revision));
    }
    let value = headers.get(header::IF_NONE_MATCH)?;
    (value == "*").then_some(Precondition::Absent)
}

impl IntoResponse for Rejection {
    fn into_response(self) -> Response {
        match self {
            Self::Conflict(revision) => {
                let body = Json(json!({ "revision": revision }));
                (StatusCode::PRECONDITION_FAILED, body).into_response()
            }
            Self::Missing => StatusCode::NOT_FOUND.into_response(),
            Self::Compacted => StatusCode::GONE.into_response(),
            Self::Oversized => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
        }
    }
}
