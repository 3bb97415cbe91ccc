//! Counters of forwarded and dropped datagrams.

use std::sync::atomic::{AtomicU64, Ordering};

use lavenderseam_core::flow::Reason;
use lavenderseam_telemetry::Metrics;

/// Result of handling a datagram, except for drops by the router, which are counted by reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramEvent {
    /// The packet was forwarded to an agent.
    Forwarded,
    /// The packet was dropped because the gate is closed.
    GateClosed,
    /// The datagram was dropped because its source isn't a known fabric address or its frame isn't
    /// authentic.
    UnknownSource,
    /// The datagram was dropped because it is malformed or a frame can't be encoded.
    Malformed,
    /// The packet was dropped because it continues a connection whose id no agent issued.
    UnknownConnection,
    /// The datagram was dropped because the socket couldn't send it.
    SendFailed,
    /// A hint about a flow's owner was handled and no other owner had to release the flow.
    HintHandled,
    /// An owner was instructed to release a flow.
    YieldSent,
}

impl DatagramEvent {
    const ALL: [Self; 8] = [
        Self::Forwarded,
        Self::GateClosed,
        Self::UnknownSource,
        Self::Malformed,
        Self::UnknownConnection,
        Self::SendFailed,
        Self::HintHandled,
        Self::YieldSent,
    ];

    /// Name of the event's metric.
    const fn metric_name(self) -> &'static str {
        match self {
            Self::Forwarded => "forwarded",
            Self::GateClosed => "dropped.gate_closed",
            Self::UnknownSource => "dropped.stranger",
            Self::Malformed => "dropped.unreadable",
            Self::UnknownConnection => "dropped.unknown_connection",
            Self::SendFailed => "dropped.send_failed",
            Self::HintHandled => "hints",
            Self::YieldSent => "yields",
        }
    }
}

/// Counts datagram events and drops by the router since the process started.
#[derive(Debug, Default)]
pub struct Counters {
    events: [AtomicU64; DatagramEvent::ALL.len()],
    drops: [AtomicU64; Reason::ALL.len()],
}

/// Counter values that have been reported as metrics.
#[derive(Debug, Default)]
pub(crate) struct ReportedCounts {
    events: [u64; DatagramEvent::ALL.len()],
    drops: [u64; Reason::ALL.len()],
}

impl Counters {
    /// Counts an event.
    pub fn count(&self, event: DatagramEvent) {
        self.events[event as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a packet that the router dropped.
    pub fn count_drop(&self, reason: Reason) {
        self.drops[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how often an event was counted.
    #[must_use]
    pub fn events(&self, event: DatagramEvent) -> u64 {
        self.events[event as usize].load(Ordering::Relaxed)
    }

    /// Returns how many packets the router dropped for a reason.
    #[must_use]
    pub fn drops(&self, reason: Reason) -> u64 {
        self.drops[reason as usize].load(Ordering::Relaxed)
    }

    /// Sends the increments since the last report to the metrics collector.
    pub(crate) fn report(&self, reported: &mut ReportedCounts, metrics: &Metrics) {
        for (event, reported_count) in DatagramEvent::ALL.into_iter().zip(&mut reported.events) {
            let count = self.events(event);
            metrics.count(
                event.metric_name(),
                count - std::mem::replace(reported_count, count),
            );
        }
        for (reason, reported_count) in Reason::ALL.into_iter().zip(&mut reported.drops) {
            let count = self.drops(reason);
            let name = format!("dropped.{reason}");
            metrics.count(&name, count - std::mem::replace(reported_count, count));
        }
    }
}
