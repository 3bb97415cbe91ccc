//! Grace period after a restore of the store, in which lost records stay in force.

use std::time::Duration;

use super::{Action, Event, Node};
use crate::catalog::restore::RESTORE_GRACE;
use crate::catalog::{Catalog, Epoch};
use crate::relay::{Restore, Stamp};
use crate::time::Instant;

/// Grace period after a restore.
#[derive(Clone, Copy, Debug)]
pub(super) struct Grace {
    epoch: Epoch,
    ends_at: Instant,
}

impl Grace {
    /// Returns what a stamp tells of the restore; `None` if no process is known to have read the
    /// store since.
    pub(super) fn to_stamp(self, catalog: &Catalog, now: Instant) -> Option<Restore> {
        let copy_limit = catalog.copy_limit();
        let copy_limit = copy_limit.filter(|limit| limit.epoch() == self.epoch)?;
        let rest = self.ends_at.since(now);
        Some(Restore {
            copy_limit,
            settles_in_ms: u64::try_from(rest.as_millis()).unwrap_or(u64::MAX),
        })
    }
}

impl Node {
    /// Starts or ends the grace period after a restore by what an event and the time tell.
    pub(super) fn observe_restores(
        &mut self,
        event: &Event,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::StoreListed { revision, .. } => self.catalog.limit_copy(*revision),
            Event::PushReceived(push) => self.observe_restore(&push.stamp, now, actions),
            Event::PullFinished {
                answer: Some(answer),
                ..
            } => self.observe_restore(&answer.stamp, now, actions),
            _ => {}
        }
        if let Some(epoch) = event.epoch() {
            self.observe_epoch(epoch, now, actions);
        }
        self.settle_if_due(now);
    }

    /// Starts the grace period after a restore when the first revision of a new epoch arrives.
    ///
    /// A process that holds no records settles the epoch at once, since it has nothing to keep.
    fn observe_epoch(&mut self, epoch: Epoch, now: Instant, actions: &mut Vec<Action>) {
        if epoch <= self.known_epoch() {
            return;
        }
        if self.catalog.is_empty() {
            self.catalog.settle(epoch);
        } else {
            self.start_grace(epoch, now + RESTORE_GRACE, actions);
        }
    }

    /// Takes over what another process knows of a restore, so that all processes end the grace
    /// period at about the same time, also those that have started meanwhile.
    fn observe_restore(&mut self, stamp: &Stamp, now: Instant, actions: &mut Vec<Action>) {
        let Some(restore) = stamp.restore else {
            return;
        };
        self.catalog.limit_copy(restore.copy_limit);
        let epoch = restore.copy_limit.epoch();
        let ends_at = now + Duration::from_millis(restore.settles_in_ms);
        let has_ended_for_new_process = restore.settles_in_ms == 0 && self.catalog.is_empty();
        if epoch > self.known_epoch() && !has_ended_for_new_process {
            self.start_grace(epoch, ends_at, actions);
        } else if let Some(grace) = &mut self.grace
            && grace.epoch == epoch
        {
            grace.ends_at = grace.ends_at.min(ends_at);
        }
    }

    /// Returns the newest epoch that this process knows.
    fn known_epoch(&self) -> Epoch {
        let settled = self.catalog.settled_epoch();
        self.grace.map_or(settled, |grace| grace.epoch.max(settled))
    }

    fn start_grace(&mut self, epoch: Epoch, ends_at: Instant, actions: &mut Vec<Action>) {
        self.grace = Some(Grace { epoch, ends_at });
        actions.push(Action::StoreRestored(epoch));
    }

    /// Settles the epoch of the last restore once its grace period has passed.
    ///
    /// The grace period is kept, so that stamps tell processes that have missed the restore that
    /// its epoch is settled.
    fn settle_if_due(&mut self, now: Instant) {
        let is_due =
            |grace: &Grace| now >= grace.ends_at && self.catalog.settled_epoch() < grace.epoch;
        if let Some(grace) = self.grace.filter(is_due) {
            self.catalog.settle(grace.epoch);
            self.store_watch.must_list = true;
        }
    }
}
