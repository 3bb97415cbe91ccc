//! Whether callers' connections may stay.

use tokio::sync::watch;
use tokio::time::Instant;

/// Whether callers' connections may stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// They may.
    Serving,
    /// They are to end once their requests have, at the latest at this time.
    Draining(Instant),
    /// They end now: the failure domain is out.
    Out,
}

/// The stage, once it is another one than serving.
pub(super) async fn leaving(stage: &mut watch::Receiver<Stage>) -> Stage {
    match stage.wait_for(|stage| *stage != Stage::Serving).await {
        Ok(stage) => *stage,
        // The server itself is gone.
        Err(_) => Stage::Out,
    }
}
