//! Lifecycle phase that an agent announces in its record.

use lavenderseam_core::record::Phase;
use tokio::sync::watch;

/// Lifecycle phase that an agent announces in its `Target` record; a resource of every daemon.
///
/// The record of a balancer has no phase.
#[derive(Debug)]
pub struct AnnouncedPhase {
    phase: watch::Sender<Phase>,
}

impl AnnouncedPhase {
    /// Creates the holder with [`Phase::Serving`] as its phase.
    #[must_use]
    pub fn new() -> Self {
        Self {
            phase: watch::Sender::new(Phase::Serving),
        }
    }

    /// Announces another phase: the control plane writes it to the store and pushes it to its
    /// peers.
    pub fn set(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Returns a receiver that is notified of every change of the phase.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }
}

impl Default for AnnouncedPhase {
    fn default() -> Self {
        Self::new()
    }
}
