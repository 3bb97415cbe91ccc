//! The platform's process: quotas, faults and counts around the calls.

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
use super::objects::{Objects, Rejection};
use super::quota::Quota;
use super::report::Report;
use super::routes::{self, Written};
use crate::Error;
use crate::standins::{FAULT_PATH, REPORT_PATH, bind};

/// State of the platform stand-in.
pub(crate) struct Platform {
    pub(crate) objects: Mutex<Objects>,
    pub(crate) head: watch::Sender<u64>,
    faults: Mutex<Faults>,
    quotas: Mutex<Quotas>,
    report: Mutex<Report>,
    chance: Mutex<StdRng>,
    started: Instant,
}

struct Quotas {
    reads: Quota,
    writes: Quota,
}

/// Ends a connection without an answer.
#[derive(Debug)]
struct NoAnswer;

impl fmt::Display for NoAnswer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the answer is withheld")
    }
}

impl std::error::Error for NoAnswer {}

impl Platform {
    fn new(settings: &Settings) -> Self {
        Self {
            objects: Mutex::default(),
            head: watch::Sender::new(0),
            faults: Mutex::default(),
            quotas: Mutex::new(Quotas {
                reads: Quota::new(settings.reads_per_second),
                writes: Quota::new(settings.writes_per_second),
            }),
            report: Mutex::default(),
            chance: Mutex::new(StdRng::seed_from_u64(settings.seed)),
            started: Instant::now(),
        }
    }

    /// Turns the outcome of a write into its answer and wakes the watches.
    pub(crate) fn settle(&self, outcome: Result<u64, Rejection>) -> Response {
        match outcome {
            Ok(revision) => {
                self.report.lock().writes += 1;
                self.head.send_modify(|head| *head = revision.max(*head));
                let mut response = Json(json!({ "revision": revision })).into_response();
                response.extensions_mut().insert(Written);
                response
            }
            Err(rejection) => {
                self.report.lock().conflicts += 1;
                rejection.into_response()
            }
        }
    }

    fn admit(&self, method: &Method) -> Result<(), Duration> {
        let now = self.started.elapsed();
        let mut quotas = self.quotas.lock();
        if matches!(*method, Method::GET) {
            quotas.reads.take(now)
        } else {
            quotas.writes.take(now)
        }
    }

    fn loses_answer(&self) -> bool {
        let percent = self.faults.lock().lost_percent;
        percent > 0 && self.chance.lock().random_range(0..100) < percent
    }

    async fn answer(
        &self,
        router: Router,
        caller: SocketAddr,
        request: Request<Incoming>,
    ) -> Result<Response, NoAnswer> {
        if self.faults.lock().down {
            self.report.lock().unserved += 1;
            return Err(NoAnswer);
        }
        let method = request.method().clone();
        self.note(caller, &method, length(request.headers()));
        let delay = self.faults.lock().delay_ms;
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        let response = match self.admit(&method) {
            Ok(()) => call(router, request).await,
            Err(wait) => {
                self.report.lock().throttled += 1;
                let seconds = format!("{:.3}", wait.as_secs_f64());
                let headers = [(header::RETRY_AFTER, seconds)];
                (StatusCode::TOO_MANY_REQUESTS, headers).into_response()
            }
        };
        self.deliver(caller, response)
    }

    /// Withholds an answer that a fault loses.
    fn deliver(&self, caller: SocketAddr, response: Response) -> Result<Response, NoAnswer> {
        let written = response.extensions().get::<Written>().is_some();
        if self.faults.lock().down {
            return Err(NoAnswer);
        }
        if written && self.loses_answer() {
            self.report.lock().answers_lost += 1;
            return Err(NoAnswer);
        }
        let sent = hyper::body::Body::size_hint(response.body()).lower();
        *self.report.lock().bytes.entry(caller.ip()).or_insert(0) += sent;
        Ok(response)
    }

    fn note(&self, caller: SocketAddr, method: &Method, received: u64) {
        let mut report = self.report.lock();
        if matches!(*method, Method::GET) {
            report.reads += 1;
        }
        *report.calls.entry(caller.ip()).or_insert(0) += 1;
        *report.bytes.entry(caller.ip()).or_insert(0) += received;
    }
}

async fn call(router: Router, request: Request<Incoming>) -> Response {
    let service = TowerToHyperService::new(router);
    match service.call(request.map(Body::new)).await {
        Ok(response) => response,
        Err(never) => match never {},
    }
}

fn length(headers: &http::HeaderMap) -> u64 {
    let value = headers.get(header::CONTENT_LENGTH);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Runs the platform stand-in until it is killed.
///
/// # Errors
///
/// Returns [`Error::Bind`] if an address is taken.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let platform = Arc::new(Platform::new(&settings));
    let listener = bind(settings.address).await?;
    let control = bind(settings.control).await?;
    tokio::spawn(serve_control(control, Arc::clone(&platform)));
    let router = routes::router(Arc::clone(&platform));
    let mut listener = listener;
    loop {
        let (stream, caller) = Listener::accept(&mut listener).await;
        // An outage refuses connections as well as calls on open ones.
        if platform.faults.lock().down {
            continue;
        }
        tokio::spawn(serve_connection(
            stream,
            caller,
            router.clone(),
            Arc::clone(&platform),
        ));
    }
}

async fn serve_connection(
    stream: TcpStream,
    caller: SocketAddr,
    router: Router,
    platform: Arc<Platform>,
) {
    let service = service_fn(move |request| {
        let platform = Arc::clone(&platform);
        let router = router.clone();
        async move { platform.answer(router, caller, request).await }
    });
    // A withheld answer ends the connection with an error, which is the point of it.
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
    report.revision = platform.objects.lock().revision();
    Json(report)
}

async fn fault(State(platform): State<Arc<Platform>>, Json(fault): Json<Fault>) -> StatusCode {
    platform.faults.lock().set(fault);
    StatusCode::NO_CONTENT
}
