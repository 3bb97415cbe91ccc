//! State machine of the replication of records in one process.

mod forward;
mod repair;
mod restore;
mod store;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::age::age_ms;
use super::outbox::Outbox;
use super::pause::{Confirmation, PauseDetector};
use super::{Answer, Bucket, Member, MemberId, Members, Pull, Push, Stamp, Tree, WatcherRanking};
use crate::catalog::{ApplyOutcome, Catalog, Entry, Epoch, Revision};
use crate::rank::score;
use crate::record::Id;
use crate::time::Instant;
use repair::Repair;
use restore::Grace;
use store::StoreWatch;

/// Input event of a [`Node`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed; to be sent several times per second.
    Tick,
    /// The store accepted a write of this process.
    WriteAccepted(Entry),
    /// The store answered [`Action::ListStore`].
    StoreListed {
        /// Time at which the request was sent.
        queried_at: Instant,
        /// All records in the store.
        entries: Vec<Entry>,
        /// Revision of the store that the list reflects.
        revision: Revision,
    },
    /// The store answered [`Action::WatchStore`].
    StoreWatched {
        /// Time at which the request was sent.
        queried_at: Instant,
        /// Entries written since the revision that the watch started from.
        entries: Vec<Entry>,
        /// Revision of the store at the end of the watch.
        revision: Revision,
    },
    /// The store no longer has the writes that a watch requested.
    WatchExpired,
    /// A list or watch of the store failed.
    StoreFailed {
        /// Delay that the store requested before the next call.
        pause: Duration,
    },
    /// Another process pushed records to this one.
    PushReceived(Push),
    /// A push of this process finished.
    Delivered {
        /// Receiver of the push.
        to: MemberId,
        /// Whether the push was delivered.
        arrived: bool,
    },
    /// A pull of this process finished.
    PullFinished {
        /// RPC address that the pull was sent to.
        address: SocketAddr,
        /// Time at which the pull was sent.
        queried_at: Instant,
        /// The answer, or `None` if the other process didn't answer.
        answer: Option<Answer>,
    },
}

/// Action that the driver performs for a [`Node`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Push records to another process and report the result as [`Event::Delivered`].
    Push {
        /// Receiver of the push.
        to: MemberId,
        /// RPC address of the receiver.
        address: SocketAddr,
        /// The records to push.
        push: Push,
    },
    /// Request records from another process and report the result as [`Event::PullFinished`].
    Pull {
        /// RPC address of the other process.
        address: SocketAddr,
        /// The request.
        pull: Pull,
    },
    /// List the store's records and report the result as [`Event::StoreListed`] or
    /// [`Event::StoreFailed`].
    ListStore,
    /// Wait for writes to the store and report the result as [`Event::StoreWatched`],
    /// [`Event::WatchExpired`] or [`Event::StoreFailed`].
    WatchStore {
        /// Revision after which writes are requested.
        after: Revision,
        /// Maximum time to wait for a write.
        wait: Duration,
    },
    /// Compile a new view, since these records have changed.
    CompileView(Vec<Entry>),
    /// Check that the store still holds what this process has written: the store was restored from
    /// a copy.
    StoreRestored(Epoch),
    /// Delete the record of a balancer that has been unreachable for ten minutes, if the record
    /// still has this revision, and then the balancer's verdict. A balancer that is still running
    /// announces itself again.
    DeleteBalancer {
        /// Identity of the balancer's record.
        id: Id,
        /// Revision of the record.
        revision: Revision,
    },
    /// Stop acting on the records, since the process was paused.
    CloseGate,
    /// Act on the records, which this source has confirmed.
    OpenGate(Confirmation),
}

