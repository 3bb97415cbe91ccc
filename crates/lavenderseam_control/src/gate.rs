//! Whether a process may act on its view.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use lavenderseam_core::relay::PAUSE_LIMIT;

/// Closed while the process has just been paused and hasn't yet checked its records with a peer or
/// the store; a resource of every daemon. Packets that arrive while it is closed are dropped.
///
/// The control plane renews the gate at every tick. A gate that wasn't renewed in time counts as
/// closed at once, so a process that resumes doesn't act before the control plane has run.
#[derive(Debug)]
pub struct Gate {
    open: AtomicBool,
    origin: Instant,
    /// Milliseconds after `origin`.
    renewed: AtomicU64,
}

impl Gate {
    /// A closed gate.
    #[must_use]
    pub fn new() -> Self {
        Self {
            open: AtomicBool::new(false),
            origin: Instant::now(),
            renewed: AtomicU64::new(0),
        }
    }

    /// Whether the process may act on its view.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Acquire) && self.lapse() <= PAUSE_LIMIT
    }

    /// Opens or closes the gate, and renews it.
    pub fn set(&self, open: bool) {
        self.renew(self.now());
        self.open.store(open, Ordering::Release);
    }

    /// Opens the gate for as long as it is renewed.
    pub(crate) fn open(&self) {
        self.open.store(true, Ordering::Release);
    }

    /// Closes the gate.
    pub(crate) fn close(&self) {
        self.open.store(false, Ordering::Release);
    }

    /// The gate's clock, in milliseconds.
    pub(crate) fn now(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Notes that the process looked for a pause at a reading of the gate's clock. The reading is
    /// taken before the look, so that a pause between the two leaves the gate closed.
    pub(crate) fn renew(&self, looked: u64) {
        self.renewed.store(looked, Ordering::Release);
    }

    /// Time since the gate was last renewed.
    fn lapse(&self) -> Duration {
        let renewed = self.renewed.load(Ordering::Acquire);
        Duration::from_millis(self.now().saturating_sub(renewed))
    }
}

impl Default for Gate {
    fn default() -> Self {
        Self::new()
    }
}
