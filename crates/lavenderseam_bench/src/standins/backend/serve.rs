//! The backend server's process: its state, connections and control.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::routing::{get, post};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use super::capacity::{Admission, Capacity};
use super::fault::{Fault, Lie};
use super::journal::{Journal, Line};
use super::report::Report;
use super::{Settings, routes};
use crate::Error;
use crate::standins::{FAULT_PATH, REPORT_PATH, bind, now_ms};

/// State of a backend server stand-in.
pub(crate) struct Backend {
    pub(crate) settings: Settings,
    capacity: Mutex<Capacity>,
    report: Mutex<Report>,
    faults: Mutex<Faults>,
    journal: Journal,
    connections: AtomicUsize,
    started: Instant,
}

struct Faults {
    lie: Lie,
    sheds: bool,
}

/// A slot in use; freed on drop.
pub(crate) struct Slot {
    backend: Arc<Backend>,
    generation: u64,
}

/// An open feed.
pub(crate) struct Feed {
    pub(crate) backend: Arc<Backend>,
}

impl Backend {
    fn new(settings: Settings) -> Result<Self, Error> {
        // A journal of an earlier run means that this is a restart, which is cold.
        let starts_cold = settings.cold || settings.journal.exists();
        let journal = Journal::open(&settings.journal)?;
        let cold = Duration::from_millis(settings.cold_ms);
        let ramp = Duration::from_millis(settings.ramp_ms);
        let mut capacity = Capacity::new(settings.slots, cold, ramp);
        if starts_cold {
            capacity.turn_cold(Duration::ZERO);
        }
        let report = Report {
            target: settings.target.clone(),
            service: settings.service.clone(),
            ..Report::default()
        };
        Ok(Self {
            settings,
            capacity: Mutex::new(capacity),
            report: Mutex::new(report),
            faults: Mutex::new(Faults {
                lie: Lie::None,
                sheds: false,
            }),
            journal,
            connections: AtomicUsize::new(0),
            started: Instant::now(),
        })
    }

    /// Takes a slot, or none if the request is shed.
    pub(crate) fn begin(self: &Arc<Self>) -> Option<Slot> {
        self.arrived();
        let (admission, generation) = if self.sheds() {
            (Admission::Shed, 0)
        } else {
            self.admit()
        };
        if admission != Admission::Run {
            self.report.lock().shed += 1;
            return None;
        }
        self.report.lock().requests += 1;
        self.journal.note(&Line::Began(now_ms()));
        Some(Slot {
            backend: Arc::clone(self),
            generation,
        })
    }

    fn admit(&self) -> (Admission, u64) {
        let mut capacity = self.capacity.lock();
        let peak = capacity.peak();
        let decided = capacity.admit(self.started.elapsed());
        if capacity.peak() > peak {
            self.journal.note(&Line::Overload(capacity.peak()));
        }
        if decided.0 == Admission::FallOver {
            self.journal.note(&Line::Fall(now_ms()));
        }
        decided
    }

    pub(crate) fn open_feed(self: &Arc<Self>) -> Option<Feed> {
        self.arrived();
        if self.sheds() {
            return None;
        }
        let mut report = self.report.lock();
        report.feeds += 1;
        report.feeds_open += 1;
        Some(Feed {
            backend: Arc::clone(self),
        })
    }

    pub(crate) fn log_run(&self, id: &str) {
        self.report.lock().runs += 1;
        self.journal.note(&Line::Run {
            id: id.to_owned(),
            at_ms: now_ms(),
        });
    }

    /// Takes as long as a request takes.
    pub(crate) async fn work(&self) {
        tokio::time::sleep(Duration::from_millis(self.settings.work_ms)).await;
    }

    pub(crate) fn lie(&self) -> Lie {
        self.faults.lock().lie
    }

    pub(crate) fn sheds(&self) -> bool {
        self.faults.lock().sheds
    }

    pub(crate) fn in_use(&self) -> u32 {
        self.capacity.lock().in_use()
    }

    fn arrived(&self) {
        let now = now_ms();
        let mut report = self.report.lock();
        report.last_request_ms = now;
        drop(report);
        self.journal.note(&Line::Arrival(now));
    }

    fn set(&self, fault: Fault) {
        match fault {
            Fault::Cold => self.capacity.lock().turn_cold(self.started.elapsed()),
            Fault::Lie { lie } => self.faults.lock().lie = lie,
            Fault::Shed { on } => self.faults.lock().sheds = on,
        }
    }

    fn snapshot(&self) -> Report {
        let mut report = self.report.lock().clone();
        let capacity = self.capacity.lock();
        report.falls = capacity.falls();
        report.overload_peak = capacity.peak();
        report.slots_in_use = capacity.in_use();
        report
    }
}

impl Slot {
    /// Whether the backend server hasn't fallen over since the request began.
    pub(crate) fn survived(&self) -> bool {
        self.backend.capacity.lock().falls() == self.generation
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.backend.capacity.lock().finish(self.generation);
    }
}

impl Drop for Feed {
    fn drop(&mut self) {
        self.backend.report.lock().feeds_open -= 1;
    }
}

/// Runs a backend server stand-in until it is killed.
///
/// # Errors
///
/// Returns [`Error::Bind`] if an address is taken.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let listener = bind(settings.address).await?;
    let control = bind(settings.control).await?;
    let backend = Arc::new(Backend::new(settings)?);
    tokio::spawn(serve_control(control, Arc::clone(&backend)));
    let router = routes::router(Arc::clone(&backend));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let open = backend.connections.fetch_add(1, Ordering::Relaxed) + 1;
        tokio::spawn(serve_connection(
            stream,
            open,
            router.clone(),
            Arc::clone(&backend),
        ));
    }
}

async fn serve_connection(stream: TcpStream, open: usize, router: Router, backend: Arc<Backend>) {
    if open > backend.settings.connections {
        backend.report.lock().connections_refused += 1;
    } else {
        {
            let mut report = backend.report.lock();
            report.connections_peak = report.connections_peak.max(open);
        }
        let service = service_fn(move |request: Request<Incoming>| {
            TowerToHyperService::new(router.clone()).call(request.map(Body::new))
        });
        // A caller that goes away ends its connection with an error.
        let _ = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }
    backend.connections.fetch_sub(1, Ordering::Relaxed);
}

async fn serve_control(listener: TcpListener, backend: Arc<Backend>) {
    let router = Router::new()
        .route(REPORT_PATH, get(report))
        .route(FAULT_PATH, post(fault))
        .with_state(backend);
    let _ = axum::serve(listener, router).await;
}

async fn report(State(backend): State<Arc<Backend>>) -> Json<Report> {
    Json(backend.snapshot())
}

async fn fault(State(backend): State<Arc<Backend>>, Json(fault): Json<Fault>) -> StatusCode {
    backend.set(fault);
    StatusCode::NO_CONTENT
}
