//! Current routing view, shared by all tasks of a process.

use std::sync::Arc;

use lavenderseam_core::view::View;
use tokio::sync::watch;

/// Holds the current routing view and notifies subscribers of new ones; a resource of every daemon.
#[derive(Debug)]
pub struct CurrentView {
    current: watch::Sender<Arc<View>>,
}

impl CurrentView {
    /// Creates a holder of a view without services.
    #[must_use]
    pub fn new() -> Self {
        Self {
            current: watch::Sender::new(Arc::default()),
        }
    }

    /// Returns the current view.
    #[must_use]
    pub fn get(&self) -> Arc<View> {
        Arc::clone(&self.current.borrow())
    }

    /// Replaces the current view and notifies the subscribers.
    pub fn publish(&self, view: View) {
        self.current.send_replace(Arc::new(view));
    }

    /// Returns a receiver that is notified of every new view.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.current.subscribe()
    }
}

impl Default for CurrentView {
    fn default() -> Self {
        Self::new()
    }
}
