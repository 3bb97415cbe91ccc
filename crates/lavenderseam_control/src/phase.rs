//! What an agent announces of itself.

use lavenderseam_core::record::Phase;
use tokio::sync::watch;

/// What an agent announces of itself; a resource of every agent.
#[derive(Debug)]
pub struct Announcement {
    wanted: watch::Sender<Phase>,
}

impl Announcement {
    /// Announces that the agent serves.
    #[must_use]
    pub fn new() -> Self {
        Self {
            wanted: watch::Sender::new(Phase::Serving),
        }
    }

    /// Announces another phase; the control plane writes it to the store and tells its peers.
    pub fn set(&self, phase: Phase) {
        self.wanted.send_replace(phase);
    }

    /// Notifies of every change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.wanted.subscribe()
    }
}

impl Default for Announcement {
    fn default() -> Self {
        Self::new()
    }
}
