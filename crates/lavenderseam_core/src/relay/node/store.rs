//! Calls to the store.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Action, Node};
use crate::catalog::{Entry, Revision};
use crate::record::Id;
use crate::relay::gap::Confirmation;
use crate::relay::{MemberId, Watchers};
use crate::time::Instant;

/// Longest wait of one watch; bounds the age of what an idle store tells.
const WAIT: Duration = Duration::from_secs(1);
/// Silence of the better ranked watchers after which a process goes on watching.
const HANDOVER: Duration = Duration::from_secs(6);
/// Time that a process which starts leaves its peers to answer before it asks the store.
const PEERS_FIRST: Duration = Duration::from_secs(1);

/// A process' part in watching the store.
#[derive(Clone, Debug)]
pub(super) struct Watching {
    /// Whether the process is to watch.
    pub(super) wanted: bool,
    calling: bool,
    /// Revision to go on from; none if the records must be listed.
    after: Option<Revision>,
    next_call: Instant,
    /// The best ranked process that was heard to watch of late.
    pub(super) leader: Option<Leader>,
}

/// A process that watches the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leader {
    pub(super) id: MemberId,
    /// When it last asked the store.
    pub(super) asked: Instant,
}

impl Watching {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            wanted: false,
            calling: false,
            after: None,
            next_call: now,
            leader: None,
        }
    }

    pub(super) fn outdated(&mut self) {
        self.calling = false;
        self.after = None;
    }
}

impl Node {
    pub(super) fn listed(
        &mut self,
        asked: Instant,
        entries: Vec<Entry>,
        revision: Revision,
        actions: &mut Vec<Action>,
    ) {
        let present: BTreeSet<Id> = entries.iter().map(|entry| entry.id.clone()).collect();
        self.take(entries, None, actions);
        let deleted = self.catalog.missing(revision, &present, |_| true);
        let deletions = deleted.into_iter().map(|id| Entry::new(id, revision));
        self.take(deletions.collect(), None, actions);
        self.stored(asked, revision, actions);
    }

    pub(super) fn watched(
        &mut self,
        asked: Instant,
        entries: Vec<Entry>,
        revision: Revision,
        actions: &mut Vec<Action>,
    ) {
        self.take(entries, None, actions);
        self.stored(asked, revision, actions);
    }

    /// The catalog is complete through what the store answered.
    fn stored(&mut self, asked: Instant, revision: Revision, actions: &mut Vec<Action>) {
        self.catalog.confirm(revision);
        self.watching.calling = false;
        self.watching.after = Some(revision);
        self.heard_watcher(self.own.id, asked, asked);
        self.freshen(asked);
        self.confirm(Confirmation::Store, asked, actions);
    }

    pub(super) fn store_failed(&mut self, pause: Duration, now: Instant) {
        let rank = self.watchers.rank(self.own.id);
        let least = Watchers::pause(rank, self.members.len());
        // Jitter of up to a half keeps processes that failed together from calling together.
        let share = self.draw() % 512;
        let jitter = least.mul_f64(share as f64 / 1024.0);
        self.watching.calling = false;
        self.watching.next_call = now + pause.max(least) + jitter;
    }

    /// Notes that a process asked the store at some time.
    pub(super) fn heard_watcher(&mut self, id: MemberId, asked: Instant, now: Instant) {
        let rank = |id| self.watchers.rank(id);
        let replaces = self.watching.leader.is_none_or(|leader| {
            let expired = now.since(leader.asked) > HANDOVER;
            expired || rank(id) < rank(leader.id) || (id == leader.id && asked > leader.asked)
        });
        if replaces && now.since(asked) <= HANDOVER {
            self.watching.leader = Some(Leader { id, asked });
        }
    }

    /// Calls the store if it is this process' turn.
    pub(super) fn watch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let wanted = self.is_turn(now);
        // Who watches also feeds the tops of the tree.
        self.members_changed |= wanted != self.watching.wanted;
        self.watching.wanted = wanted;
        let stranded = self.is_stranded(now);
        if self.watching.calling || now < self.watching.next_call {
            return;
        }
        if !self.watching.wanted && !stranded {
            // A later turn starts from what the peers have told meanwhile.
            self.watching.after = None;
            return;
        }
        self.watching.calling = true;
        let after = self.watching.after.unwrap_or(self.catalog.complete());
        if after == Revision(0) {
            actions.push(Action::List);
            return;
        }
        let wait = if self.gap.is_closed() {
            Duration::ZERO
        } else {
            WAIT
        };
        actions.push(Action::Watch { after, wait });
    }

    fn is_turn(&self, now: Instant) -> bool {
        if self.is_joining(now) {
            return false;
        }
        let rank = self.watchers.rank(self.own.id);
        let last = self.fresh.unwrap_or(self.started);
        let patience = Watchers::patience(rank);
        if patience.is_zero() || now.since(last) > patience {
            return true;
        }
        self.watching.wanted && !self.is_led(rank, now)
    }

    /// Whether a better ranked process watches.
    fn is_led(&self, rank: usize, now: Instant) -> bool {
        let fresh = |leader: &Leader| now.since(leader.asked) <= HANDOVER;
        let leader = self.watching.leader.filter(fresh);
        leader.is_some_and(|leader| self.watchers.rank(leader.id) < rank)
    }

    /// Whether the process has just started and knows peers to ask first.
    fn is_joining(&self, now: Instant) -> bool {
        self.catalog.is_empty() && !self.seeds.is_empty() && now.since(self.started) < PEERS_FIRST
    }

    /// Whether no peer has confirmed the records since a pause, for a while.
    fn is_stranded(&self, now: Instant) -> bool {
        self.gap.is_closed() && now.since(self.gap.since()) > PEERS_FIRST
    }
}
