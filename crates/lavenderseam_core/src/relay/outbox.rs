//! Queue of records to push to one process.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::record::Id;
use crate::time::Instant;

/// Maximum number of queued records. Records beyond it are not queued; the receiver finds and pulls
/// them when it compares digests.
const MAX_PENDING_RECORDS: usize = 512;
/// Maximum number of records in one push.
const MAX_RECORDS_PER_PUSH: usize = 128;
/// Number of consecutive failed pushes whose records are queued again. After further failures the
/// queue is dropped and the receiver pulls the records when it compares digests.
const MAX_PUSH_RETRIES: u32 = 3;
/// Base of the delay after a failed push; the delay doubles with each consecutive failure.
const RETRY_BASE_DELAY: Duration = Duration::from_millis(500);

/// Queue of records to push to one process. At most one push is in flight at a time, so records
/// that change in the meantime are sent together in the next push.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    pending: BTreeSet<Id>,
    stamp_pending: bool,
    in_flight: Option<Vec<Id>>,
    consecutive_failures: u32,
    retry_at: Instant,
    /// Time at which the first of the consecutive failed pushes failed.
    failing_since: Option<Instant>,
    last_delivery: Option<Instant>,
}

impl Outbox {
    /// Queues a record for the next push.
    pub(crate) fn enqueue(&mut self, id: &Id) {
        if self.pending.len() < MAX_PENDING_RECORDS {
            self.pending.insert(id.clone());
        }
    }

    /// Requests that a stamp is pushed even if no records are queued.
    pub(crate) fn enqueue_stamp(&mut self) {
        self.stamp_pending = true;
    }

    /// Starts the next push and returns its records; `None` if no push is due.
    pub(crate) fn start_push(&mut self, now: Instant) -> Option<Vec<Id>> {
        let idle = self.pending.is_empty() && !self.stamp_pending;
        if idle || self.in_flight.is_some() || now < self.retry_at {
            return None;
        }
        let mut ids = Vec::new();
        while ids.len() < MAX_RECORDS_PER_PUSH {
            let Some(id) = self.pending.pop_first() else {
                break;
            };
            ids.push(id);
        }
        self.stamp_pending = false;
        self.in_flight = Some(ids.clone());
        Some(ids)
    }

    /// Returns the time since the first of the consecutive failed pushes, or zero if the last push
    /// was delivered.
    pub(crate) fn failing_duration(&self, now: Instant) -> Duration {
        self.failing_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns `true` if a push was delivered within the last `duration`.
    pub(crate) fn delivered_within(&self, duration: Duration, now: Instant) -> bool {
        self.last_delivery
            .is_some_and(|arrived| now.since(arrived) <= duration)
    }

    /// Restarts the measurement of [`Self::failing_duration`] at the next failed push.
    pub(crate) fn reset_failing_duration(&mut self) {
        self.failing_since = None;
    }

    /// Handles the result of the push in flight.
    pub(crate) fn finish_push(&mut self, arrived: bool, now: Instant) {
        let sent = self.in_flight.take().unwrap_or_default();
        if arrived {
            self.consecutive_failures = 0;
            self.failing_since = None;
            self.last_delivery = Some(now);
            return;
        }
        self.failing_since.get_or_insert(now);
        self.consecutive_failures += 1;
        self.retry_at = now + RETRY_BASE_DELAY * (1 << self.consecutive_failures.min(4));
        if self.consecutive_failures <= MAX_PUSH_RETRIES {
            self.pending.extend(sent);
        } else {
            self.pending.clear();
        }
    }
}
