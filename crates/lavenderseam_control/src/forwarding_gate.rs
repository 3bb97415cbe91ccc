//! Flag that stops a process from forwarding packets on records that may be stale.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use lavenderseam_core::relay::PAUSE_THRESHOLD;

/// Determines whether the data path may use its routing view; a resource of every daemon.
///
/// The gate is closed from the start, or from a pause of the process (such as a suspended VM),
/// until the records have been confirmed by a peer or the store. Packets that arrive while it is
/// closed are dropped.
///
/// The control plane renews the gate at every tick. A gate that wasn't renewed for
/// [`PAUSE_THRESHOLD`] counts as closed, so a process that resumes after a pause forwards nothing
/// before the control plane has run.
#[derive(Debug)]
pub struct ForwardingGate {
    open: AtomicBool,
    created: Instant,
    /// Time of the last renewal, in milliseconds after `created`.
    renewed_ms: AtomicU64,
}

impl ForwardingGate {
    /// Creates a closed gate.
    #[must_use]
    pub fn new() -> Self {
        Self {
            open: AtomicBool::new(false),
            created: Instant::now(),
            renewed_ms: AtomicU64::new(0),
        }
    }

    /// Returns `true` if the process may use its routing view.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Acquire) && self.since_renewal() <= PAUSE_THRESHOLD
    }

    /// Opens or closes the gate and renews it.
    pub fn set_open(&self, open: bool) {
        self.renew(self.now_ms());
        self.open.store(open, Ordering::Release);
    }

    /// Opens the gate; it stays open only while it is renewed.
    pub(crate) fn open(&self) {
        self.open.store(true, Ordering::Release);
    }

    /// Closes the gate; renewing it doesn't open it again.
    pub(crate) fn close(&self) {
        self.open.store(false, Ordering::Release);
    }

    /// Returns the time since the gate was created, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.created.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Renews the gate as of `checked_ms`, a reading of [`ForwardingGate::now_ms`] from before the
    /// check for a pause. A pause between that reading and the check makes the renewal too old, so
    /// the gate counts as closed.
    pub(crate) fn renew(&self, checked_ms: u64) {
        self.renewed_ms.store(checked_ms, Ordering::Release);
    }

    /// Returns the time since the last renewal.
    fn since_renewal(&self) -> Duration {
        let renewed_ms = self.renewed_ms.load(Ordering::Acquire);
        Duration::from_millis(self.now_ms().saturating_sub(renewed_ms))
    }
}

impl Default for ForwardingGate {
    fn default() -> Self {
        Self::new()
    }
}
