//! Health of one target as its probes show it.

use std::time::Duration;

use super::ProbedTarget;
use crate::id::Incarnation;
use crate::record::DownTarget;
use crate::time::Instant;

/// Number of consecutive unanswered probes after which a target may be marked down.
const DOWN_THRESHOLD: u32 = 4;
/// Number of consecutive answered probes after which a target that is down counts as up again.
const UP_THRESHOLD: u32 = 2;
/// Time after which a probe counts as unanswered.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Probe state and health of one target.
#[derive(Clone, Debug)]
pub(crate) struct TargetHealth {
    pub(crate) probed: ProbedTarget,
    pub(crate) down: bool,
    /// Time at which the target was marked down, or at which that duration was last reset.
    down_since: Instant,
    consecutive_misses: u32,
    consecutive_answers: u32,
    /// Nonce and sending time of the outstanding probe.
    outstanding: Option<(u64, Instant)>,
    next_probe: Instant,
    last_answer: Option<Instant>,
}

impl TargetHealth {
    pub(crate) fn new(probed: ProbedTarget, next_probe: Instant) -> Self {
        Self {
            probed,
            down: false,
            down_since: next_probe,
            consecutive_misses: 0,
            consecutive_answers: 0,
            outstanding: None,
            next_probe,
            last_answer: None,
        }
    }

    /// Updates the target's record. A new run of the agent counts as up.
    pub(crate) fn update_target(&mut self, probed: ProbedTarget) {
        if self.probed.incarnation != probed.incarnation {
            self.down = false;
            self.consecutive_misses = 0;
        }
        self.probed = probed;
    }

    /// Discards the outstanding probe and the misses, which a pause of the prober may have caused.
    pub(crate) fn reset_after_pause(&mut self, now: Instant) {
        self.outstanding = None;
        self.consecutive_misses = 0;
        self.next_probe = self.next_probe.max(now);
    }

    /// Returns `true` if a probe is to be sent now.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.outstanding.is_none() && self.next_probe <= now
    }

    /// Records that a probe was sent and schedules the next one.
    pub(crate) fn record_probe(&mut self, nonce: u64, now: Instant, interval: Duration) {
        self.outstanding = Some((nonce, now));
        // A target with unanswered probes is probed again right after the timeout, so that it is
        // soon known whether it is down.
        let steady = self.consecutive_misses == 0 || self.down;
        self.next_probe = if steady {
            now + interval
        } else {
            now + PROBE_TIMEOUT
        };
    }

    /// Handles an answer to a probe; returns `true` if the probe was outstanding.
    pub(crate) fn handle_answer(&mut self, nonce: u64, run: Incarnation, now: Instant) -> bool {
        if self.outstanding.map(|(sent, _)| sent) != Some(nonce) {
            return false;
        }
        self.outstanding = None;
        self.last_answer = Some(now);
        // An answer of another run at this address doesn't show that the run in the record is up.
        if run != self.probed.incarnation {
            self.record_miss(now);
            return true;
        }
        self.consecutive_misses = 0;
        self.consecutive_answers += 1;
        if self.down && self.consecutive_answers >= UP_THRESHOLD {
            self.down = false;
        }
        true
    }

    /// Counts the outstanding probe as unanswered if it has timed out.
    pub(crate) fn expire_probe(&mut self, now: Instant) {
        if self
            .outstanding
            .is_some_and(|(_, sent)| now.since(sent) > PROBE_TIMEOUT)
        {
            self.outstanding = None;
            self.record_miss(now);
        }
    }

    fn record_miss(&mut self, now: Instant) {
        self.consecutive_answers = 0;
        self.consecutive_misses = self.consecutive_misses.saturating_add(1);
        if self.consecutive_misses < DOWN_THRESHOLD {
            self.next_probe = now;
        }
    }

    /// Marks the target down.
    pub(crate) fn mark_down(&mut self, now: Instant) {
        if !self.down {
            self.down = true;
            self.down_since = now;
        }
    }

    /// Returns the time since the target was marked down, or `None` if it is up.
    pub(crate) fn down_duration(&self, now: Instant) -> Option<Duration> {
        self.down.then(|| now.since(self.down_since))
    }

    /// Restarts the measurement of how long the target has been down.
    pub(crate) fn reset_down_duration(&mut self, now: Instant) {
        self.down_since = now;
    }

    /// Returns the target and the run in its record as an item of a verdict.
    pub(crate) fn to_down(&self) -> DownTarget {
        DownTarget {
            target: self.probed.target.clone(),
            incarnation: self.probed.incarnation,
        }
    }

    /// Returns `true` if [`DOWN_THRESHOLD`] or more consecutive probes were unanswered.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.consecutive_misses >= DOWN_THRESHOLD
    }

    /// Returns `true` if the last completed probe was unanswered.
    pub(crate) fn is_suspect(&self) -> bool {
        self.consecutive_misses > 0
    }
}
