//! Stand-ins for what the system runs on and between: the fabric, the platform's object API and
//! the backend servers. Each runs as a process of its own and takes faults and gives its counts at
//! a control address that the system under test doesn't know.

pub mod backend;
pub mod fabric;
pub mod hashing;
pub mod platform;

mod settings;

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

pub use settings::load;
use tokio::net::TcpListener;

use crate::Error;

/// Path at which each stand-in gives its counts.
pub const REPORT_PATH: &str = "/stand-in/report";
/// Path at which each stand-in takes faults.
pub const FAULT_PATH: &str = "/stand-in/fault";

/// Milliseconds since the epoch; the processes of one machine share it.
#[must_use]
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Opens a listening socket.
pub(crate) async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|cause| Error::Bind { address, cause })
}
