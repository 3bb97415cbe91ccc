//! Whether a process may act on its view.

use std::sync::atomic::{AtomicBool, Ordering};

/// Closed while the process has just been paused and hasn't yet checked its records with a peer or
/// the store; a resource of every daemon. Packets that arrive while it is closed are dropped.
#[derive(Debug, Default)]
pub struct Gate {
    open: AtomicBool,
}

impl Gate {
    /// Whether the process may act on its view.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Acquire)
    }

    /// Opens or closes the gate.
    pub fn set(&self, open: bool) {
        self.open.store(open, Ordering::Release);
    }
}
