//! Finding and fetching what is lacking.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::{Action, Node};
use crate::catalog::{Catalog, Digest, Entry};
use crate::record::{Id, Kind};
use crate::relay::gap::Confirmation;
use crate::relay::{Answer, Bucket, MemberId, Pull};
use crate::time::Instant;

/// Time for which differing digests are left to the pushes on their way.
const REPAIR_DELAY: Duration = Duration::from_millis(500);
/// Silence after which a member asks another process.
const SILENCE: Duration = Duration::from_secs(5);
/// The same for a process whose own record isn't known, so that no one pushes to it.
const SILENCE_UNLISTED: Duration = Duration::from_secs(1);
/// Pulls on their way at a time while the process may not act on its records.
const PULL_LIMIT: usize = 3;
/// The same otherwise.
const PULL_LIMIT_OPEN: usize = 2;
/// Most entries of an answer that isn't limited to a bucket.
const ANSWER_LIMIT: usize = 2048;
/// Age of a peer's records at which they confirm one's own without further ado.
const CONFIRM_AGE_MS: u64 = 10_000;
/// Wait after which a peer of any age confirms.
const CONFIRM_WAIT: Duration = Duration::from_secs(2);

/// A comparison with another process whose digest differs.
#[derive(Clone, Debug)]
pub(super) struct Repair {
    peer: MemberId,
    since: Instant,
    asked: Option<SocketAddr>,
}

/// The entries that a pull asks for.
pub(super) fn entries(catalog: &Catalog, pull: &Pull) -> Vec<Entry> {
    let wanted = |entry: &&Entry| match pull.bucket {
        Some(bucket) => Digest::bucket(&entry.id) == bucket,
        None => entry.revision > pull.complete,
    };
    let limit = if pull.bucket.is_some() {
        usize::MAX
    } else {
        ANSWER_LIMIT
    };
    let some: Vec<Entry> = catalog
        .entries()
        .filter(wanted)
        .take(limit.saturating_add(1))
        .cloned()
        .collect();
    // Too many to send at once: the other process goes on bucket by bucket.
    if some.len() > limit { Vec::new() } else { some }
}

impl Node {
    /// The digest of the records held if its root isn't this one.
    pub(super) fn differing(&self, root: u64) -> Option<Digest> {
        let digest = self.catalog.digest();
        (digest.root() != root).then(|| digest.clone())
    }

    /// Notes that another process' digest differs.
    pub(super) fn start_repair(&mut self, peer: MemberId, now: Instant) {
        self.repair.get_or_insert(Repair {
            peer,
            since: now,
            asked: None,
        });
    }

    /// Notes that another process' digest is the same.
    pub(super) fn clear_repair(&mut self, peer: MemberId) {
        if self
            .repair
            .as_ref()
            .is_some_and(|repair| repair.peer == peer)
        {
            self.repair = None;
        }
    }

