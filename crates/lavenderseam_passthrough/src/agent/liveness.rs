//! Detection of a backend server that no longer runs.
//!
//! A backend server that leaves packets unanswered, or bounces packets that it should accept, is
//! probed. After several bounces in a row it receives no new flows for a short time.

use std::time::Duration;

use lavenderseam_core::time::Instant;

/// Time for which packets may remain unanswered before the backend server is probed: it answers a
/// handshake within a millisecond, and a request within its longest processing time.
const UNANSWERED_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Consecutive bounces after which new flows are rejected without reaching the backend server.
const MAX_CONSECUTIVE_BOUNCES: u32 = 3;
/// Time for which new flows are rejected: about the time in which a queue of a few requests drains.
const BOUNCE_COOLDOWN: Duration = Duration::from_millis(200);

/// Signs that the backend server may have failed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BackendLiveness {
    /// Time at which the first packet was delivered since the backend server last sent one.
    unanswered_since: Option<Instant>,
    /// Consecutive packets that the backend server bounced although it should have accepted them.
    consecutive_bounces: u32,
    /// Time of the last such bounce.
    last_bounce: Instant,
    last_probe: Option<Instant>,
    /// `true` if the last probe showed nothing.
    repeats_probe: bool,
}

impl BackendLiveness {
    /// Records a packet delivered to the backend server.
    pub(crate) fn on_delivery(&mut self, now: Instant) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records a packet that the backend server sent on its own, which clears all signs of failure.
    pub(crate) fn on_packet(&mut self) {
        self.unanswered_since = None;
        self.consecutive_bounces = 0;
    }

    /// Records a response of any kind, including a bounce, which shows that a process still listens
    /// on the port.
    pub(crate) fn on_response(&mut self) {
        self.unanswered_since = None;
    }

    /// Records the bounce of a packet that the backend server should have accepted.
    pub(crate) fn on_unexpected_bounce(&mut self, now: Instant) {
        self.consecutive_bounces = self.consecutive_bounces.saturating_add(1);
        self.last_bounce = now;
    }

    /// Requests another probe, because the last one showed nothing.
    pub(crate) fn repeat_probe(&mut self) {
        self.repeats_probe = true;
    }

    /// Returns `true` if new flows are rejected without reaching the backend server.
    pub(crate) fn rejects_new_flows(&self, now: Instant) -> bool {
        self.consecutive_bounces >= MAX_CONSECUTIVE_BOUNCES
            && now.since(self.last_bounce) < BOUNCE_COOLDOWN
    }

    /// Returns `true` if a probe is due, and records its time; `is_uncertain` tells that it isn't
    /// known whether a backend server is running.
    pub(crate) fn take_probe_due(&mut self, is_uncertain: bool, now: Instant) -> bool {
        let timed_out = |since| now.since(since) >= UNANSWERED_TIMEOUT;
        let suspect = is_uncertain
            || self.consecutive_bounces > 0
            || self.unanswered_since.is_some_and(timed_out);
        let interval_elapsed = |at| now.since(at) >= PROBE_INTERVAL;
        let repeats = std::mem::take(&mut self.repeats_probe);
        let due = repeats || (suspect && self.last_probe.is_none_or(interval_elapsed));
        if due {
            self.last_probe = Some(now);
        }
        due
    }
}