/// State machine that replicates the records of one process.
#[derive(Clone, Debug)]
pub struct Node {
    own: Member,
    seed_addresses: Vec<SocketAddr>,
    rng_seed: u64,
    rng_draws: u64,
    catalog: Catalog,
    members: Members,
    members_changed: bool,
    watchers: WatcherRanking,
    tree: Tree,
    outboxes: BTreeMap<MemberId, Outbox>,
    /// Time at which the records were last known to be up to date with the store.
    fresh_as_of: Option<Instant>,
    last_stamp: Option<Instant>,
    started_at: Instant,
    /// Time of the last push or answer from another process.
    last_message_at: Instant,
    pause_detector: PauseDetector,
    store_watch: StoreWatch,
    /// Grace period after the last restore of the store that this process has observed.
    grace: Option<Grace>,
    pulls_in_flight: BTreeMap<SocketAddr, Instant>,
    /// Number of unanswered pulls since the last message from another process.
    unanswered_pulls: usize,
    repair: Option<Repair>,
}

impl Event {
    /// Returns the newest epoch of the records in the event; `None` if it has none.
    fn epoch(&self) -> Option<Epoch> {
        match self {
            Self::WriteAccepted(entry) => Some(entry.revision.epoch()),
            Self::StoreListed { revision, .. } | Self::StoreWatched { revision, .. } => {
                Some(revision.epoch())
            }
            Self::PushReceived(push) => Some(push.epoch()),
            Self::PullFinished { answer, .. } => answer.as_ref().map(Answer::epoch),
            _ => None,
        }
    }
}

impl Node {
    /// Creates the state machine of a process that holds no records. `seeds` are RPC addresses of
    /// processes to pull from while no members are known.
    #[must_use]
    pub fn new(own: Member, seeds: Vec<SocketAddr>, seed: u64, now: Instant) -> Self {
        Self {
            own,
            seed_addresses: seeds,
            rng_seed: seed,
            rng_draws: 0,
            catalog: Catalog::default(),
            members: Members::default(),
            members_changed: false,
            watchers: WatcherRanking::default(),
            tree: Tree::default(),
            outboxes: BTreeMap::new(),
            fresh_as_of: None,
            last_stamp: None,
            started_at: now,
            last_message_at: Instant(0),
            pause_detector: PauseDetector::new(now),
            store_watch: StoreWatch::new(now),
            grace: None,
            pulls_in_flight: BTreeMap::new(),
            unanswered_pulls: 0,
            repair: None,
        }
    }

