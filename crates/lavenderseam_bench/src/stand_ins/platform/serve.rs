//! Process of the simulated platform: rate limits, faults and counts around the calls.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::Body;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Router, serve::Listener};
use http::{Method, Request, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

use super::Settings;
use super::fault::{Fault, Faults};
use super::objects::{Change, ObjectStore, Precondition, Rejection};
use super::report::Report;
use super::routes::{self, WriteApplied};
use super::token_bucket::TokenBucket;
use crate::Error;
use crate::stand_ins::{FAULT_PATH, REPORT_PATH, bind};

/// Header of all responses: number of times that the objects were replaced by a copy.
pub(crate) const EPOCH_HEADER: &str = "store-epoch";
/// Kinds of objects that operators write.
const OPERATOR_KINDS: [&str; 4] = ["Service", "BackendGroup", "FailureDomain", "Drain"];

/// State of the simulated platform.
pub(crate) struct Platform {
    pub(crate) objects: Mutex<ObjectStore>,
    pub(crate) latest_revision: watch::Sender<u64>,
    faults: Mutex<Faults>,
    rate_limits: Mutex<RateLimits>,
    report: Mutex<Report>,
    rng: Mutex<StdRng>,
    started_at: Instant,
}

struct RateLimits {
    reads: TokenBucket,
    writes: TokenBucket,
}

/// Error that closes a connection without a response.
#[derive(Debug)]
struct ResponseDropped;

impl fmt::Display for ResponseDropped {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("response dropped by an injected fault")
    }
}

impl std::error::Error for ResponseDropped {}

impl Platform {
    fn new(settings: &Settings) -> Self {
        Self {
            objects: Mutex::default(),
            latest_revision: watch::Sender::new(0),
            faults: Mutex::default(),
            rate_limits: Mutex::new(RateLimits {
                reads: TokenBucket::new(settings.reads_per_second),
                writes: TokenBucket::new(settings.writes_per_second),
            }),
            report: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(settings.seed)),
            started_at: Instant::now(),
        }
    }

    /// Returns the response to a write and wakes the watches.
    pub(crate) fn write_response(&self, outcome: Result<u64, Rejection>) -> Response {
        match outcome {
            Ok(revision) => {
                self.report.lock().writes += 1;
                // Sent under the lock, so that concurrent writes and restores announce their
                // revisions in order.
                let objects = self.objects.lock();
                self.latest_revision.send_replace(objects.revision());
                drop(objects);
                let mut response = Json(json!({ "revision": revision })).into_response();
                response.extensions_mut().insert(WriteApplied);
                response
            }
            Err(rejection) => {
                self.report.lock().conflicts += 1;
                rejection.into_response()
            }
        }
    }

    fn check_rate_limit(&self, method: &Method) -> Result<(), Duration> {
        let now = self.started_at.elapsed();
        let mut rate_limits = self.rate_limits.lock();
        if matches!(*method, Method::GET) {
            rate_limits.reads.try_acquire(now)
        } else {
            rate_limits.writes.try_acquire(now)
        }
    }

    fn drops_response(&self) -> bool {
        let percent = self.faults.lock().lost_percent;
        percent > 0 && self.rng.lock().random_range(0..100) < percent
    }

    async fn respond(
        &self,
        router: Router,
        client: SocketAddr,
        request: Request<Incoming>,
    ) -> Result<Response, ResponseDropped> {
        if self.faults.lock().down {
            self.report.lock().unserved += 1;
            return Err(ResponseDropped);
        }
        let method = request.method().clone();
        self.record_call(client, &method, content_length(request.headers()));
        let delay = self.faults.lock().delay_ms;
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        let mut response = match self.check_rate_limit(&method) {
            Ok(()) => route_call(router, request).await,
            Err(wait) => {
                self.report.lock().throttled += 1;
                let seconds = format!("{:.3}", wait.as_secs_f64());
                let headers = [(header::RETRY_AFTER, seconds)];
                (StatusCode::TOO_MANY_REQUESTS, headers).into_response()
            }
        };
        let epoch = self.objects.lock().epoch();
        response.headers_mut().insert(EPOCH_HEADER, epoch.into());
        self.deliver(client, response)
    }

    /// Replaces the objects by a copy that is at least `age` old. Watches keep waiting.
    ///
    /// Returns the last lost change of each object that operators write.
    fn restore(&self, age: Duration) -> Vec<Change> {
        let mut objects = self.objects.lock();
        let now = std::time::Instant::now();
        let undone = objects.restore(now.checked_sub(age).unwrap_or(now));
        self.latest_revision.send_replace(objects.revision());
        let mut last_changes = BTreeMap::new();
        for change in undone {
            if OPERATOR_KINDS.contains(&change.kind.as_str()) {
                let id = (change.kind.clone(), change.name.clone());
                last_changes.entry(id).or_insert(change);
            }
        }
        last_changes.into_values().collect()
    }

    /// Writes again what operators had written, except objects that were written since.
    fn write_again(&self, lost: Vec<Change>) {
        let mut objects = self.objects.lock();
        let restored_revision = objects.restored_revisions().last().copied().unwrap_or(0);
        for Change {
            kind,
            name,
            document,
            ..
        } in lost
        {
            let current = objects.get(&kind, &name).map(|object| object.revision);
            if current.is_some_and(|revision| revision > restored_revision) {
                continue;
            }
            let written = match (document, current) {
                (Some(document), None) => objects.put(&kind, &name, document, Precondition::Absent),
                (Some(document), Some(revision)) => {
                    objects.put(&kind, &name, document, Precondition::At(revision))
                }
                (None, Some(revision)) => objects.delete(&kind, &name, revision),
                (None, None) => continue,
            };
            if let Err(rejection) = written {
                println!("           {kind}/{name} wasn't written again: {rejection:?}");
            }
        }
        self.latest_revision.send_replace(objects.revision());
    }

    /// Returns the response, or an error if a fault drops it.
    fn deliver(&self, client: SocketAddr, response: Response) -> Result<Response, ResponseDropped> {
        let write_applied = response.extensions().get::<WriteApplied>().is_some();
        if self.faults.lock().down {
            return Err(ResponseDropped);
        }
        if write_applied && self.drops_response() {
            self.report.lock().answers_lost += 1;
            return Err(ResponseDropped);
        }
        let sent_bytes = hyper::body::Body::size_hint(response.body()).lower();
        *self.report.lock().bytes.entry(client.ip()).or_insert(0) += sent_bytes;
        Ok(response)
    }

    fn record_call(&self, client: SocketAddr, method: &Method, received_bytes: u64) {
        let mut report = self.report.lock();
        if matches!(*method, Method::GET) {
            report.reads += 1;
        }
        *report.calls.entry(client.ip()).or_insert(0) += 1;
        *report.bytes.entry(client.ip()).or_insert(0) += received_bytes;
    }
}

