//! One balancer's probes and its verdict.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::health::Health;
use super::{Assignment, Probed};
use crate::catalog::Entry;
use crate::id::{self, Incarnation, Tag};
use crate::rank::score;
use crate::record::{Down, Id, Kind, Record, Verdict};
use crate::relay::{MemberId, PAUSE_LIMIT};
use crate::time::Instant;

/// Probes of one balancer in a second while all its targets answer.
const RATE: u32 = 8;
/// Shortest time between two probes of a target that answers.
const INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two writes of the verdict.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a write that failed; it doubles with each.
const WRITE_RETRY: Duration = Duration::from_secs(1);
/// Doublings of that pause.
const WRITE_DOUBLINGS: u32 = 6;
/// Time after which a target that is down is forgotten; its agent announces itself anew if it lives.
const FORGET_AFTER: Duration = Duration::from_secs(3600);
/// Targets below which silence of most says nothing about the balancer itself.
const ISOLATION_MINIMUM: usize = 4;

/// What a balancer is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a probe.
    Probe {
        /// Address of the agent.
        peer: SocketAddr,
        /// Nonce to be repeated.
        nonce: u64,
    },
    /// Write this verdict; the outcome comes back by [`Prober::written`].
    Write(Verdict),
    /// Delete the record of a target that has been down for long, if it still names this run.
    Forget(Down),
}

/// The answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Echo {
    /// The target that answers.
    pub target: Tag,
    /// Nonce of the probe.
    pub nonce: u64,
    /// Its present run.
    pub incarnation: Incarnation,
}

/// One balancer's probes and its verdict.
#[derive(Clone, Debug)]
pub struct Prober {
    own: Id,
    assignment: Assignment,
    assignment_changed: bool,
    seed: u64,
    draws: u64,
    health: BTreeMap<Tag, Health>,
    last: Instant,
    written: Verdict,
    writing: Option<Verdict>,
    next_write: Instant,
    /// Writes that failed in a row.
    failed_writes: u32,
}

impl Prober {
    /// A balancer that probes nothing yet.
    #[must_use]
    pub fn new(name: &id::Balancer, seed: u64, now: Instant) -> Self {
        Self {
            own: Id::new(Kind::Verdict, name),
            assignment: Assignment::new(MemberId::new(&Id::new(Kind::Balancer, name))),
            assignment_changed: false,
            seed,
            draws: 0,
            health: BTreeMap::new(),
            last: now,
            written: Verdict { down: Vec::new() },
            writing: None,
            next_write: now,
            failed_writes: 0,
        }
    }

    /// Takes an entry that the catalog has taken.
    pub fn apply(&mut self, entry: &Entry) {
        self.assignment_changed |= self.assignment.apply(entry);
        // Perhaps the verdict of an earlier run of the balancer.
        if entry.id == self.own && self.writing.is_none() {
            self.written = verdict(entry);
        }
    }

    /// Probes the targets that are assigned now.
    fn follow(&mut self, now: Instant) {
        let assigned = self.assignment.assigned().clone();
        self.health.retain(|tag, _| assigned.contains_key(tag));
        for (tag, probed) in assigned {
            self.follow_target(tag, probed, now);
        }
    }

    fn follow_target(&mut self, tag: Tag, probed: Probed, now: Instant) {
        if let Some(health) = self.health.get_mut(&tag) {
            health.renew(probed);
            return;
        }
        let spread = INTERVAL.mul_f64(self.draw() as f64 / u64::MAX as f64);
        self.health.insert(tag, Health::new(probed, now + spread));
    }

