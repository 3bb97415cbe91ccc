//! Anti-entropy repair: compares digests with other processes and pulls differing records.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::{Action, Node};
use crate::catalog::{Catalog, Digest, Entry, Root};
use crate::record::{Id, Kind};
use crate::relay::pause::Confirmation;
use crate::relay::{Answer, Bucket, MemberId, Pull};
use crate::time::Instant;

/// Delay before a digest mismatch starts a pull, so that pushes in flight can resolve it.
const REPAIR_DELAY: Duration = Duration::from_millis(500);
/// Time without a message after which a process pulls from another one.
const MAX_SILENCE: Duration = Duration::from_secs(5);
/// Time without a message after which a process pulls from another one while its own record is
/// unknown, since no process pushes to it then.
const MAX_SILENCE_UNLISTED: Duration = Duration::from_secs(1);
/// Maximum number of concurrent pulls while the records are unconfirmed.
const MAX_PULLS_UNCONFIRMED: usize = 3;
/// Maximum number of concurrent pulls while the records are confirmed.
const MAX_PULLS: usize = 2;
/// Maximum number of entries in an answer that isn't limited to a bucket.
const MAX_ANSWER_ENTRIES: usize = 2048;
/// Maximum age, in milliseconds, of a peer's records for them to confirm this process's records
/// immediately.
const MAX_CONFIRMING_AGE_MS: u64 = 10_000;
/// Time since the pause after which a peer's records confirm whatever their age.
const ANY_AGE_CONFIRM_DELAY: Duration = Duration::from_secs(2);

/// Comparison with a process whose digest differs from this process's.
#[derive(Clone, Debug)]
pub(super) struct Repair {
    peer: MemberId,
    started_at: Instant,
    pulled_from: Option<SocketAddr>,
}

/// Returns the entries that a pull requests, or an empty list if a pull without a bucket matches
/// more than [`MAX_ANSWER_ENTRIES`].
pub(super) fn requested_entries(catalog: &Catalog, pull: &Pull) -> Vec<Entry> {
    let wanted = |entry: &&Entry| match pull.bucket {
        Some(bucket) => Digest::bucket_index(&entry.id) == bucket,
        None => entry.revision > pull.complete,
    };
    let limit = if pull.bucket.is_some() {
        usize::MAX
    } else {
        MAX_ANSWER_ENTRIES
    };
    let selected: Vec<Entry> = catalog
        .entries()
        .filter(wanted)
        .take(limit.saturating_add(1))
        .cloned()
        .collect();
    // The requester then pulls bucket by bucket.
    if selected.len() > limit {
        Vec::new()
    } else {
        selected
    }
}

impl Node {
    /// Returns the digest of the records held, or `None` if its root matches `root`.
    pub(super) fn digest_if_different(&self, root: Root) -> Option<Digest> {
        let digest = self.catalog.digest();
        (!digest.root().matches(&root)).then(|| digest.clone())
    }

    /// Starts a comparison with a process whose digest differs, unless one is under way.
    pub(super) fn start_repair(&mut self, peer: MemberId, now: Instant) {
        self.repair.get_or_insert(Repair {
            peer,
            started_at: now,
            pulled_from: None,
        });
    }

    /// Ends the comparison with a process whose digest is now the same.
    pub(super) fn clear_repair(&mut self, peer: MemberId) {
        if self
            .repair
            .as_ref()
            .is_some_and(|repair| repair.peer == peer)
        {
            self.repair = None;
        }
    }