async fn route_call(router: Router, request: Request<Incoming>) -> Response {
    let service = TowerToHyperService::new(router);
    match service.call(request.map(Body::new)).await {
        Ok(response) => response,
        Err(never) => match never {},
    }
}

fn content_length(headers: &http::HeaderMap) -> u64 {
    let value = headers.get(header::CONTENT_LENGTH);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Runs the simulated platform until the process is killed.
///
/// # Errors
///
/// Returns [`Error::Bind`] if an address can't be bound.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let platform = Arc::new(Platform::new(&settings));
    let listener = bind(settings.address).await?;
    let control = bind(settings.control).await?;
    tokio::spawn(serve_control(control, Arc::clone(&platform)));
    let router = routes::router(Arc::clone(&platform));
    let mut listener = listener;
    loop {
        let (stream, client) = Listener::accept(&mut listener).await;
        // An outage closes new connections, and rejects calls on open ones.
        if platform.faults.lock().down {
            continue;
        }
        tokio::spawn(serve_connection(
            stream,
            client,
            router.clone(),
            Arc::clone(&platform),
        ));
    }
}

async fn serve_connection(
    stream: TcpStream,
    client: SocketAddr,
    router: Router,
    platform: Arc<Platform>,
) {
    let service = service_fn(move |request| {
        let platform = Arc::clone(&platform);
        let router = router.clone();
        async move { platform.respond(router, client, request).await }
    });
    // A dropped response closes the connection with an error by design.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn serve_control(listener: TcpListener, platform: Arc<Platform>) {
    let router = Router::new()
        .route(REPORT_PATH, get(report))
        .route(FAULT_PATH, post(fault))
        .with_state(platform);
    let _ = axum::serve(listener, router).await;
}

async fn report(State(platform): State<Arc<Platform>>) -> Json<Report> {
    let mut report = platform.report.lock().clone();
    let objects = platform.objects.lock();
    report.revision = objects.revision();
    report.restored_revisions = objects.restored_revisions().to_vec();
    drop(objects);
    Json(report)
}

async fn fault(State(platform): State<Arc<Platform>>, Json(fault): Json<Fault>) -> StatusCode {
    platform.faults.lock().apply(fault);
    if let Fault::Restore {
        age_ms,
        rewrite_after_ms,
    } = fault
    {
        let lost = platform.restore(Duration::from_millis(age_ms));
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(rewrite_after_ms)).await;
            platform.write_again(lost);
        });
    }
    StatusCode::NO_CONTENT
}
