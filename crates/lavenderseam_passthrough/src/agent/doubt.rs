//! Doubt whether the backend server still runs.
//!
//! A backend server that leaves packets unanswered or bounces what it should take is probed, and
//! spared openers in the meantime.

use std::time::Duration;

use lavenderseam_core::time::Instant;

/// How long a backend server may leave packets unanswered before it is probed: it answers a
/// handshake within a millisecond and a request within its longest work.
const SILENCE: Duration = Duration::from_millis(500);
/// Time between two probes.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Bounces in a row after which openers are rejected without being tried.
const BOUNCE_LIMIT: u32 = 3;
/// How long they are: about the time in which a queue of a few requests empties.
const BOUNCE_PAUSE: Duration = Duration::from_millis(200);

/// What speaks against the backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Doubt {
    /// The first packet handed over since the backend server last sent one.
    unanswered: Option<Instant>,
    /// Packets in a row that it has bounced though it should have taken them.
    bounces: u32,
    /// When it bounced one last.
    bounced: Instant,
    probed: Option<Instant>,
}

impl Doubt {
    /// Notes a packet that was handed over.
    pub(crate) fn handed_over(&mut self, now: Instant) {
        self.unanswered.get_or_insert(now);
    }

    /// Notes a packet of its own.
    pub(crate) fn sent(&mut self) {
        self.unanswered = None;
        self.bounces = 0;
    }

    /// Notes that something answers there, if only by bouncing.
    pub(crate) fn answered(&mut self) {
        self.unanswered = None;
    }

    /// Notes a packet that it bounced though it should have taken it.
    pub(crate) fn bounced(&mut self, now: Instant) {
        self.bounces = self.bounces.saturating_add(1);
        self.bounced = now;
    }

    /// Whether openers are rejected without being tried.
    pub(crate) fn rejects(&self, now: Instant) -> bool {
        self.bounces >= BOUNCE_LIMIT && now.since(self.bounced) < BOUNCE_PAUSE
    }

    /// Whether it must be probed now.
    pub(crate) fn must_probe(&mut self, now: Instant) -> bool {
        let waited = |since| now.since(since) >= SILENCE;
        let doubtful = self.bounces > 0 || self.unanswered.is_some_and(waited);
        let paused = |at| now.since(at) >= PROBE_PAUSE;
        let probe = doubtful && self.probed.is_none_or(paused);
        if probe {
            self.probed = Some(now);
        }
        probe
    }
}
