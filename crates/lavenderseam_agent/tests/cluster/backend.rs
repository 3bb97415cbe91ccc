//! A backend server that counts the requests it runs and fails on request.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{Path, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

/// Counters of the backend server, shared by its handlers.
#[derive(Default)]
pub struct Counters {
    /// Number of executions by request body.
    pub runs_by_body: Mutex<HashMap<String, u64>>,
    /// Number of requests in progress.
    pub in_flight: AtomicUsize,
    /// Largest number of requests in progress at once.
    pub max_in_flight: AtomicUsize,
    /// Number of requests that were cancelled before they ended.
    pub cancelled: AtomicU64,
    /// Duration of edits and lookups, in milliseconds.
    pub work_ms: AtomicU64,
}

/// A backend server that listens on loopback.
pub struct TestBackend {
    pub address: SocketAddr,
    pub counters: Arc<Counters>,
    stop_sender: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

/// Serves until stopped, then drops all connections.
async fn serve(listener: TcpListener, router: Router, stop_receiver: watch::Receiver<bool>) {
    let mut connections = tokio::task::JoinSet::new();
    let mut stop = stop_receiver.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let (stream, _) = accepted.unwrap();
        let service = TowerToHyperService::new(router.clone());
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        connections.spawn(async move { connection.await.is_ok() });
    }
    connections.shutdown().await;
}

impl TestBackend {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let counters = Arc::new(Counters::default());
        let router = Router::new()
            .route("/edits", post(edit))
            .route("/lookup/{n}", get(run_lookup))
            .route("/files/{bytes}", get(send_file))
            .route("/slow/{bytes}", get(send_slow))
            .route("/cut/{bytes}", get(send_truncated))
            .route("/crossed", get(send_mismatched_id))
            .route("/feed", get(send_events))
            .route("/shed", get(refuse).post(refuse))
            .with_state(Arc::clone(&counters));
        let (stop_sender, stop_receiver) = watch::channel(false);
        let task = tokio::spawn(serve(listener, router, stop_receiver));
        Self {
            address,
            counters,
            stop_sender,
            task,
        }
    }

    /// Closes the listener and all connections.
    pub async fn stop(&self) {
        let _ = self.stop_sender.send(true);
        super::wait_until(|| self.task.is_finished()).await;
    }

    pub fn runs(&self, body: &str) -> u64 {
        self.counters
            .runs_by_body
            .lock()
            .get(body)
            .copied()
            .unwrap_or(0)
    }

    pub fn total_runs(&self) -> u64 {
        self.counters.runs_by_body.lock().values().sum()
    }
}

impl Drop for TestBackend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Counts a request as in progress; a request that is dropped unfinished counts as cancelled.
struct InFlightGuard(Arc<Counters>, bool);

impl InFlightGuard {
    fn new(counters: &Arc<Counters>) -> Self {
        let running = counters.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        counters.max_in_flight.fetch_max(running, Ordering::SeqCst);
        Self(Arc::clone(counters), false)
    }

    fn finish(mut self) {
        self.1 = true;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
        if !self.1 {
            self.0.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

async fn simulate_work(counters: &Arc<Counters>) {
    let guard = InFlightGuard::new(counters);
    let time = Duration::from_millis(counters.work_ms.load(Ordering::SeqCst));
    tokio::time::sleep(time).await;
    guard.finish();
}

async fn edit(State(counters): State<Arc<Counters>>, headers: HeaderMap, body: String) -> Response {
    *counters
        .runs_by_body
        .lock()
        .entry(body.clone())
        .or_default() += 1;
    simulate_work(&counters).await;
    respond_with_request_id(&headers, body)
}

async fn run_lookup(
    State(counters): State<Arc<Counters>>,
    headers: HeaderMap,
    Path(n): Path<u64>,
) -> Response {
    simulate_work(&counters).await;
    respond_with_request_id(&headers, n.to_string())
}

fn respond_with_request_id(headers: &HeaderMap, body: String) -> Response {
    let mut response = body.into_response();
    if let Some(id) = headers.get("x-request-id") {
        response.headers_mut().insert("x-request-id", id.clone());
    }
    response
}

pub fn test_content(bytes: usize) -> Vec<u8> {
    (0..bytes)
        .map(|offset| (offset * 31 + offset / 251) as u8)
        .collect()
}

async fn send_file(Path(bytes): Path<usize>) -> Response {
    let content = test_content(bytes);
    let hash = format!("{:016x}", xxh3_64(&content));
    let mut response = Body::from(content).into_response();
    let hash = HeaderValue::try_from(hash).unwrap();
    response.headers_mut().insert("x-content-hash", hash);
    response
}

/// Sends the content in 20 chunks, one every 50 ms.
async fn send_slow(State(counters): State<Arc<Counters>>, Path(bytes): Path<usize>) -> Response {
    let content = Bytes::from(test_content(bytes));
    let hash = format!("{:016x}", xxh3_64(&content));
    let length = content.len().to_string();
    let state = (content, InFlightGuard::new(&counters));
    let chunks = futures::stream::unfold(state, move |(mut content, guard)| async move {
        if content.is_empty() {
            guard.finish();
            return None;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        let chunk = content.split_to((bytes / 20 + 1).min(content.len()));
        Some((Ok::<_, Infallible>(chunk), (content, guard)))
    });
    let headers = [("x-content-hash", hash), ("content-length", length)];
    (headers, Body::from_stream(chunks)).into_response()
}

/// Sends half of the content and closes the connection, without a `content-length` field.
async fn send_truncated(Path(bytes): Path<usize>) -> Response {
    let half = Bytes::from(test_content(bytes / 2));
    let chunks = futures::stream::iter([Ok(half), Err(std::io::Error::other("cut"))]);
    Body::from_stream(chunks).into_response()
}

async fn send_mismatched_id() -> Response {
    ([("x-request-id", "another")], "another's").into_response()
}

async fn refuse() -> StatusCode {
    StatusCode::SERVICE_UNAVAILABLE
}

/// Sends an event every 20 ms, starting after the one that `last-event-id` names.
async fn send_events(headers: HeaderMap) -> Response {
    let last = headers.get("last-event-id");
    let last = last.and_then(|last| last.to_str().ok()?.parse::<u64>().ok());
    let first = last.map_or(0, |last| last + 1);
    let events = futures::stream::unfold(first, |number| async move {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let event = format!("id: {number}\ndata: event {number}\n\n");
        Some((Ok::<_, Infallible>(event), number + 1))
    });
    let headers = [("content-type", "text/event-stream")];
    (headers, Body::from_stream(events)).into_response()
}
