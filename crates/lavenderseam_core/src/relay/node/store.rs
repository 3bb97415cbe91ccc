//! Lists and watches of the store.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Action, Node};
use crate::catalog::{Entry, Revision};
use crate::record::Id;
use crate::relay::pause::Confirmation;
use crate::relay::{MemberId, WatcherRanking};
use crate::time::Instant;

/// Maximum duration of one watch; it bounds the age of the records while the store is idle.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum age of the last store query of a better-ranked watcher; a process that watches stops
/// only while there is a more recent one.
const LEADER_TIMEOUT: Duration = Duration::from_secs(6);
/// Time that a process gives its peers to answer, after it starts or resumes, before it calls the
/// store.
const PEER_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// State of one process's calls to the store.
#[derive(Clone, Debug)]
pub(super) struct StoreWatch {
    /// Whether the process is to watch the store.
    pub(super) is_active: bool,
    call_in_flight: bool,
    /// Revision that the next watch starts from; `None` starts from the catalog's complete
    /// revision.
    resume_after: Option<Revision>,
    /// `true` if the next call must list the records, since the store can't continue a watch.
    pub(super) must_list: bool,
    next_call_at: Instant,
    /// The best-ranked process known to have queried the store recently.
    pub(super) leader: Option<Leader>,
}

/// A process known to watch the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leader {
    /// Identity of the process.
    pub(super) id: MemberId,
    /// Time at which the process last queried the store.
    pub(super) queried_at: Instant,
}

impl StoreWatch {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            is_active: false,
            call_in_flight: false,
            resume_after: None,
            must_list: false,
            next_call_at: now,
            leader: None,
        }
    }

    /// Ends the call in flight, whose revision the store can't continue from; the next call lists
    /// all records.
    pub(super) fn handle_outdated_watch(&mut self) {
        self.call_in_flight = false;
        self.resume_after = None;
        self.must_list = true;
    }
}

impl Node {
    /// Handles a list of all records of the store; records missing from it are deleted.
    pub(super) fn handle_list(
        &mut self,
        queried_at: Instant,
        entries: Vec<Entry>,
        revision: Revision,
        actions: &mut Vec<Action>,
    ) {
        self.store_watch.must_list = false;
        let present: BTreeSet<Id> = entries.iter().map(|entry| entry.id.clone()).collect();
        self.apply_entries(entries, None, false, actions);
        self.catalog.set_memory_start(Some(revision));
        let deleted = self
            .catalog
            .records_missing_from(revision, &present, |_| true);
        let deletions = deleted.into_iter().map(|id| Entry::deletion(id, revision));
        self.apply_entries(deletions.collect(), None, true, actions);
        self.mark_complete(revision, actions);
        self.finish_store_call(queried_at, revision, actions);
    }

    /// Handles the result of a watch of the store.
    pub(super) fn handle_watch(
        &mut self,
        queried_at: Instant,
        entries: Vec<Entry>,
        revision: Revision,
        actions: &mut Vec<Action>,
    ) {
        self.apply_entries(entries, None, true, actions);
        // After a restore, only a list shows which of the records held the store has lost.
        if revision.epoch() == self.catalog.complete_revision().epoch() {
            self.mark_complete(revision, actions);
        }
        self.finish_store_call(queried_at, revision, actions);
    }

    /// Records an answer of the store, from whose revision the next watch continues.
    fn finish_store_call(
        &mut self,
        queried_at: Instant,
        revision: Revision,
        actions: &mut Vec<Action>,
    ) {
        self.store_watch.call_in_flight = false;
        self.store_watch.resume_after = Some(revision);
        self.record_store_query(self.own.id, queried_at, queried_at);
        self.advance_freshness(queried_at);
        self.confirm_records(Confirmation::Store, queried_at, actions);
    }

