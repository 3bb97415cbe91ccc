//! The agent that runs beside each backend server.
//!
//! It owns the flows of its target, terminates the callers' QUIC connections, limits the concurrent
//! requests to the backend server, runs non-idempotent requests at most once, and drains without
//! interrupting a request. Start reading at [`AgentPlugin`] (assembles the parts), then
//! `peer_socket` (packets in and out), `server` (HTTP/3) and `backend_client` (HTTP/1.1).

mod backend_client;
mod backend_prober;
mod certificate_reload;
mod clock;
mod concurrency_limiter;
mod drain_controller;
mod flow_table;
mod header;
mod idempotency_store;
mod outcome_rpc;
mod peer_socket;
mod plugin;
mod server;
mod settings;
mod stored_response;

pub use plugin::AgentPlugin;
pub use settings::Settings;
