//! The HTTP/3 server: from callers' requests to the backend server's answers.
//!
//! - [`connection`]: one caller's connection, from its handshake to its end.
//! - [`request`]: reads one request and decides which way it takes.
//! - [`exchange`]: one request's stream and its surroundings.
//! - [`repeatable`]: requests that may be repeated, downloads and live feeds; streamed.
//! - [`edit`]: requests that may not be repeated; at most once.
//! - [`reply`]: writes answers that are whole, and answers of the agent's own.
//! - [`stage`]: whether connections may stay.
//!
//! Each uses those below it only.

mod connection;
mod edit;
mod exchange;
mod repeatable;
mod reply;
mod request;
mod stage;

use std::sync::Arc;

use lavenderseam_telemetry::{Log, Metrics};
use tokio::sync::watch;

use crate::backend::Backend;
use crate::flows::Flows;
use crate::gauge::Gauge;
use crate::ledger::Ledger;
use crate::remote::Inquirer;

pub(crate) use connection::serve;
pub(crate) use stage::Stage;

/// What all connections share.
pub(crate) struct Server {
    pub(crate) backend: Backend,
    pub(crate) gauge: Arc<Gauge>,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) inquirer: Inquirer,
    pub(crate) flows: Arc<Flows>,
    pub(crate) stage: watch::Sender<Stage>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: Log,
}
