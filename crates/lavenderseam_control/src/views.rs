//! The present routing view, shared by all tasks of a process.

use std::sync::Arc;

use lavenderseam_core::view::View;
use tokio::sync::watch;

/// The present routing view; a resource of every daemon.
#[derive(Debug)]
pub struct Views {
    present: watch::Sender<Arc<View>>,
}

impl Views {
    /// Starts with an empty view.
    #[must_use]
    pub fn new() -> Self {
        Self {
            present: watch::Sender::new(Arc::default()),
        }
    }

    /// The present view.
    #[must_use]
    pub fn present(&self) -> Arc<View> {
        Arc::clone(&self.present.borrow())
    }

    /// Replaces the present view.
    pub fn publish(&self, view: View) {
        self.present.send_replace(Arc::new(view));
    }

    /// Notifies of every new view.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.present.subscribe()
    }
}

impl Default for Views {
    fn default() -> Self {
        Self::new()
    }
}
