//! Pushes changed records and freshness stamps along the relay tree.

use std::time::Duration;

use super::{Action, Node};
use crate::catalog::{Catalog, Entry};
use crate::record::{Id, Kind};
use crate::relay::age;
use crate::relay::{MemberId, Push, Stamp};
use crate::time::Instant;

/// Maximum number of simultaneously changed records that are pushed on. The receivers pull larger
/// changes when they compare digests.
const MAX_FORWARDED_RECORDS: usize = 256;
/// Minimum gain in freshness for which a stamp is sent without records.
const MIN_STAMP_INTERVAL: Duration = Duration::from_secs(3);

/// Time for which a balancer must be unreachable before its record is deleted.
const DELETE_AFTER: Duration = Duration::from_secs(600);
/// Maximum age of the process's own records, and of its last delivered push to another member of an
/// unreachable balancer's region, for it to delete the balancer's record. With older ones, the
/// process or the region may be isolated rather than the balancer lost.
const MAX_CONNECTED_AGE: Duration = Duration::from_secs(10);

impl Node {
    /// Handles a push of another process.
    pub(super) fn handle_push(&mut self, push: Push, now: Instant, actions: &mut Vec<Action>) {
        self.last_message_at = now;
        self.unanswered_pulls = 0;
        let verified = push.stamp.restore.is_some();
        self.apply_entries(push.entries, Some(push.from), verified, actions);
        self.handle_stamp(push.from, push.stamp, now, actions);
    }

    /// Handles the stamp of another process.
    pub(super) fn handle_stamp(
        &mut self,
        from: MemberId,
        stamp: Stamp,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let same_records = stamp.root.matches(&self.catalog.digest().root());
        if same_records {
            self.mark_complete(stamp.complete, actions);
            self.clear_repair(from);
        } else {
            self.start_repair(from, now);
        }
        if let Some(age_ms) = stamp.watcher_age_ms {
            self.record_store_query(stamp.watcher, age::instant(age_ms, now), now);
        }
        // The stamp's age holds for this process only if its records are the same.
        if let Some(age_ms) = stamp.age_ms.filter(|_| same_records) {
            self.advance_freshness(age::instant(age_ms, now));
        }
    }

    /// Handles the result of a push.
    pub(super) fn push_finished(
        &mut self,
        to: MemberId,
        arrived: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(outbox) = self.outboxes.get_mut(&to) else {
            return;
        };
        outbox.finish_push(arrived, now);
        if outbox.failing_duration(now) < DELETE_AFTER {
            return;
        }
        outbox.reset_failing_duration();
        if self.is_lost_balancer(to, now) {
            actions.extend(self.delete_balancer(to));
        }
    }

    /// Returns `true` if an unreachable member is a balancer that has probably failed: neither this
    /// process nor the member's region seems to be isolated.
    fn is_lost_balancer(&self, id: MemberId, now: Instant) -> bool {
        let Some(member) = self.members.get(id).filter(|member| member.is_balancer) else {
            return false;
        };
        let connected = self
            .record_age(now)
            .is_some_and(|age| age <= MAX_CONNECTED_AGE);
        let region = &member.region;
        let in_same_region = |id: &MemberId| {
            self.members
                .get(*id)
                .is_some_and(|other| other.region == *region)
        };
        let mut others = self
            .outboxes
            .iter()
            .filter(|(other, _)| in_same_region(other));
        let region_reached =
            others.any(|(_, outbox)| outbox.delivered_within(MAX_CONNECTED_AGE, now));
        connected && (region_reached || *region == self.own.region)
    }

    fn delete_balancer(&self, balancer: MemberId) -> Option<Action> {
        let entries = self.catalog.entries();
        let mut balancers = entries.filter(|entry| entry.id.kind == Kind::Balancer);
        let stored = balancers.find(|entry| MemberId::new(&entry.id) == balancer)?;
        Some(Action::DeleteBalancer {
            id: stored.id.clone(),
            revision: stored.revision,
        })
    }

    /// Marks the records as up to date with the store at `fresh`, and queues a stamp for the
    /// children if the gain in freshness is at least [`MIN_STAMP_INTERVAL`].
    pub(super) fn advance_freshness(&mut self, fresh: Instant) {
        if self.fresh_as_of.is_some_and(|time| time >= fresh) {
            return;
        }
        self.fresh_as_of = Some(fresh);
        if self
            .last_stamp
            .is_some_and(|last_stamp| fresh.since(last_stamp) < MIN_STAMP_INTERVAL)
        {
            return;
        }
        self.last_stamp = Some(fresh);
        for (child, preferred) in &self.tree.children {
            if *preferred {
                self.outboxes.entry(*child).or_default().enqueue_stamp();
            }
        }
    }

    /// Queues changed records for the neighbours in the tree: records from a parent for the
    /// children only, all others for the children and the parents.
    pub(super) fn forward(&mut self, changed: &[Entry], from: Option<MemberId>) {
        if changed.len() > MAX_FORWARDED_RECORDS {
            return;
        }
        let from_parent = from.is_some_and(|from| self.tree.parents.contains(&from));
        let parents = if from_parent {
            &[][..]
        } else {
            &self.tree.parents[..]
        };
        let neighbours = self.tree.children.keys().chain(parents);
        for to in neighbours.filter(|to| Some(**to) != from) {
            let outbox = self.outboxes.entry(*to).or_default();
            changed.iter().for_each(|entry| outbox.enqueue(&entry.id));
        }
    }

    /// Sends the pushes that are due.
    pub(super) fn send_pending(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let stamp = self.stamp(now);
        for (to, outbox) in &mut self.outboxes {
            let Some(member) = self.members.get(*to) else {
                continue;
            };
            let Some(ids) = outbox.start_push(now) else {
                continue;
            };
            let entries = ids.into_iter().map(|id| latest_entry(&self.catalog, id));
            let push = Push {
                from: self.own.id,
                entries: entries.collect(),
                stamp,
            };
            let address = member.rpc;
            actions.push(Action::Push {
                to: *to,
                address,
                push,
            });
        }
    }
}

/// Returns the entry held for a queued record. A record without one was deleted, and its deletion
/// was discarded when the catalog became complete, so a new deletion is returned.
fn latest_entry(catalog: &Catalog, id: Id) -> Entry {
    match catalog.entry(&id) {
        Some(entry) => entry.clone(),
        None => Entry::deletion(id, catalog.complete_revision()),
    }
}