    /// Asks others if that is due.
    pub(super) fn pull_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.pull_differing(now, actions);
        let listed = self.members.get(self.own.id).is_some();
        let limit = if listed { SILENCE } else { SILENCE_UNLISTED };
        let silent = now.since(self.heard) > limit;
        let limit = if self.gap.is_closed() {
            PULL_LIMIT
        } else {
            PULL_LIMIT_OPEN
        };
        let busy = self.pulls.len() >= limit;
        if busy || !(silent || self.gap.is_closed()) {
            return;
        }
        if let Some(address) = self.candidate() {
            self.pull(address, None, now, actions);
        }
    }

    fn pull_differing(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(repair) = &mut self.repair else {
            return;
        };
        let waiting = repair.asked.is_some() || now.since(repair.since) < REPAIR_DELAY;
        if waiting || self.pulls.len() >= PULL_LIMIT {
            return;
        }
        match self.members.get(repair.peer).map(|member| member.rpc) {
            Some(address) => {
                repair.asked = Some(address);
                self.pull(address, None, now, actions);
            }
            None => self.repair = None,
        }
    }

    /// A process to ask: the parents in turn, and any other member once they don't answer; a seed
    /// while no members are known. Only the heads of the tree so ask the watchers; if all did, these
    /// would answer the whole fleet.
    fn candidate(&mut self) -> Option<SocketAddr> {
        let draw = self.draw() >> 8;
        let turn = self.unanswered + self.pulls.len();
        let member = match self.tree.parents.get(turn) {
            Some(parent) => self.members.get(*parent),
            None => {
                let at = draw as usize % self.members.len().max(1);
                self.members.iter().nth(at)
            }
        };
        let other = member.filter(|member| member.id != self.own.id);
        let seed = self.seeds.get(draw as usize % self.seeds.len().max(1));
        let address = other.map(|member| member.rpc).or(seed.copied())?;
        (!self.pulls.contains_key(&address)).then_some(address)
    }

    fn pull(
        &mut self,
        address: SocketAddr,
        bucket: Option<usize>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.pulls.insert(address, now);
        let pull = Pull {
            from: self.own.id,
            root: self.catalog.digest().root(),
            complete: self.catalog.complete(),
            bucket,
        };
        actions.push(Action::Pull { address, pull });
    }

    pub(super) fn answered(
        &mut self,
        address: SocketAddr,
        asked: Instant,
        answer: Option<Answer>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.pulls.remove(&address);
        let Some(answer) = answer else {
            self.unanswered += 1;
            if self
                .repair
                .as_ref()
                .is_some_and(|repair| repair.asked == Some(address))
            {
                self.repair = None;
            }
            return;
        };
        self.heard = now;
        self.unanswered = 0;
        let peer = answer.from;
        if let Some(bucket) = &answer.bucket {
            self.take_bucket(bucket, &answer, actions);
        } else {
            self.take(answer.entries.clone(), Some(peer), actions);
        }
        self.stamped_by(peer, answer.stamp, now);
        if let Some(bucket) = self.next_bucket(&answer) {
            self.pull(address, Some(bucket), now, actions);
            return;
        }
        if self
            .repair
            .as_ref()
            .is_some_and(|repair| repair.asked == Some(address))
        {
            self.repair = None;
        }
        self.compared(&answer, asked, now, actions);
    }

    /// The first bucket after the one answered that differs.
    fn next_bucket(&self, answer: &Answer) -> Option<usize> {
        let from = answer.bucket.as_ref().map_or(0, |bucket| bucket.index + 1);
        let digest = answer.digest.as_ref()?;
        let mut differing = self.catalog.digest().differing(digest);
        differing.find(|bucket| *bucket >= from)
    }

    /// Takes a whole bucket of another process and offers it what it lacks.
    fn take_bucket(&mut self, bucket: &Bucket, answer: &Answer, actions: &mut Vec<Action>) {
        let peer = answer.from;
        let known = |kind: Kind| bucket.kinds.iter().any(|name| name == kind.as_str());
        let within = |id: &Id| Digest::bucket(id) == bucket.index && known(id.kind);
        self.take(answer.entries.clone(), Some(peer), actions);
        let present: BTreeSet<Id> = answer
            .entries
            .iter()
            .map(|entry| entry.id.clone())
            .collect();
        let complete = answer.stamp.complete;
        let deleted = self.catalog.missing(complete, &present, within);
        let deletions = deleted.into_iter().map(|id| Entry::new(id, complete));
        self.take(deletions.collect(), Some(peer), actions);
        self.offer(bucket.index, answer);
    }

    /// Pushes to another process the entries of a bucket that it lacks.
    fn offer(&mut self, bucket: usize, answer: &Answer) {
        if self.members.get(answer.from).is_none() {
            return;
        }
        let theirs = |id: &Id| answer.entries.iter().find(|entry| entry.id == *id);
        let own = self
            .catalog
            .entries()
            .filter(|entry| Digest::bucket(&entry.id) == bucket);
        let newer = own
            .filter(|entry| theirs(&entry.id).is_none_or(|their| their.revision < entry.revision));
        let outbox = self.outboxes.entry(answer.from).or_default();
        newer.for_each(|entry| outbox.add(&entry.id));
    }

    /// All that another process holds has been taken.
    fn compared(
        &mut self,
        answer: &Answer,
        asked: Instant,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.clear_repair(answer.from);
        let fresh = answer.stamp.age_ms.is_some_and(|age| age <= CONFIRM_AGE_MS);
        let patient = now.since(self.gap.since()) >= CONFIRM_WAIT;
        if answer.open && (fresh || patient) {
            self.confirm(Confirmation::Peer(answer.from), asked, actions);
        }
    }
}
