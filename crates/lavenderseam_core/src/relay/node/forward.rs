//! Records sent unasked.

use std::time::Duration;

use super::{Action, Node};
use crate::catalog::{Catalog, Entry};
use crate::record::{Id, Kind};
use crate::relay::age;
use crate::relay::{MemberId, Push, Stamp};
use crate::time::Instant;

/// Most records taken at once that are pushed on one by one; more are left to repair.
const FORWARD_LIMIT: usize = 256;
/// Gain of freshness that is worth a stamp of its own.
const STAMP_STEP: Duration = Duration::from_secs(3);

/// Time for which a balancer is unreachable before its record is deleted.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// Age of a process' own records at which it surely isn't the one that is cut off.
const CONNECTED_AGE: Duration = Duration::from_secs(10);

impl Node {
    pub(super) fn pushed(&mut self, push: Push, now: Instant, actions: &mut Vec<Action>) {
        self.heard = now;
        self.unanswered = 0;
        self.take(push.entries, Some(push.from), actions);
        self.stamped_by(push.from, push.stamp, now);
    }

    /// Takes the stamp of another process.
    pub(super) fn stamped_by(&mut self, from: MemberId, stamp: Stamp, now: Instant) {
        if stamp.root == self.catalog.digest().root() {
            self.catalog.confirm(stamp.complete);
            self.clear_repair(from);
        } else {
            self.start_repair(from, now);
        }
        if let Some(age_ms) = stamp.watcher_age_ms {
            self.heard_watcher(stamp.watcher, age::at(age_ms, now), now);
        }
        // Records that differ from those of a fresh process are not as fresh.
        let same = stamp.root == self.catalog.digest().root();
        if let Some(age_ms) = stamp.age_ms.filter(|_| same) {
            self.freshen(age::at(age_ms, now));
        }
    }

    pub(super) fn delivered(
        &mut self,
        to: MemberId,
        arrived: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(outbox) = self.outboxes.get_mut(&to) else {
            return;
        };
        outbox.delivered(arrived, now);
        if outbox.failing_for(now) < FORGET_AFTER {
            return;
        }
        outbox.excuse();
        if self.is_gone(to, now) {
            actions.extend(self.forget(to));
        }
    }

    /// Whether a member that can't be reached is a balancer, and neither this process nor the
    /// member's region is cut off.
    fn is_gone(&self, id: MemberId, now: Instant) -> bool {
        let Some(member) = self.members.get(id).filter(|member| member.balancer) else {
            return false;
        };
        let connected = self.age(now).is_some_and(|age| age <= CONNECTED_AGE);
        let region = &member.region;
        let near = |id: &MemberId| {
            self.members
                .get(*id)
                .is_some_and(|other| other.region == *region)
        };
        let mut others = self.outboxes.iter().filter(|(other, _)| near(other));
        let reached = others.any(|(_, outbox)| outbox.arrived_within(CONNECTED_AGE, now));
        connected && (reached || *region == self.own.region)
    }

    fn forget(&self, balancer: MemberId) -> Option<Action> {
        let entries = self.catalog.entries();
        let mut balancers = entries.filter(|entry| entry.id.kind == Kind::Balancer);
        let held = balancers.find(|entry| MemberId::new(&entry.id) == balancer)?;
        Some(Action::Forget {
            id: held.id.clone(),
            revision: held.revision,
        })
    }

    /// Notes that the records are as fresh, and stamps the children if that is news.
    pub(super) fn freshen(&mut self, fresh: Instant) {
        if self.fresh.is_some_and(|held| held >= fresh) {
            return;
        }
        self.fresh = Some(fresh);
        if self
            .stamped
            .is_some_and(|stamped| fresh.since(stamped) < STAMP_STEP)
        {
            return;
        }
        self.stamped = Some(fresh);
        for (child, preferred) in &self.tree.children {
            if *preferred {
                self.outboxes.entry(*child).or_default().add_stamp();
            }
        }
    }

    /// Passes records on: what came from a parent to the children, anything else to the parents
    /// too.
    pub(super) fn forward(&mut self, changed: &[Entry], from: Option<MemberId>) {
        if changed.len() > FORWARD_LIMIT {
            return;
        }
        let down = from.is_some_and(|from| self.tree.parents.contains(&from));
        let parents = if down {
            &[][..]
        } else {
            &self.tree.parents[..]
        };
        let neighbours = self.tree.children.keys().chain(parents);
        for to in neighbours.filter(|to| Some(**to) != from) {
            let outbox = self.outboxes.entry(*to).or_default();
            changed.iter().for_each(|entry| outbox.add(&entry.id));
        }
    }

    /// Sends what waits.
    pub(super) fn flush(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let stamp = self.stamp(now);
        for (to, outbox) in &mut self.outboxes {
            let Some(member) = self.members.get(*to) else {
                continue;
            };
            let Some(ids) = outbox.next(now) else {
                continue;
            };
            let entries = ids.into_iter().map(|id| latest(&self.catalog, id));
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

/// The entry held for a record. One that was held and is no longer has been deleted, and the
/// deletion was forgotten when the catalog became complete.
fn latest(catalog: &Catalog, id: Id) -> Entry {
    match catalog.entry(&id) {
        Some(entry) => entry.clone(),
        None => Entry::new(id, catalog.complete()),
    }
}
