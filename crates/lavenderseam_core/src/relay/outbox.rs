//! Records that wait to be pushed to one process.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::record::Id;
use crate::time::Instant;

/// Most records that wait; when there are more, the other process finds them by its digest.
const WAITING_LIMIT: usize = 512;
/// Most records of one push.
const PUSH_LIMIT: usize = 128;
/// Failed pushes after which the rest is left to repair.
const FAILURE_LIMIT: u32 = 3;
/// Pause after a failed push; it doubles with each.
const RETRY: Duration = Duration::from_millis(500);

/// Records that wait to be pushed to one process. At most one push is on its way at a time, so
/// records that change meanwhile go together in the next.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    waiting: BTreeSet<Id>,
    stamp: bool,
    sent: Option<Vec<Id>>,
    failures: u32,
    retry_at: Instant,
    /// When the first push of those that failed in a row was sent.
    failing_since: Option<Instant>,
    arrived: Option<Instant>,
}

impl Outbox {
    pub(crate) fn add(&mut self, id: &Id) {
        if self.waiting.len() < WAITING_LIMIT {
            self.waiting.insert(id.clone());
        }
    }

    pub(crate) fn add_stamp(&mut self) {
        self.stamp = true;
    }

    /// The records of the next push, if one is due.
    pub(crate) fn next(&mut self, now: Instant) -> Option<Vec<Id>> {
        let idle = self.waiting.is_empty() && !self.stamp;
        if idle || self.sent.is_some() || now < self.retry_at {
            return None;
        }
        let mut ids = Vec::new();
        while ids.len() < PUSH_LIMIT {
            let Some(id) = self.waiting.pop_first() else {
                break;
            };
            ids.push(id);
        }
        self.stamp = false;
        self.sent = Some(ids.clone());
        Some(ids)
    }

    /// Time for which no push arrived.
    pub(crate) fn failing_for(&self, now: Instant) -> Duration {
        self.failing_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Whether a push arrived within a time.
    pub(crate) fn arrived_within(&self, span: Duration, now: Instant) -> bool {
        self.arrived
            .is_some_and(|arrived| now.since(arrived) <= span)
    }

    /// Counts that time anew.
    pub(crate) fn excuse(&mut self) {
        self.failing_since = None;
    }

    /// Takes the outcome of the push on its way.
    pub(crate) fn delivered(&mut self, arrived: bool, now: Instant) {
        let sent = self.sent.take().unwrap_or_default();
        if arrived {
            self.failures = 0;
            self.failing_since = None;
            self.arrived = Some(now);
            return;
        }
        self.failing_since.get_or_insert(now);
        self.failures += 1;
        self.retry_at = now + RETRY * (1 << self.failures.min(4));
        if self.failures <= FAILURE_LIMIT {
            self.waiting.extend(sent);
        } else {
            self.waiting.clear();
        }
    }
}
