//! Process of the simulated fabric.

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

use super::delay::DelayLine;
use super::link::{Egress, Ingress};
use super::{FabricState, Fault, OWNERS_PATH, Report, Settings, health};
use crate::Error;
use crate::stand_ins::{FAULT_PATH, REPORT_PATH, bind, unix_time_ms};

/// Size of the receive buffer of a socket, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 4 << 20;

type SharedState = Arc<Mutex<FabricState>>;

/// Runs the simulated fabric until the process is killed.
///
/// # Errors
///
/// Returns [`Error::Bind`] if an address can't be bound.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let state: SharedState = Arc::new(Mutex::new(FabricState::new(
        &settings.balancers,
        settings.seed,
    )));
    let balancers = open_socket(settings.ingress)?;
    let agents = open_socket(settings.egress)?;
    let mut services = HashMap::new();
    for service in &settings.services {
        services.insert(*service, open_socket(*service)?);
    }
    let control = bind(settings.control).await?;
    let delay_line = DelayLine::new(Duration::from_micros(settings.delay_in_us));
    for (service, callers) in &services {
        let ingress = Ingress {
            service: *service,
            callers: Arc::clone(callers),
            balancers: Arc::clone(&balancers),
            state: Arc::clone(&state),
            delay_line: delay_line.clone(),
        };
        ingress.start();
    }
    let egress = Egress {
        agents,
        services,
        state: Arc::clone(&state),
        delay_line: DelayLine::new(Duration::from_micros(settings.delay_out_us)),
    };
    egress.start();
    health::start(&balancers, &state, settings.balancers);
    let router = Router::new()
        .route(REPORT_PATH, get(report))
        .route(FAULT_PATH, post(fault))
        .route(OWNERS_PATH, get(owners))
        .with_state(state);
    axum::serve(control, router)
        .await
        .map_err(Error::SystemCall)
}

fn open_socket(address: SocketAddr) -> Result<Arc<UdpSocket>, Error> {
    let open = || {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::DGRAM,
            Some(Protocol::UDP),
        )?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.bind(&address.into())?;
        Ok(UdpSocket::from(socket))
    };
    let socket = open().map_err(|source| Error::Bind { address, source })?;
    Ok(Arc::new(socket))
}

async fn report(extract::State(state): extract::State<SharedState>) -> Json<Report> {
    Json(state.lock().report(unix_time_ms()))
}

async fn owners(
    extract::State(state): extract::State<SharedState>,
) -> Json<BTreeMap<SocketAddr, IpAddr>> {
    Json(state.lock().owners())
}

async fn fault(
    extract::State(state): extract::State<SharedState>,
    Json(fault): Json<Fault>,
) -> StatusCode {
    state.lock().apply_fault(&fault);
    StatusCode::NO_CONTENT
}
