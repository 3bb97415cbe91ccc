//! Stand-ins: simulations of the systems around the balancers and agents, which are the network
//! fabric, the platform's object API and the backend servers.
//!
//! Each runs as its own process. Its control API, which injects faults and reports counts, has an
//! address that the system under test doesn't know.

pub mod backend;
pub mod fabric;
pub mod hashing;
pub mod platform;

mod settings;

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

pub use settings::load_settings;
use tokio::net::TcpListener;

use crate::Error;

/// Path of the control API that returns the counts of a stand-in.
pub const REPORT_PATH: &str = "/stand-in/report";
/// Path of the control API that injects a fault.
pub const FAULT_PATH: &str = "/stand-in/fault";

/// Returns the time in milliseconds since the Unix epoch, which is comparable among the processes
/// of one machine.
#[must_use]
pub fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Opens a listening TCP socket.
pub(crate) async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| Error::Bind { address, source })
}
