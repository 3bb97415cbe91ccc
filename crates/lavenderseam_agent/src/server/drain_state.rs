//! State of a drain, which the drain controller sets and each connection of a caller watches.

use tokio::sync::watch;
use tokio::time::Instant;

/// Whether callers' connections stay open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainState {
    /// Connections stay open and accept requests.
    Serving,
    /// Connections close once their requests have ended, at the latest at this time.
    Draining(Instant),
    /// Connections close immediately, because the failure domain is out.
    DomainOut,
}

/// Waits until the agent no longer serves and returns the new state.
pub(super) async fn wait_until_leaving(state: &mut watch::Receiver<DrainState>) -> DrainState {
    match state.wait_for(|state| *state != DrainState::Serving).await {
        Ok(state) => *state,
        // The sender is dropped with the server.
        Err(_) => DrainState::DomainOut,
    }
}