    /// Handles an event and returns the actions to perform.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = self.check_pause(now);
        self.observe_restores(&event, now, &mut actions);
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::WriteAccepted(entry) => {
                self.apply_entries(vec![entry], None, true, &mut actions);
            }
            Event::StoreListed {
                queried_at,
                entries,
                revision,
            } => {
                self.handle_list(queried_at, entries, revision, &mut actions);
            }
            Event::StoreWatched {
                queried_at,
                entries,
                revision,
            } => {
                self.handle_watch(queried_at, entries, revision, &mut actions);
            }
            Event::WatchExpired => self.store_watch.handle_outdated_watch(),
            Event::StoreFailed { pause } => self.handle_store_failure(pause, now),
            Event::PushReceived(push) => self.handle_push(push, now, &mut actions),
            Event::Delivered { to, arrived } => self.push_finished(to, arrived, now, &mut actions),
            Event::PullFinished {
                address,
                queried_at,
                answer,
            } => {
                self.handle_pull_result(address, queried_at, answer, now, &mut actions);
            }
        }
        self.call_store_if_due(now, &mut actions);
        self.send_pending(now, &mut actions);
        actions
    }

    /// Answers a pull of another process. The returned actions must be performed like those of
    /// [`Self::handle`].
    pub fn answer_pull(&mut self, pull: &Pull, now: Instant) -> (Answer, Vec<Action>) {
        let actions = self.check_pause(now);
        let answer = Answer {
            from: self.own.id,
            open: !self.pause_detector.is_unconfirmed(),
            stamp: self.stamp(now),
            digest: self.digest_if_different(pull.root),
            entries: repair::requested_entries(&self.catalog, pull),
            bucket: pull.bucket.map(Bucket::new),
        };
        (answer, actions)
    }

    /// Returns the records held.
    #[must_use]
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the known members.
    #[must_use]
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the process's parents and children in the tree.
    #[must_use]
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Returns `true` if the process's records are confirmed, so that it may act on them.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        !self.pause_detector.is_unconfirmed()
    }

    /// Returns `true` if the process is to watch the store.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.store_watch.is_active
    }

    /// Returns the time since the records were last known to be up to date with the store, or
    /// `None` if that was never known.
    #[must_use]
    pub fn record_age(&self, now: Instant) -> Option<Duration> {
        self.fresh_as_of.map(|fresh_as_of| now.since(fresh_as_of))
    }

    fn check_pause(&mut self, now: Instant) -> Vec<Action> {
        if self.pause_detector.observe(now) {
            self.repair = None;
            vec![Action::CloseGate]
        } else {
            Vec::new()
        }
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.members_changed {
            self.rebuild_tree();
        }
        self.pull_if_due(now, actions);
    }

    /// Recomputes the watchers, the tree and the outboxes from the members.
    fn rebuild_tree(&mut self) {
        self.members_changed = false;
        self.watchers = WatcherRanking::new(&self.members);
        let feeds_regions =
            self.store_watch.is_active || self.watchers.regular().contains(&self.own.id);
        self.tree = Tree::new(&self.own, &self.members, &self.watchers);
        if feeds_regions {
            self.tree
                .add_top_levels(&self.own, &self.members, &self.watchers);
        }
        let members = &self.members;
        self.outboxes.retain(|id, _| members.get(*id).is_some());
    }

    /// Applies entries received from another process, or from the store if `from` is `None`.
    ///
    /// Entries are `verified` if they don't come from the copy that the store was restored from.
    fn apply_entries(
        &mut self,
        entries: Vec<Entry>,
        from: Option<MemberId>,
        verified: bool,
        actions: &mut Vec<Action>,
    ) {
        let mut changed = Vec::new();
        for entry in entries {
            let outcome = if verified {
                self.catalog.apply(entry.clone())
            } else {
                self.catalog.apply_unverified(entry.clone())
            };
            if outcome == ApplyOutcome::Newer {
                self.members_changed |= self.members.apply(&entry);
                changed.push(entry);
            }
        }
        if changed.is_empty() {
            return;
        }
        self.forward(&changed, from);
        actions.push(Action::CompileView(changed));
    }

    /// Marks the catalog complete through a revision. Records that it moves to the epoch of the
    /// revision are unchanged, so they are compiled into the view but not pushed.
    fn mark_complete(&mut self, revision: Revision, actions: &mut Vec<Action>) {
        let adopted = self.catalog.mark_complete(revision);
        if !adopted.is_empty() {
            actions.push(Action::CompileView(adopted));
        }
    }

    fn stamp(&self, now: Instant) -> Stamp {
        let leader = self.store_watch.leader;
        Stamp {
            complete: self.catalog.complete_revision(),
            root: self.catalog.digest().root(),
            restore: self
                .grace
                .and_then(|grace| grace.to_stamp(&self.catalog, now)),
            age_ms: self.fresh_as_of.map(|fresh_as_of| age_ms(fresh_as_of, now)),
            watcher: leader.map_or(self.own.id, |leader| leader.id),
            watcher_age_ms: leader.map(|leader| age_ms(leader.queried_at, now)),
        }
    }

    fn confirm_records(
        &mut self,
        by: Confirmation,
        queried_at: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.pause_detector.confirm(queried_at) {
            actions.push(Action::OpenGate(by));
        }
    }

    /// Returns the next number of the process's seeded pseudorandom sequence.
    fn next_random(&mut self) -> u64 {
        self.rng_draws += 1;
        score(self.rng_seed, self.rng_draws)
    }
}
