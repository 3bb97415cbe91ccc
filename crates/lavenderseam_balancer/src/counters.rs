//! Counts of what became of packets.

use std::sync::atomic::{AtomicU64, Ordering};

use lavenderseam_core::flow::Reason;
use lavenderseam_telemetry::Metrics;

/// What became of a datagram, other than a drop by the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Forwarded to an agent.
    Forwarded,
    /// Dropped: the gate is closed.
    GateClosed,
    /// Dropped: from a source that isn't the fabric or doesn't hold the key.
    Stranger,
    /// Dropped: it can't be read.
    Unreadable,
    /// Dropped: it continues a connection whose id isn't one of ours.
    UnknownConnection,
    /// Dropped: the system couldn't send it.
    SendFailed,
    /// A hint was taken.
    Hint,
    /// An owner was told to give a flow up.
    Yield,
}

impl Event {
    const ALL: [Self; 8] = [
        Self::Forwarded,
        Self::GateClosed,
        Self::Stranger,
        Self::Unreadable,
        Self::UnknownConnection,
        Self::SendFailed,
        Self::Hint,
        Self::Yield,
    ];

    const fn name(self) -> &'static str {
        match self {
            Self::Forwarded => "forwarded",
            Self::GateClosed => "dropped.gate_closed",
            Self::Stranger => "dropped.stranger",
            Self::Unreadable => "dropped.unreadable",
            Self::UnknownConnection => "dropped.unknown_connection",
            Self::SendFailed => "dropped.send_failed",
            Self::Hint => "hints",
            Self::Yield => "yields",
        }
    }
}

/// Counts since the process started.
#[derive(Debug, Default)]
pub struct Counters {
    events: [AtomicU64; Event::ALL.len()],
    reasons: [AtomicU64; Reason::ALL.len()],
}

/// Counts already reported as metrics.
#[derive(Debug, Default)]
pub(crate) struct Reported {
    events: [u64; Event::ALL.len()],
    reasons: [u64; Reason::ALL.len()],
}

impl Counters {
    /// Counts an event.
    pub fn count(&self, event: Event) {
        self.events[event as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a packet that the router dropped.
    pub fn count_drop(&self, reason: Reason) {
        self.reasons[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Number of events of a kind so far.
    #[must_use]
    pub fn events(&self, event: Event) -> u64 {
        self.events[event as usize].load(Ordering::Relaxed)
    }

    /// Number of packets that the router dropped for a reason so far.
    #[must_use]
    pub fn drops(&self, reason: Reason) -> u64 {
        self.reasons[reason as usize].load(Ordering::Relaxed)
    }

    /// Sends the counts since the last report.
    pub(crate) fn report(&self, reported: &mut Reported, metrics: &Metrics) {
        for (event, last) in Event::ALL.into_iter().zip(&mut reported.events) {
            let count = self.events(event);
            metrics.count(event.name(), count - std::mem::replace(last, count));
        }
        for (reason, last) in Reason::ALL.into_iter().zip(&mut reported.reasons) {
            let count = self.drops(reason);
            let name = format!("dropped.{reason}");
            metrics.count(&name, count - std::mem::replace(last, count));
        }
    }
}
