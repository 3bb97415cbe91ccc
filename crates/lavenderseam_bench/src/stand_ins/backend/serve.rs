//! Process of a simulated backend server: its state, connections and control API.

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
use super::fault::{FalseReport, Fault};
use super::journal::{Journal, JournalEntry};
use super::report::Report;
use super::{Settings, routes};
use crate::Error;
use crate::stand_ins::{FAULT_PATH, REPORT_PATH, bind, unix_time_ms};

/// State of a simulated backend server.
pub(crate) struct Backend {
    pub(crate) settings: Settings,
    capacity: Mutex<Capacity>,
    report: Mutex<Report>,
    faults: Mutex<Faults>,
    journal: Journal,
    connections: AtomicUsize,
    started_at: Instant,
}

struct Faults {
    false_answer: FalseReport,
    shedding: bool,
}

/// Slot of a running request, freed on drop.
pub(crate) struct Slot {
    backend: Arc<Backend>,
    generation: u64,
}

/// An open feed, counted as closed on drop.
pub(crate) struct Feed {
    pub(crate) backend: Arc<Backend>,
}

impl Backend {
    fn new(settings: Settings) -> Result<Self, Error> {
        // An existing journal means that this is a restart, and restarts are cold.
        let starts_cold = settings.cold || settings.journal.exists();
        let journal = Journal::open(&settings.journal)?;
        let cold_duration = Duration::from_millis(settings.cold_ms);
        let ramp_duration = Duration::from_millis(settings.ramp_ms);
        let mut capacity = Capacity::new(settings.slots, cold_duration, ramp_duration);
        if starts_cold {
            capacity.start_cold_phase(Duration::ZERO);
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
                false_answer: FalseReport::None,
                shedding: false,
            }),
            journal,
            connections: AtomicUsize::new(0),
            started_at: Instant::now(),
        })
    }

    /// Takes a slot for a request, or returns `None` if the request is rejected.
    pub(crate) fn acquire_slot(self: &Arc<Self>) -> Option<Slot> {
        self.record_arrival();
        let (admission, generation) = if self.is_shedding() {
            (Admission::Shed, 0)
        } else {
            self.admit()
        };
        if admission != Admission::Run {
            self.report.lock().shed += 1;
            return None;
        }
        self.report.lock().requests += 1;
        self.journal
            .append_entry(&JournalEntry::Started(unix_time_ms()));
        Some(Slot {
            backend: Arc::clone(self),
            generation,
        })
    }

    fn admit(&self) -> (Admission, u64) {
        let mut capacity = self.capacity.lock();
        let peak_overload = capacity.peak_overload();
        let decision = capacity.admit(self.started_at.elapsed());
        if capacity.peak_overload() > peak_overload {
            self.journal
                .append_entry(&JournalEntry::Overload(capacity.peak_overload()));
        }
        if decision.0 == Admission::Crash {
            self.journal
                .append_entry(&JournalEntry::Crash(unix_time_ms()));
        }
        decision
    }

    pub(crate) fn open_feed(self: &Arc<Self>) -> Option<Feed> {
        self.record_arrival();
        if self.is_shedding() {
            return None;
        }
        let mut report = self.report.lock();
        report.feeds += 1;
        report.feeds_open += 1;
        Some(Feed {
            backend: Arc::clone(self),
        })
    }

    pub(crate) fn record_edit(&self, id: &str) {
        self.report.lock().runs += 1;
        self.journal.append_entry(&JournalEntry::EditRun {
            id: id.to_owned(),
            at_ms: unix_time_ms(),
        });
    }

    /// Waits for the processing time of a request.
    pub(crate) async fn simulate_work(&self) {
        tokio::time::sleep(Duration::from_millis(self.settings.work_ms)).await;
    }

    pub(crate) fn false_answer(&self) -> FalseReport {
        self.faults.lock().false_answer
    }

    pub(crate) fn is_shedding(&self) -> bool {
        self.faults.lock().shedding
    }

    pub(crate) fn in_use(&self) -> u32 {
        self.capacity.lock().in_use()
    }

    fn record_arrival(&self) {
        let now = unix_time_ms();
        let mut report = self.report.lock();
        report.last_request_ms = now;
        drop(report);
        self.journal.append_entry(&JournalEntry::Arrival(now));
    }

    fn apply_fault(&self, fault: Fault) {
        match fault {
            Fault::Cold => self
                .capacity
                .lock()
                .start_cold_phase(self.started_at.elapsed()),
            Fault::Lie { lie } => self.faults.lock().false_answer = lie,
            Fault::Shed { on } => self.faults.lock().shedding = on,
        }
    }

    fn snapshot(&self) -> Report {
        let mut report = self.report.lock().clone();
        let capacity = self.capacity.lock();
        report.falls = capacity.crashes();
        report.overload_peak = capacity.peak_overload();
        report.slots_in_use = capacity.in_use();
        report
    }
}

impl Slot {
    /// Returns `true` if the backend server hasn't crashed since the request started.
    pub(crate) fn survived(&self) -> bool {
        self.backend.capacity.lock().crashes() == self.generation
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

/// Runs a simulated backend server until the process is killed.
///
/// # Errors
///
/// Returns [`Error::Bind`] if an address can't be bound and [`Error::File`] if the journal can't be
/// opened.
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
        let open_connections = backend.connections.fetch_add(1, Ordering::Relaxed) + 1;
        tokio::spawn(serve_connection(
            stream,
            open_connections,
            router.clone(),
            Arc::clone(&backend),
        ));
    }
}

async fn serve_connection(
    stream: TcpStream,
    open_connections: usize,
    router: Router,
    backend: Arc<Backend>,
) {
    if open_connections > backend.settings.connections {
        backend.report.lock().connections_refused += 1;
    } else {
        {
            let mut report = backend.report.lock();
            report.connections_peak = report.connections_peak.max(open_connections);
        }
        let service = service_fn(move |request: Request<Incoming>| {
            TowerToHyperService::new(router.clone()).call(request.map(Body::new))
        });
        // A caller that disconnects ends its connection with an error, which needs no handling.
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
    backend.apply_fault(fault);
    StatusCode::NO_CONTENT
}