    /// Pulls from other processes if that is due.
    pub(super) fn pull_if_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.pull_for_repair(now, actions);
        let is_listed = self.members.get(self.own.id).is_some();
        let limit = if is_listed {
            MAX_SILENCE
        } else {
            MAX_SILENCE_UNLISTED
        };
        let messages_overdue = now.since(self.last_message_at) > limit;
        let pull_limit = if self.pause_detector.is_unconfirmed() {
            MAX_PULLS_UNCONFIRMED
        } else {
            MAX_PULLS
        };
        let busy = self.pulls_in_flight.len() >= pull_limit;
        if busy || !(messages_overdue || self.pause_detector.is_unconfirmed()) {
            return;
        }
        if let Some(address) = self.next_peer() {
            self.pull(address, None, now, actions);
        }
    }

    fn pull_for_repair(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(repair) = &mut self.repair else {
            return;
        };
        let not_due = repair.pulled_from.is_some() || now.since(repair.started_at) < REPAIR_DELAY;
        if not_due || self.pulls_in_flight.len() >= MAX_PULLS_UNCONFIRMED {
            return;
        }
        match self.members.get(repair.peer).map(|member| member.rpc) {
            Some(address) => {
                repair.pulled_from = Some(address);
                self.pull(address, None, now, actions);
            }
            None => self.repair = None,
        }
    }

    /// Returns the address of the process to pull from: the parents in turn, then any other member
    /// if the parents don't answer, and a seed address while no members are known. Preferring the
    /// parents leaves the watchers to the top-level members; otherwise the watchers would have to
    /// answer the whole fleet.
    fn next_peer(&mut self) -> Option<SocketAddr> {
        let random = self.next_random() >> 8;
        let attempt = self.unanswered_pulls + self.pulls_in_flight.len();
        let member = match self.tree.parents.get(attempt) {
            Some(parent) => self.members.get(*parent),
            None => {
                let index = random as usize % self.members.len().max(1);
                self.members.iter().nth(index)
            }
        };
        let other = member.filter(|member| member.id != self.own.id);
        let seed = self
            .seed_addresses
            .get(random as usize % self.seed_addresses.len().max(1));
        let address = other.map(|member| member.rpc).or(seed.copied())?;
        (!self.pulls_in_flight.contains_key(&address)).then_some(address)
    }

    /// Sends a pull to the process at an address.
    fn pull(
        &mut self,
        address: SocketAddr,
        bucket: Option<usize>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.pulls_in_flight.insert(address, now);
        let pull = Pull {
            from: self.own.id,
            root: self.catalog.digest().root(),
            complete: self.catalog.complete_revision(),
            bucket,
        };
        actions.push(Action::Pull { address, pull });
    }

    /// Handles the result of a pull.
    pub(super) fn handle_pull_result(
        &mut self,
        address: SocketAddr,
        queried_at: Instant,
        answer: Option<Answer>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.pulls_in_flight.remove(&address);
        let Some(answer) = answer else {
            self.unanswered_pulls += 1;
            if self
                .repair
                .as_ref()
                .is_some_and(|repair| repair.pulled_from == Some(address))
            {
                self.repair = None;
            }
            return;
        };
        self.last_message_at = now;
        self.unanswered_pulls = 0;
        let peer = answer.from;
        let verified = answer.stamp.restore.is_some();
        if let Some(bucket) = &answer.bucket {
            self.apply_bucket(bucket, &answer, actions);
        } else {
            self.apply_entries(answer.entries.clone(), Some(peer), verified, actions);
        }
        self.handle_stamp(peer, answer.stamp, now, actions);
        if let Some(bucket) = self.next_bucket(&answer) {
            self.pull(address, Some(bucket), now, actions);
            return;
        }
        if self
            .repair
            .as_ref()
            .is_some_and(|repair| repair.pulled_from == Some(address))
        {
            self.repair = None;
        }
        self.finish_comparison(&answer, queried_at, now, actions);
    }

    /// Returns the first bucket after the answered one in which the digests differ.
    fn next_bucket(&self, answer: &Answer) -> Option<usize> {
        let first_candidate = answer.bucket.as_ref().map_or(0, |bucket| bucket.index + 1);
        let digest = answer.digest.as_ref()?;
        let mut differing = self.catalog.digest().differing_buckets(digest);
        differing.find(|bucket| *bucket >= first_candidate)
    }

    /// Applies an entire bucket of another process, including the deletions that follow from it,
    /// and queues the records that the other process lacks.
    fn apply_bucket(&mut self, bucket: &Bucket, answer: &Answer, actions: &mut Vec<Action>) {
        let peer = answer.from;
        let verified = answer.stamp.restore.is_some();
        let is_known_kind = |kind: Kind| bucket.kinds.iter().any(|name| name == kind.as_str());
        let within = |id: &Id| Digest::bucket_index(id) == bucket.index && is_known_kind(id.kind);
        self.apply_entries(answer.entries.clone(), Some(peer), verified, actions);
        let present: BTreeSet<Id> = answer
            .entries
            .iter()
            .map(|entry| entry.id.clone())
            .collect();
        let complete = answer.stamp.complete;
        let deleted = self
            .catalog
            .records_missing_from(complete, &present, within);
        let deletions = deleted.into_iter().map(|id| Entry::deletion(id, complete));
        self.apply_entries(deletions.collect(), Some(peer), true, actions);
        self.push_newer_entries(bucket.index, answer);
    }

    /// Queues the entries of a bucket that another process lacks or holds at an older revision.
    fn push_newer_entries(&mut self, bucket: usize, answer: &Answer) {
        if self.members.get(answer.from).is_none() {
            return;
        }
        let remote = |id: &Id| answer.entries.iter().find(|entry| entry.id == *id);
        let own = self
            .catalog
            .entries()
            .filter(|entry| Digest::bucket_index(&entry.id) == bucket);
        let newer = own
            .filter(|entry| remote(&entry.id).is_none_or(|found| found.revision < entry.revision));
        let outbox = self.outboxes.entry(answer.from).or_default();
        newer.for_each(|entry| outbox.enqueue(&entry.id));
    }

    /// Ends a comparison after all records of another process have been applied.
    ///
    /// Confirms the records of this process if those of the other process are themselves confirmed,
    /// and are either at most [`MAX_CONFIRMING_AGE_MS`] old or accepted at any age because this
    /// process resumed at least [`ANY_AGE_CONFIRM_DELAY`] ago.
    fn finish_comparison(
        &mut self,
        answer: &Answer,
        queried_at: Instant,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.clear_repair(answer.from);
        let fresh = answer
            .stamp
            .age_ms
            .is_some_and(|age| age <= MAX_CONFIRMING_AGE_MS);
        let waited = now.since(self.pause_detector.resumed_at()) >= ANY_AGE_CONFIRM_DELAY;
        if answer.open && (fresh || waited) {
            self.confirm_records(Confirmation::Peer(answer.from), queried_at, actions);
        }
    }
}
