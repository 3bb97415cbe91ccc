//! The fabric's process.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract;
use axum::routing::{get, post};
use http::StatusCode;
use parking_lot::Mutex;
use socket2::{Domain, Protocol, Socket, Type};

use super::delay::Line;
use super::link::{Egress, Ingress};
use super::{Fault, OWNERS_PATH, Report, Settings, State, health};
use crate::Error;
use crate::standins::{FAULT_PATH, REPORT_PATH, bind, now_ms};

/// Receive buffer of a socket, in bytes.
const BUFFER: usize = 4 << 20;

type Shared = Arc<Mutex<State>>;

/// Runs the fabric stand-in until it is killed.
///
/// # Errors
///
/// Returns [`Error::Bind`] if an address is taken.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let state: Shared = Arc::new(Mutex::new(State::new(&settings.balancers, settings.seed)));
    let balancers = open(settings.ingress)?;
    let agents = open(settings.egress)?;
    let mut services = HashMap::new();
    for service in &settings.services {
        services.insert(*service, open(*service)?);
    }
    let control = bind(settings.control).await?;
    let line = Line::new(Duration::from_micros(settings.delay_in_us));
    for (service, callers) in &services {
        let ingress = Ingress {
            service: *service,
            callers: Arc::clone(callers),
            balancers: Arc::clone(&balancers),
            state: Arc::clone(&state),
            line: line.clone(),
        };
        ingress.start();
    }
    let egress = Egress {
        agents,
        services,
        state: Arc::clone(&state),
        line: Line::new(Duration::from_micros(settings.delay_out_us)),
    };
    egress.start();
    health::start(&balancers, &state, settings.balancers);
    let router = Router::new()
        .route(REPORT_PATH, get(report))
        .route(FAULT_PATH, post(fault))
        .route(OWNERS_PATH, get(owners))
        .with_state(state);
    axum::serve(control, router).await.map_err(Error::System)
}

fn open(address: SocketAddr) -> Result<Arc<UdpSocket>, Error> {
    let open = || {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::DGRAM,
            Some(Protocol::UDP),
        )?;
        socket.set_recv_buffer_size(BUFFER)?;
        socket.bind(&address.into())?;
        Ok(UdpSocket::from(socket))
    };
    let socket = open().map_err(|cause| Error::Bind { address, cause })?;
    Ok(Arc::new(socket))
}

async fn report(extract::State(state): extract::State<Shared>) -> Json<Report> {
    Json(state.lock().report(now_ms()))
}

async fn owners(
    extract::State(state): extract::State<Shared>,
) -> Json<BTreeMap<SocketAddr, IpAddr>> {
    Json(state.lock().owners())
}

async fn fault(
    extract::State(state): extract::State<Shared>,
    Json(fault): Json<Fault>,
) -> StatusCode {
    state.lock().set(&fault);
    StatusCode::NO_CONTENT
}
