//! The steps of a planned stop.

use std::sync::Arc;

use tokio::sync::{Notify, watch};

/// Step of an app's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serves.
    Running,
    /// A planned stop has begun: takes on nothing new and finishes what it has.
    Draining,
    /// Everything is finished; the remaining tasks end.
    Halted,
}

/// A task's view of the planned stop.
#[derive(Clone)]
pub struct Shutdown {
    phase: watch::Receiver<Phase>,
    guards: watch::Sender<usize>,
}

/// Keeps the app in [`Phase::Draining`] until dropped.
pub struct Guard {
    guards: watch::Sender<usize>,
}

/// Begins the planned stop of an app.
#[derive(Clone)]
pub struct Stopper {
    request: Arc<Notify>,
}

/// Drives the steps of the planned stop.
pub(crate) struct Control {
    phase: watch::Sender<Phase>,
    guards: watch::Sender<usize>,
    request: Arc<Notify>,
}

impl Shutdown {
    /// The present step.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until a planned stop has begun.
    pub async fn draining(&mut self) {
        self.reached(Phase::Draining).await;
    }

    /// Waits until the remaining tasks are to end.
    pub async fn halted(&mut self) {
        self.reached(Phase::Halted).await;
    }

    /// Keeps the app draining until the guard is dropped.
    #[must_use]
    pub fn guard(&self) -> Guard {
        self.guards.send_modify(|count| *count += 1);
        Guard {
            guards: self.guards.clone(),
        }
    }

    async fn reached(&mut self, step: Phase) {
        // A closed channel means that the app itself is gone, which ends every wait.
        let _ = self.phase.wait_for(|phase| *phase >= step).await;
    }
}

impl Stopper {
    /// Begins the planned stop; a stop that has begun is not affected.
    pub fn stop(&self) {
        self.request.notify_one();
    }
}

impl Control {
    pub(crate) fn new() -> Self {
        Self {
            phase: watch::Sender::new(Phase::Running),
            guards: watch::Sender::new(0),
            request: Arc::default(),
        }
    }

    pub(crate) fn shutdown(&self) -> Shutdown {
        Shutdown {
            phase: self.phase.subscribe(),
            guards: self.guards.clone(),
        }
    }

    pub(crate) fn stopper(&self) -> Stopper {
        Stopper {
            request: Arc::clone(&self.request),
        }
    }

    pub(crate) async fn stop_requested(&self) {
        self.request.notified().await;
    }

    pub(crate) fn drain(&self) {
        self.phase.send_replace(Phase::Draining);
    }

    pub(crate) async fn drained(&self) {
        let _ = self.guards.subscribe().wait_for(|count| *count == 0).await;
    }

    pub(crate) fn halt(&self) {
        self.phase.send_replace(Phase::Halted);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.guards.send_modify(|count| *count -= 1);
    }
}

/// Shared handle to the control.
pub(crate) type Handle = Arc<Control>;
