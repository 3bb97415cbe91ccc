//! The watch of the store.

use std::sync::Arc;
use std::time::Duration;

use lavenderseam_app::Shutdown;
use lavenderseam_core::catalog::Revision;
use lavenderseam_platform::{Error, Store};

use crate::shared::Shared;

/// Longest time that one watch waits.
const WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed call.
const RETRY: Duration = Duration::from_millis(500);

/// Follows the store until the app halts.
pub(crate) async fn run<S: Store>(shared: Arc<Shared<S>>, mut shutdown: Shutdown) {
    tokio::select! {
        () = follow(&shared) => {}
        () = shutdown.halted() => {}
    }
}

async fn follow<S: Store>(shared: &Shared<S>) {
    let mut after = None;
    loop {
        match step(shared, after).await {
            Ok(revision) => {
                after = Some(revision);
                shared.gate.set(true);
            }
            Err(Error::Gone) => after = None,
            Err(error) => {
                shared
                    .log
                    .warn(format_args!("can't follow the store: {error}"));
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

/// Lists or watches once and returns the revision to go on from.
async fn step<S: Store>(shared: &Shared<S>, after: Option<Revision>) -> Result<Revision, Error> {
    let list = match after {
        Some(after) => shared.store.watch(after, WAIT).await?,
        None => shared.store.list().await?,
    };
    shared.apply(list.entries);
    Ok(list.revision)
}