    /// Handles a failed call to the store; `pause` is the delay that the store requested.
    pub(super) fn handle_store_failure(&mut self, pause: Duration, now: Instant) {
        let rank = self.watchers.rank(self.own.id);
        let min_delay = WatcherRanking::store_retry_delay(rank, self.members.len());
        // Jitter of up to half the delay keeps processes that failed together from retrying
        // together.
        let random = self.next_random() % 512;
        let jitter = min_delay.mul_f64(random as f64 / 1024.0);
        self.store_watch.call_in_flight = false;
        self.store_watch.next_call_at = now + pause.max(min_delay) + jitter;
    }

    /// Records that a process queried the store at `queried_at`.
    pub(super) fn record_store_query(&mut self, id: MemberId, queried_at: Instant, now: Instant) {
        let rank = |id| self.watchers.rank(id);
        let replaces = self.store_watch.leader.is_none_or(|leader| {
            let expired = now.since(leader.queried_at) > LEADER_TIMEOUT;
            expired
                || rank(id) < rank(leader.id)
                || (id == leader.id && queried_at > leader.queried_at)
        });
        if replaces && now.since(queried_at) <= LEADER_TIMEOUT {
            self.store_watch.leader = Some(Leader { id, queried_at });
        }
    }

    /// Lists or watches the store if this process is to do so and no call is in flight.
    pub(super) fn call_store_if_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_active = self.should_watch(now);
        // A process that watches the store also pushes to the top levels of all regions.
        self.members_changed |= is_active != self.store_watch.is_active;
        self.store_watch.is_active = is_active;
        let needs_confirmation = self.is_unconfirmed_by_peers(now);
        if self.store_watch.call_in_flight || now < self.store_watch.next_call_at {
            return;
        }
        if !self.store_watch.is_active && !needs_confirmation {
            // A later watch starts from the revision that the peers have provided by then.
            self.store_watch.resume_after = None;
            self.catalog.set_memory_start(None);
            return;
        }
        self.store_watch.call_in_flight = true;
        let after = self
            .store_watch
            .resume_after
            .unwrap_or(self.catalog.complete_revision());
        if after == Revision(0) || self.store_watch.must_list {
            actions.push(Action::ListStore);
            return;
        }
        let wait = if self.pause_detector.is_unconfirmed() {
            Duration::ZERO
        } else {
            WATCH_TIMEOUT
        };
        actions.push(Action::WatchStore { after, wait });
    }

    /// Returns `true` if this process is to watch the store.
    fn should_watch(&self, now: Instant) -> bool {
        if self.is_joining(now) {
            return false;
        }
        let rank = self.watchers.rank(self.own.id);
        let last_fresh = self.fresh_as_of.unwrap_or(self.started_at);
        let takeover_delay = WatcherRanking::takeover_delay(rank);
        if takeover_delay.is_zero() || now.since(last_fresh) > takeover_delay {
            return true;
        }
        self.store_watch.is_active && !self.has_better_watcher(rank, now)
    }

    /// Returns `true` if a better-ranked process watches the store.
    fn has_better_watcher(&self, rank: usize, now: Instant) -> bool {
        let is_recent = |leader: &Leader| now.since(leader.queried_at) <= LEADER_TIMEOUT;
        let leader = self.store_watch.leader.filter(is_recent);
        leader.is_some_and(|leader| self.watchers.rank(leader.id) < rank)
    }

    /// Returns `true` if the process has just started and has peers to pull from first.
    fn is_joining(&self, now: Instant) -> bool {
        self.catalog.is_empty()
            && !self.seed_addresses.is_empty()
            && now.since(self.started_at) < PEER_GRACE_PERIOD
    }

    /// Returns `true` if no peer has confirmed the records within [`PEER_GRACE_PERIOD`] after a
    /// pause.
    fn is_unconfirmed_by_peers(&self, now: Instant) -> bool {
        self.pause_detector.is_unconfirmed()
            && now.since(self.pause_detector.resumed_at()) > PEER_GRACE_PERIOD
    }
}