    /// Lets time pass; to be called several times a second.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let paused = now.since(self.last) > PAUSE_LIMIT;
        self.last = now;
        if paused {
            self.health
                .values_mut()
                .for_each(|health| health.excuse(now));
        }
        self.health
            .values_mut()
            .for_each(|health| health.expire(now));
        if std::mem::take(&mut self.assignment_changed) {
            self.follow(now);
        }
        self.judge(now);
        let mut actions = self.probe(now);
        actions.extend(self.write(now));
        actions.extend(self.forget(now));
        actions
    }

    /// Takes an answer to a probe.
    pub fn echo(&mut self, echo: Echo, now: Instant) {
        if let Some(health) = self.health.get_mut(&echo.target) {
            health.answer(echo.nonce, echo.incarnation, now);
        }
    }

    /// Takes the outcome of a write of the verdict.
    pub fn written(&mut self, taken: bool, now: Instant) {
        let verdict = self.writing.take();
        if let Some(verdict) = verdict.filter(|_| taken) {
            self.written = verdict;
            self.failed_writes = 0;
            return;
        }
        self.failed_writes += 1;
        let pause = WRITE_RETRY * (1 << self.failed_writes.min(WRITE_DOUBLINGS));
        self.next_write = now + self.jittered(pause);
    }

    /// Between half of a span and the whole.
    fn jittered(&mut self, span: Duration) -> Duration {
        span.mul_f64(0.5 + self.draw() as f64 / u64::MAX as f64 / 2.0)
    }

    /// Targets that this balancer probes.
    #[must_use]
    pub fn assigned(&self) -> usize {
        self.health.len()
    }

    /// The targets that this balancer finds down.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        let down = self.health.values().filter(|health| health.down);
        let down = down.map(Health::as_down);
        Verdict {
            down: down.collect(),
        }
    }

    /// Condemns silent targets unless this balancer seems cut off itself.
    fn judge(&mut self, now: Instant) {
        if self.is_isolated() {
            return;
        }
        let silent = self.health.values_mut().filter(|health| health.is_silent());
        silent.for_each(|health| health.condemn(now));
    }

    /// Whether most targets stopped answering of late.
    fn is_isolated(&self) -> bool {
        let before = self.health.values().filter(|health| !health.down);
        let (up, suspect) = before.fold((0, 0), |(up, suspect), health| {
            (up + 1, suspect + usize::from(health.is_suspect()))
        });
        up >= ISOLATION_MINIMUM && 2 * suspect > up
    }

    fn probe(&mut self, now: Instant) -> Vec<Action> {
        let count = u32::try_from(self.health.len()).unwrap_or(u32::MAX);
        let interval = INTERVAL.max(Duration::from_secs(1) * count / RATE);
        let due: Vec<Tag> = self
            .health
            .iter()
            .filter(|(_, health)| health.is_due(now))
            .map(|(tag, _)| *tag)
            .collect();
        let mut actions = Vec::new();
        for tag in due {
            let nonce = self.draw();
            let Some(health) = self.health.get_mut(&tag) else {
                continue;
            };
            health.send(nonce, now, interval);
            actions.push(Action::Probe {
                peer: health.probed.peer,
                nonce,
            });
        }
        actions
    }

    fn write(&mut self, now: Instant) -> Option<Action> {
        if self.writing.is_some() || now < self.next_write {
            return None;
        }
        let verdict = self.verdict();
        if verdict == self.written {
            return None;
        }
        let jitter = WRITE_INTERVAL.mul_f64(self.draw() as f64 / u64::MAX as f64 / 2.0);
        self.next_write = now + WRITE_INTERVAL + jitter;
        self.writing = Some(verdict.clone());
        Some(Action::Write(verdict))
    }

    /// One target that has been down for long.
    fn forget(&mut self, now: Instant) -> Option<Action> {
        let mut long = self.health.values_mut().filter(|health| {
            health
                .down_for(now)
                .is_some_and(|span| span >= FORGET_AFTER)
        });
        let health = long.next()?;
        health.postpone(now);
        Some(Action::Forget(health.as_down()))
    }

    fn draw(&mut self) -> u64 {
        self.draws += 1;
        score(self.seed, self.draws)
    }
}

/// The verdict that an entry holds.
fn verdict(entry: &Entry) -> Verdict {
    let document = entry.document.as_ref();
    let verdict = document.and_then(|document| Verdict::read(document).ok());
    verdict.unwrap_or(Verdict { down: Vec::new() })
}
