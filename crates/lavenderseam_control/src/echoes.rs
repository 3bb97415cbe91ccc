//! The targets' answers to this process' probes.

use lavenderseam_wire::Echo;
use tokio::sync::broadcast;

/// Answers that a reader may lag behind before it misses some.
const BACKLOG: usize = 256;

/// The targets' answers to this process' probes; a resource of every balancer.
#[derive(Debug)]
pub struct Echoes {
    sender: broadcast::Sender<Echo>,
}

impl Echoes {
    /// Without readers.
    #[must_use]
    pub fn new() -> Self {
        Self {
            sender: broadcast::Sender::new(BACKLOG),
        }
    }

    /// Notifies of every answer. A reader that lags misses the oldest.
    #[must_use]
    pub fn subscribe(&self) -> broadcast::Receiver<Echo> {
        self.sender.subscribe()
    }

    /// Tells the readers of an answer.
    pub fn publish(&self, echo: Echo) {
        // Without readers there is no one to tell.
        let _ = self.sender.send(echo);
    }
}

impl Default for Echoes {
    fn default() -> Self {
        Self::new()
    }
}
