//! The health of one target.

use std::time::Duration;

use super::Probed;
use crate::id::Incarnation;
use crate::record::Down;
use crate::time::Instant;

/// Unanswered probes in a row after which a target is down.
const DOWN_AFTER: u32 = 4;
/// Answered probes in a row after which it is up again.
const UP_AFTER: u32 = 2;
/// Time that an answer may take.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// The health of one target.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    pub(crate) probed: Probed,
    pub(crate) down: bool,
    /// When it was found down.
    down_since: Instant,
    misses: u32,
    answers: u32,
    /// Nonce of the probe on its way and when it was sent.
    sent: Option<(u64, Instant)>,
    next: Instant,
    heard: Option<Instant>,
}

impl Health {
    pub(crate) fn new(probed: Probed, next: Instant) -> Self {
        Self {
            probed,
            down: false,
            down_since: next,
            misses: 0,
            answers: 0,
            sent: None,
            next,
            heard: None,
        }
    }

    /// Follows the target's record; a new run starts anew.
    pub(crate) fn renew(&mut self, probed: Probed) {
        if self.probed.incarnation != probed.incarnation {
            self.down = false;
            self.misses = 0;
        }
        self.probed = probed;
    }

    /// Forgets what a pause of the prober may have caused.
    pub(crate) fn excuse(&mut self, now: Instant) {
        self.sent = None;
        self.misses = 0;
        self.next = self.next.max(now);
    }

    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.sent.is_none() && self.next <= now
    }

    pub(crate) fn send(&mut self, nonce: u64, now: Instant, interval: Duration) {
        self.sent = Some((nonce, now));
        // A target that is suspected is probed again at once to settle it.
        let settled = self.misses == 0 || self.down;
        self.next = if settled {
            now + interval
        } else {
            now + ANSWER_LIMIT
        };
    }

    /// Takes an answer; returns whether it was awaited.
    pub(crate) fn answer(&mut self, nonce: u64, run: Incarnation, now: Instant) -> bool {
        if self.sent.map(|(sent, _)| sent) != Some(nonce) {
            return false;
        }
        self.sent = None;
        self.heard = Some(now);
        // Another run at this address says nothing of the one that the record names.
        if run != self.probed.incarnation {
            self.miss(now);
            return true;
        }
        self.misses = 0;
        self.answers += 1;
        if self.down && self.answers >= UP_AFTER {
            self.down = false;
        }
        true
    }

    /// Counts the probe on its way as unanswered if it is late.
    pub(crate) fn expire(&mut self, now: Instant) {
        if self
            .sent
            .is_some_and(|(_, sent)| now.since(sent) > ANSWER_LIMIT)
        {
            self.sent = None;
            self.miss(now);
        }
    }

    fn miss(&mut self, now: Instant) {
        self.answers = 0;
        self.misses = self.misses.saturating_add(1);
        if self.misses < DOWN_AFTER {
            self.next = now;
        }
    }

    /// Notes that the target is down.
    pub(crate) fn condemn(&mut self, now: Instant) {
        if !self.down {
            self.down = true;
            self.down_since = now;
        }
    }

    /// Time since the target was found down; none if it is up.
    pub(crate) fn down_for(&self, now: Instant) -> Option<Duration> {
        self.down.then(|| now.since(self.down_since))
    }

    /// Counts the time that the target is down anew.
    pub(crate) fn postpone(&mut self, now: Instant) {
        self.down_since = now;
    }

    /// The run that the target's record names, as a verdict lists it.
    pub(crate) fn as_down(&self) -> Down {
        Down {
            target: self.probed.target.clone(),
            incarnation: self.probed.incarnation,
        }
    }

    /// Whether enough probes in a row were not answered.
    pub(crate) fn is_silent(&self) -> bool {
        self.misses >= DOWN_AFTER
    }

    /// Whether the last probe was not answered.
    pub(crate) fn is_suspect(&self) -> bool {
        self.misses > 0
    }
}
