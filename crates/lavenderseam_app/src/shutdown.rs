//! Graceful shutdown: phases, and the handles that tasks and callers use.

use std::sync::Arc;

use tokio::sync::{Notify, watch};

/// Phase of an app; phases only advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// The app serves.
    Running,
    /// A planned stop has begun: plugins take on no new work and finish the work in progress.
    Draining,
    /// All drain guards are dropped: the remaining tasks must end.
    Terminating,
}

/// Lets a task observe the phase of the app and delay the end of the drain.
#[derive(Clone)]
pub struct Shutdown {
    phase: watch::Receiver<ShutdownPhase>,
    /// Number of drain guards that are held.
    guards: watch::Sender<usize>,
}

/// Keeps the app in [`ShutdownPhase::Draining`] until dropped.
pub struct DrainGuard {
    guards: watch::Sender<usize>,
}

/// Handle that begins the planned stop of an app.
#[derive(Clone)]
pub struct StopHandle {
    stop_request: Arc<Notify>,
}

/// Advances the phase of an app and counts its drain guards.
pub(crate) struct ShutdownController {
    phase: watch::Sender<ShutdownPhase>,
    guards: watch::Sender<usize>,
    stop_request: Arc<Notify>,
}

impl Shutdown {
    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// Waits until a planned stop has begun; returns at once if it has.
    pub async fn wait_for_draining(&mut self) {
        self.wait_for_phase(ShutdownPhase::Draining).await;
    }

    /// Waits until the drain has ended and the remaining tasks must end.
    pub async fn wait_for_terminating(&mut self) {
        self.wait_for_phase(ShutdownPhase::Terminating).await;
    }

    /// Returns a guard that keeps the drain from ending until it is dropped.
    #[must_use]
    pub fn drain_guard(&self) -> DrainGuard {
        self.guards.send_modify(|count| *count += 1);
        DrainGuard {
            guards: self.guards.clone(),
        }
    }

    async fn wait_for_phase(&mut self, target: ShutdownPhase) {
        // `wait_for` fails if the channel is closed: the app has been dropped, so there is nothing
        // to wait for any more.
        let _ = self.phase.wait_for(|phase| *phase >= target).await;
    }
}

impl StopHandle {
    /// Begins the planned stop. Has no effect if one has already begun.
    pub fn stop(&self) {
        self.stop_request.notify_one();
    }
}

impl ShutdownController {
    pub(crate) fn new() -> Self {
        Self {
            phase: watch::Sender::new(ShutdownPhase::Running),
            guards: watch::Sender::new(0),
            stop_request: Arc::default(),
        }
    }

    pub(crate) fn shutdown(&self) -> Shutdown {
        Shutdown {
            phase: self.phase.subscribe(),
            guards: self.guards.clone(),
        }
    }

    pub(crate) fn stopper(&self) -> StopHandle {
        StopHandle {
            stop_request: Arc::clone(&self.stop_request),
        }
    }

    /// Waits until a [`StopHandle`] requests the planned stop.
    pub(crate) async fn wait_for_stop_request(&self) {
        self.stop_request.notified().await;
    }

    /// Advances the app to [`ShutdownPhase::Draining`].
    pub(crate) fn begin_draining(&self) {
        self.phase.send_replace(ShutdownPhase::Draining);
    }

    /// Waits until no drain guard is held.
    pub(crate) async fn wait_until_drained(&self) {
        let _ = self.guards.subscribe().wait_for(|count| *count == 0).await;
    }

    /// Advances the app to [`ShutdownPhase::Terminating`].
    pub(crate) fn begin_terminating(&self) {
        self.phase.send_replace(ShutdownPhase::Terminating);
    }
}

impl Drop for DrainGuard {
    fn drop(&mut self) {
        self.guards.send_modify(|count| *count -= 1);
    }
}

/// Shared handle to the controller.
pub(crate) type SharedController = Arc<ShutdownController>;
