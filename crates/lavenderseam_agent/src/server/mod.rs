//! The HTTP/3 server: forwards callers' requests to the backend server.
//!
//! - [`connection`]: serves one caller's connection from the handshake to its close.
//! - [`request`]: reads one request and dispatches it by kind.
//! - [`exchange`]: a request's stream with its deadline and identifiers.
//! - [`idempotent`]: streams the responses of idempotent requests, downloads and event streams.
//! - [`non_idempotent`]: runs non-idempotent requests at most once.
//! - [`reply`]: writes complete responses and those that the agent generates.
//! - [`drain_state`]: whether callers' connections stay open.
//!
//! Each module uses only those below it in this list.

mod connection;
mod drain_state;
mod exchange;
mod idempotent;
mod non_idempotent;
mod reply;
mod request;

use std::sync::Arc;

use lavenderseam_telemetry::{Log, Metrics};
use tokio::sync::watch;

use crate::backend_client::BackendClient;
use crate::concurrency_limiter::ConcurrencyLimiter;
use crate::flow_table::FlowTable;
use crate::idempotency_store::IdempotencyStore;
use crate::outcome_rpc::OutcomeClient;

pub(crate) use connection::accept_incoming;
pub(crate) use drain_state::DrainState;

/// State shared by all callers' connections.
pub(crate) struct Server {
    pub(crate) backend: BackendClient,
    pub(crate) limiter: Arc<ConcurrencyLimiter>,
    pub(crate) idempotency: Arc<IdempotencyStore>,
    pub(crate) outcome_client: OutcomeClient,
    pub(crate) flows: Arc<FlowTable>,
    pub(crate) drain_state: watch::Sender<DrainState>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: Log,
}
