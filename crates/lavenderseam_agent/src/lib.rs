//! The agent beside each backend server.
//!
//! It owns the flows that end there, ends the callers' transport, gives the backend server what
//! it bears, runs requests that may not be repeated at most once, and leaves without cutting a
//! request. Reading order: [`AgentPlugin`] (how the parts hang together), `peer` (packets in and
//! out), `server` (HTTP/3), `backend` (HTTP/1.1).

mod answer;
mod backend;
mod clock;
mod flows;
mod gauge;
mod header;
mod ledger;
mod peer;
mod plugin;
mod probe;
mod reload;
mod remote;
mod server;
mod settings;
mod stage;

pub use plugin::AgentPlugin;
pub use settings::Settings;
