//! Grace period after a restore of the store, in which lost records stay in force.

use std::time::Duration;

use super::{Action, Node};
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
    /// Starts the grace period after a restore when the first revision of a new epoch arrives.
    ///
    /// A process that holds no records settles the epoch at once, since it has nothing to keep.
    pub(super) fn observe_epoch(&mut self, epoch: Epoch, now: Instant, actions: &mut Vec<Action>) {
        let settled = self.catalog.settled_epoch();
        let known = self.grace.map_or(settled, |grace| grace.epoch);
        if epoch <= known {
            return;
        }
        if self.catalog.is_empty() {
            self.catalog.settle(epoch);
            return;
        }
        self.grace = Some(Grace {
            epoch,
            ends_at: now + RESTORE_GRACE,
        });
        actions.push(Action::StoreRestored(epoch));
    }

    /// Takes over what another process knows of a restore, so that all processes end the grace
    /// period at about the same time.
    pub(super) fn observe_restore(&mut self, stamp: &Stamp, now: Instant) {
        let Some(restore) = stamp.restore else {
            return;
        };
        self.catalog.limit_copy(restore.copy_limit);
        let ends_at = now + Duration::from_millis(restore.settles_in_ms);
        if let Some(grace) = &mut self.grace
            && grace.epoch == restore.copy_limit.epoch()
        {
            grace.ends_at = grace.ends_at.min(ends_at);
        }
    }

    /// Settles the epoch of the last restore once its grace period has passed.
    ///
    /// The grace period is kept, so that stamps tell processes that have missed the restore that
    /// its epoch is settled.
    pub(super) fn settle_if_due(&mut self, now: Instant) {
        let is_due =
            |grace: &Grace| now >= grace.ends_at && self.catalog.settled_epoch() < grace.epoch;
        if let Some(grace) = self.grace.filter(is_due) {
            self.catalog.settle(grace.epoch);
            self.store_watch.must_list = true;
        }
    }
}
