//! The state machine of one process.

mod forward;
mod repair;
mod store;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::age::age_ms;
use super::gap::{Confirmation, Gap};
use super::outbox::Outbox;
use super::{Answer, Bucket, Member, MemberId, Members, Pull, Push, Stamp, Tree, Watchers};
use crate::catalog::{Applied, Catalog, Entry, Revision};
use crate::rank::score;
use crate::record::Id;
use crate::time::Instant;
use repair::Repair;
use store::Watching;

/// What happened to a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed; comes several times a second.
    Tick,
    /// The store took a write of this process.
    Accepted(Entry),
    /// The store listed all records.
    Listed {
        /// When it was asked.
        asked: Instant,
        /// All records.
        entries: Vec<Entry>,
        /// Revision of the whole.
        revision: Revision,
    },
    /// A watch of the store ended.
    Watched {
        /// When it was asked.
        asked: Instant,
        /// Entries written since.
        entries: Vec<Entry>,
        /// Revision that the store was at.
        revision: Revision,
    },
    /// The store no longer keeps the writes that a watch asked for.
    Outdated,
    /// A call to the store failed.
    StoreFailed {
        /// The store asks for this pause.
        pause: Duration,
    },
    /// Another process sent records.
    Pushed(Push),
    /// A push ended.
    Delivered {
        /// The process that it was for.
        to: MemberId,
        /// Whether it arrived.
        arrived: bool,
    },
    /// A pull ended.
    Answered {
        /// Where it went.
        address: SocketAddr,
        /// When it was sent.
        asked: Instant,
        /// The answer; none if the process didn't answer.
        answer: Option<Answer>,
    },
}

/// What a process is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send records; the outcome comes back as [`Event::Delivered`].
    Push {
        /// The process that it is for.
        to: MemberId,
        /// Its address for remote calls.
        address: SocketAddr,
        /// The records.
        push: Push,
    },
    /// Ask for records; the outcome comes back as [`Event::Answered`].
    Pull {
        /// Address for remote calls of the process to ask.
        address: SocketAddr,
        /// The question.
        pull: Pull,
    },
    /// List the store's records.
    List,
    /// Watch the store.
    Watch {
        /// Revision to go on from.
        after: Revision,
        /// Longest time to wait.
        wait: Duration,
    },
    /// These records have changed: compile a new view.
    Changed(Vec<Entry>),
    /// Delete the record of a balancer that has been unreachable for long, if it still has this
    /// revision, and then its verdict. A balancer that lives announces itself anew.
    Forget {
        /// The balancer's record.
        id: Id,
        /// Its revision.
        revision: Revision,
    },
    /// Stop acting on the records: the process was paused.
    Close,
    /// Act on the records.
    Open(Confirmation),
}

/// The state machine of one process.
#[derive(Clone, Debug)]
pub struct Node {
    own: Member,
    seeds: Vec<SocketAddr>,
    seed: u64,
    draws: u64,
    catalog: Catalog,
    members: Members,
    members_changed: bool,
    watchers: Watchers,
    tree: Tree,
    outboxes: BTreeMap<MemberId, Outbox>,
    /// When the store was last known to hold nothing newer.
    fresh: Option<Instant>,
    stamped: Option<Instant>,
    started: Instant,
    heard: Instant,
    gap: Gap,
    watching: Watching,
    pulls: BTreeMap<SocketAddr, Instant>,
    /// Pulls without an answer since another process was last heard.
    unanswered: usize,
    repair: Option<Repair>,
}

impl Node {
    /// A process that holds nothing yet.
    #[must_use]
    pub fn new(own: Member, seeds: Vec<SocketAddr>, seed: u64, now: Instant) -> Self {
        Self {
            own,
            seeds,
            seed,
            draws: 0,
            catalog: Catalog::default(),
            members: Members::default(),
            members_changed: false,
            watchers: Watchers::default(),
            tree: Tree::default(),
            outboxes: BTreeMap::new(),
            fresh: None,
            stamped: None,
            started: now,
            heard: Instant(0),
            gap: Gap::new(now),
            watching: Watching::new(now),
            pulls: BTreeMap::new(),
            unanswered: 0,
            repair: None,
        }
    }

