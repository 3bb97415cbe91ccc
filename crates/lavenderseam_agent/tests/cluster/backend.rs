//! A backend server that counts what it runs and misbehaves on request.

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

#[derive(Default)]
pub struct Counts {
    pub runs: Mutex<HashMap<String, u64>>,
    pub running: AtomicUsize,
    pub peak: AtomicUsize,
    pub cancelled: AtomicU64,
    /// Time that edits and lookups take, in milliseconds.
    pub work: AtomicU64,
}

pub struct Backend {
    pub address: SocketAddr,
    pub counts: Arc<Counts>,
    halt: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

/// Serves until halted, then breaks off all connections.
async fn serve(listener: TcpListener, router: Router, halted: watch::Receiver<bool>) {
    let mut connections = tokio::task::JoinSet::new();
    let mut halt = halted.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = halt.wait_for(|halt| *halt) => break,
        };
        let (stream, _) = accepted.unwrap();
        let service = TowerToHyperService::new(router.clone());
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        connections.spawn(async move { connection.await.is_ok() });
    }
    connections.shutdown().await;
}

impl Backend {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let counts = Arc::new(Counts::default());
        let router = Router::new()
            .route("/edits", post(edit))
            .route("/lookup/{n}", get(lookup))
            .route("/files/{bytes}", get(file))
            .route("/slow/{bytes}", get(slow))
            .route("/cut/{bytes}", get(cut))
            .route("/crossed", get(crossed))
            .route("/feed", get(feed))
            .route("/shed", get(shed).post(shed))
            .with_state(Arc::clone(&counts));
        let (halt, halted) = watch::channel(false);
        let task = tokio::spawn(serve(listener, router, halted));
        Self {
            address,
            counts,
            halt,
            task,
        }
    }

    /// Ends the listener and all connections.
    pub async fn stop(&self) {
        let _ = self.halt.send(true);
        super::until(|| self.task.is_finished()).await;
    }

    pub fn runs(&self, id: &str) -> u64 {
        self.counts.runs.lock().get(id).copied().unwrap_or(0)
    }

    pub fn total(&self) -> u64 {
        self.counts.runs.lock().values().sum()
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Running(Arc<Counts>, bool);

impl Running {
    fn new(counts: &Arc<Counts>) -> Self {
        let running = counts.running.fetch_add(1, Ordering::SeqCst) + 1;
        counts.peak.fetch_max(running, Ordering::SeqCst);
        Self(Arc::clone(counts), false)
    }

    fn finished(mut self) {
        self.1 = true;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
        if !self.1 {
            self.0.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

async fn work(counts: &Arc<Counts>) {
    let running = Running::new(counts);
    let time = Duration::from_millis(counts.work.load(Ordering::SeqCst));
    tokio::time::sleep(time).await;
    running.finished();
}

async fn edit(State(counts): State<Arc<Counts>>, headers: HeaderMap, id: String) -> Response {
    *counts.runs.lock().entry(id.clone()).or_default() += 1;
    work(&counts).await;
    echo(&headers, id)
}

async fn lookup(
    State(counts): State<Arc<Counts>>,
    headers: HeaderMap,
    Path(n): Path<u64>,
) -> Response {
    work(&counts).await;
    echo(&headers, n.to_string())
}

fn echo(headers: &HeaderMap, body: String) -> Response {
    let mut response = body.into_response();
    if let Some(id) = headers.get("x-request-id") {
        response.headers_mut().insert("x-request-id", id.clone());
    }
    response
}

pub fn content(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|at| (at * 31 + at / 251) as u8).collect()
}

async fn file(Path(bytes): Path<usize>) -> Response {
    let content = content(bytes);
    let hash = format!("{:016x}", xxh3_64(&content));
    let mut response = Body::from(content).into_response();
    let hash = HeaderValue::try_from(hash).unwrap();
    response.headers_mut().insert("x-content-hash", hash);
    response
}

/// Sends the content over about a second.
async fn slow(State(counts): State<Arc<Counts>>, Path(bytes): Path<usize>) -> Response {
    let content = Bytes::from(content(bytes));
    let hash = format!("{:016x}", xxh3_64(&content));
    let length = content.len().to_string();
    let state = (content, Running::new(&counts));
    let chunks = futures::stream::unfold(state, move |(mut content, running)| async move {
        if content.is_empty() {
            running.finished();
            return None;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        let chunk = content.split_to((bytes / 20 + 1).min(content.len()));
        Some((Ok::<_, Infallible>(chunk), (content, running)))
    });
    let headers = [("x-content-hash", hash), ("content-length", length)];
    (headers, Body::from_stream(chunks)).into_response()
}

/// Sends half of the content and breaks off; no length is announced.
async fn cut(Path(bytes): Path<usize>) -> Response {
    let half = Bytes::from(content(bytes / 2));
    let chunks = futures::stream::iter([Ok(half), Err(std::io::Error::other("cut"))]);
    Body::from_stream(chunks).into_response()
}

async fn crossed() -> Response {
    ([("x-request-id", "another")], "another's").into_response()
}

async fn shed() -> StatusCode {
    StatusCode::SERVICE_UNAVAILABLE
}

/// Events every 20 ms, from the one after the last that the caller names.
async fn feed(headers: HeaderMap) -> Response {
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
