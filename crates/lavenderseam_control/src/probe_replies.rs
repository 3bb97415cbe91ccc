//! Broadcast of the replies to health probes.

use lavenderseam_wire::ProbeReply;
use tokio::sync::broadcast;

/// Number of replies that are buffered for a slow subscriber; beyond it, the oldest are dropped.
const CHANNEL_CAPACITY: usize = 256;

/// Broadcasts the replies of targets to the health probes of this process.
///
/// A resource of every daemon; only balancers publish to it.
#[derive(Debug)]
pub struct ProbeReplies {
    sender: broadcast::Sender<ProbeReply>,
}

impl ProbeReplies {
    /// Creates a broadcast without subscribers.
    #[must_use]
    pub fn new() -> Self {
        Self {
            sender: broadcast::Sender::new(CHANNEL_CAPACITY),
        }
    }

    /// Returns a receiver of all later replies. A receiver that falls behind loses the oldest.
    #[must_use]
    pub fn subscribe(&self) -> broadcast::Receiver<ProbeReply> {
        self.sender.subscribe()
    }

    /// Sends a reply to all subscribers.
    pub fn publish(&self, reply: ProbeReply) {
        // `send` only fails if there are no subscribers.
        let _ = self.sender.send(reply);
    }
}

impl Default for ProbeReplies {
    fn default() -> Self {
        Self::new()
    }
}