    /// Takes an event.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = self.observe(now);
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Accepted(entry) => self.take(vec![entry], None, &mut actions),
            Event::Listed {
                asked,
                entries,
                revision,
            } => {
                self.listed(asked, entries, revision, &mut actions);
            }
            Event::Watched {
                asked,
                entries,
                revision,
            } => {
                self.watched(asked, entries, revision, &mut actions);
            }
            Event::Outdated => self.watching.outdated(),
            Event::StoreFailed { pause } => self.store_failed(pause, now),
            Event::Pushed(push) => self.pushed(push, now, &mut actions),
            Event::Delivered { to, arrived } => self.delivered(to, arrived, now, &mut actions),
            Event::Answered {
                address,
                asked,
                answer,
            } => {
                self.answered(address, asked, answer, now, &mut actions);
            }
        }
        self.watch(now, &mut actions);
        self.flush(now, &mut actions);
        actions
    }

    /// Answers another process; the actions are to be done as those of [`Self::handle`].
    pub fn answer(&mut self, pull: &Pull, now: Instant) -> (Answer, Vec<Action>) {
        let actions = self.observe(now);
        let answer = Answer {
            from: self.own.id,
            open: !self.gap.is_closed(),
            stamp: self.stamp(now),
            digest: self.differing(pull.root),
            entries: repair::entries(&self.catalog, pull),
            bucket: pull.bucket.map(Bucket::new),
        };
        (answer, actions)
    }

    /// The records held.
    #[must_use]
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The processes known.
    #[must_use]
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The process' place in the tree.
    #[must_use]
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Whether the process may act on its records.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.gap.is_closed()
    }

    /// Whether the process watches the store.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.watching.wanted
    }

    /// Time since the store was last known to hold nothing newer; none if that was never known.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.fresh.map(|fresh| now.since(fresh))
    }

    fn observe(&mut self, now: Instant) -> Vec<Action> {
        if self.gap.observe(now) {
            self.repair = None;
            vec![Action::Close]
        } else {
            Vec::new()
        }
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.members_changed {
            self.derive();
        }
        self.pull_due(now, actions);
    }

    /// Derives the process' place from the members.
    fn derive(&mut self) {
        self.members_changed = false;
        self.watchers = Watchers::new(&self.members);
        let feeds = self.watching.wanted || self.watchers.first().contains(&self.own.id);
        self.tree = Tree::new(&self.own, &self.members, &self.watchers);
        if feeds {
            self.tree.add_tops(&self.own, &self.members, &self.watchers);
        }
        let members = &self.members;
        self.outboxes.retain(|id, _| members.get(*id).is_some());
    }

    /// Takes entries that came from a process, or from the store.
    fn take(&mut self, entries: Vec<Entry>, from: Option<MemberId>, actions: &mut Vec<Action>) {
        let mut changed = Vec::new();
        for entry in entries {
            if self.catalog.apply(entry.clone()) == Applied::Newer {
                self.members_changed |= self.members.apply(&entry);
                changed.push(entry);
            }
        }
        if changed.is_empty() {
            return;
        }
        self.forward(&changed, from);
        actions.push(Action::Changed(changed));
    }

    fn stamp(&self, now: Instant) -> Stamp {
        let leader = self.watching.leader;
        Stamp {
            complete: self.catalog.complete(),
            root: self.catalog.digest().root(),
            age_ms: self.fresh.map(|fresh| age_ms(fresh, now)),
            watcher: leader.map_or(self.own.id, |leader| leader.id),
            watcher_age_ms: leader.map(|leader| age_ms(leader.asked, now)),
        }
    }

    fn confirm(&mut self, by: Confirmation, asked: Instant, actions: &mut Vec<Action>) {
        if self.gap.confirm(asked) {
            actions.push(Action::Open(by));
        }
    }

    /// The next word of the process' own sequence of random numbers.
    fn draw(&mut self) -> u64 {
        self.draws += 1;
        score(self.seed, self.draws)
    }
}
