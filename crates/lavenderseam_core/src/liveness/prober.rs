//! Health checks by one balancer and the verdict that it publishes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::health::TargetHealth;
use super::{Assignment, ProbedTarget};
use crate::catalog::Entry;
use crate::catalog::restore::MAX_COPY_AGE;
use crate::id::{self, Incarnation, Tag};
use crate::rank::score;
use crate::record::{DownTarget, Id, Kind, Record, Verdict};
use crate::relay::{MemberId, PAUSE_THRESHOLD};
use crate::time::Instant;

/// Maximum number of probes per second that a balancer sends while all its targets answer.
const MAX_PROBES_PER_SECOND: u32 = 8;
/// Minimum time between two probes of a target that answers.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two writes of the verdict.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Base of the delay after a failed write; the delay doubles with each consecutive failure.
const WRITE_RETRY_BASE: Duration = Duration::from_secs(1);
/// Maximum number of doublings of [`WRITE_RETRY_BASE`].
const MAX_WRITE_RETRY_DOUBLINGS: u32 = 6;
/// Time for which a target must be down before its record is deleted. An agent that is still
/// running announces itself again.
const DELETE_AFTER: Duration = Duration::from_secs(3600);
/// Minimum number of targets that are up for a balancer to conclude that it is isolated when most
/// of them stop answering; with fewer targets, all of them may well have failed.
const MIN_TARGETS_FOR_ISOLATION: usize = 4;

/// Action that the driver performs for a [`Prober`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a probe to an agent.
    Probe {
        /// UDP address of the agent.
        peer: SocketAddr,
        /// Nonce that the agent's answer must repeat.
        nonce: u64,
    },
    /// Write this verdict to the store and report the result by [`Prober::handle_write_result`].
    WriteVerdict(Verdict),
    /// Delete the record of a target that has been down for an hour, if it still names this run.
    DeleteTarget(DownTarget),
}

/// An agent's answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Echo {
    /// Target that answers.
    pub target: Tag,
    /// Nonce of the probe.
    pub nonce: u64,
    /// Current run of the agent.
    pub incarnation: Incarnation,
}

/// State machine that probes the targets assigned to one balancer and publishes its verdict: the
/// set of targets that it finds down.
#[derive(Clone, Debug)]
pub struct Prober {
    own_verdict: Id,
    assignment: Assignment,
    assignment_changed: bool,
    rng_seed: u64,
    rng_draws: u64,
    health_by_target: BTreeMap<Tag, TargetHealth>,
    last_tick: Instant,
    /// Verdict that the store holds; `None` if that is unknown since a restore.
    stored_verdict: Option<Verdict>,
    /// Time at which the store last accepted a verdict.
    written_at: Option<Instant>,
    write_in_flight: Option<Verdict>,
    next_write: Instant,
    /// Number of consecutive failed writes.
    consecutive_write_failures: u32,
}

impl Prober {
    /// Creates the prober of a balancer; no targets are assigned yet.
    #[must_use]
    pub fn new(name: &id::Balancer, seed: u64, now: Instant) -> Self {
        Self {
            own_verdict: Id::new(Kind::Verdict, name),
            assignment: Assignment::new(MemberId::new(&Id::new(Kind::Balancer, name))),
            assignment_changed: false,
            rng_seed: seed,
            rng_draws: 0,
            health_by_target: BTreeMap::new(),
            last_tick: now,
            stored_verdict: Some(Verdict { down: Vec::new() }),
            written_at: None,
            write_in_flight: None,
            next_write: now,
            consecutive_write_failures: 0,
        }
    }

    /// Applies an entry that the catalog has applied.
    pub fn apply(&mut self, entry: &Entry) {
        self.assignment_changed |= self.assignment.apply(entry);
        // An earlier run of the balancer may have written this verdict; it is replaced if it
        // differs.
        if entry.id == self.own_verdict && self.write_in_flight.is_none() {
            self.stored_verdict = Some(read_verdict(entry));
        }
    }

    /// Updates the set of probed targets to the current assignment.
    fn update_targets(&mut self, now: Instant) {
        let assigned = self.assignment.assigned_targets().clone();
        self.health_by_target
            .retain(|tag, _| assigned.contains_key(tag));
        for (tag, probed) in assigned {
            self.update_target(tag, probed, now);
        }
    }

    fn update_target(&mut self, tag: Tag, probed: ProbedTarget, now: Instant) {
        if let Some(health) = self.health_by_target.get_mut(&tag) {
            health.update_target(probed);
            return;
        }
        let initial_delay = MIN_PROBE_INTERVAL.mul_f64(self.next_random() as f64 / u64::MAX as f64);
        self.health_by_target
            .insert(tag, TargetHealth::new(probed, now + initial_delay));
    }

    /// Processes the time elapsed since the last call; to be called several times per second.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let paused = now.since(self.last_tick) > PAUSE_THRESHOLD;
        self.last_tick = now;
        if paused {
            self.health_by_target
                .values_mut()
                .for_each(|health| health.reset_after_pause(now));
        }
        self.health_by_target
            .values_mut()
            .for_each(|health| health.expire_probe(now));
        if std::mem::take(&mut self.assignment_changed) {
            self.update_targets(now);
        }
        self.mark_unresponsive_down(now);
        let mut actions = self.send_due_probes(now);
        actions.extend(self.write_if_changed(now));
        actions.extend(self.delete_expired(now));
        actions
    }

    /// Handles an answer to a probe.
    pub fn handle_echo(&mut self, echo: Echo, now: Instant) {
        if let Some(health) = self.health_by_target.get_mut(&echo.target) {
            health.handle_answer(echo.nonce, echo.incarnation, now);
        }
    }

    /// Handles the result of a write of the verdict; `taken` is `true` if the store accepted it.
    pub fn handle_write_result(&mut self, taken: bool, now: Instant) {
        let verdict = self.write_in_flight.take();
        if let Some(verdict) = verdict.filter(|_| taken) {
            self.stored_verdict = Some(verdict);
            self.written_at = Some(now);
            self.consecutive_write_failures = 0;
            return;
        }
        self.consecutive_write_failures += 1;
        let delay = WRITE_RETRY_BASE
            * (1 << self
                .consecutive_write_failures
                .min(MAX_WRITE_RETRY_DOUBLINGS));
        self.next_write = now + self.with_jitter(delay);
    }

    /// Handles a restore of the store from a copy; a verdict that the copy may lack is written again.
    pub fn handle_restore(&mut self, now: Instant) {
        let age = self.written_at.map(|written_at| now.since(written_at));
        if age.is_some_and(|age| age <= MAX_COPY_AGE) {
            self.stored_verdict = None;
        }
    }

    /// Returns a random duration between half of `max_delay` and `max_delay`.
    fn with_jitter(&mut self, max_delay: Duration) -> Duration {
        max_delay.mul_f64(0.5 + self.next_random() as f64 / u64::MAX as f64 / 2.0)
    }

    /// Returns the number of targets that this balancer probes.
    #[must_use]
    pub fn assigned_count(&self) -> usize {
        self.health_by_target.len()
    }

    /// Returns the targets that this balancer finds down.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        let down = self.health_by_target.values().filter(|health| health.down);
        let down = down.map(TargetHealth::to_down);
        Verdict {
            down: down.collect(),
        }
    }

    /// Marks unresponsive targets down unless this balancer seems to be isolated.
    fn mark_unresponsive_down(&mut self, now: Instant) {
        if self.is_isolated() {
            return;
        }
        let unresponsive = self
            .health_by_target
            .values_mut()
            .filter(|health| health.is_unresponsive());
        unresponsive.for_each(|health| health.mark_down(now));
    }

    /// Returns `true` if most of the targets that are up failed to answer their last probe.
    fn is_isolated(&self) -> bool {
        let up_targets = self.health_by_target.values().filter(|health| !health.down);
        let (up, suspect) = up_targets.fold((0, 0), |(up, suspect), health| {
            (up + 1, suspect + usize::from(health.is_suspect()))
        });
        up >= MIN_TARGETS_FOR_ISOLATION && 2 * suspect > up
    }

    fn send_due_probes(&mut self, now: Instant) -> Vec<Action> {
        let count = u32::try_from(self.health_by_target.len()).unwrap_or(u32::MAX);
        let interval =
            MIN_PROBE_INTERVAL.max(Duration::from_secs(1) * count / MAX_PROBES_PER_SECOND);
        let due: Vec<Tag> = self
            .health_by_target
            .iter()
            .filter(|(_, health)| health.is_due(now))
            .map(|(tag, _)| *tag)
            .collect();
        let mut actions = Vec::new();
        for tag in due {
            let nonce = self.next_random();
            let Some(health) = self.health_by_target.get_mut(&tag) else {
                continue;
            };
            health.record_probe(nonce, now, interval);
            actions.push(Action::Probe {
                peer: health.probed.peer,
                nonce,
            });
        }
        actions
    }

    fn write_if_changed(&mut self, now: Instant) -> Option<Action> {
        if self.write_in_flight.is_some() || now < self.next_write {
            return None;
        }
        let verdict = self.verdict();
        if self.stored_verdict.as_ref() == Some(&verdict) {
            return None;
        }
        let jitter = MIN_WRITE_INTERVAL.mul_f64(self.next_random() as f64 / u64::MAX as f64 / 2.0);
        self.next_write = now + MIN_WRITE_INTERVAL + jitter;
        self.write_in_flight = Some(verdict.clone());
        Some(Action::WriteVerdict(verdict))
    }

    /// Returns the deletion of one target that has been down for [`DELETE_AFTER`], if there is any.
    fn delete_expired(&mut self, now: Instant) -> Option<Action> {
        let mut expired = self.health_by_target.values_mut().filter(|health| {
            health
                .down_duration(now)
                .is_some_and(|duration| duration >= DELETE_AFTER)
        });
        let health = expired.next()?;
        health.reset_down_duration(now);
        Some(Action::DeleteTarget(health.to_down()))
    }

    fn next_random(&mut self) -> u64 {
        self.rng_draws += 1;
        score(self.rng_seed, self.rng_draws)
    }
}

/// Returns the verdict that an entry holds, or an empty one if it holds none.
fn read_verdict(entry: &Entry) -> Verdict {
    let document = entry.document.as_ref();
    let verdict = document.and_then(|document| Verdict::read(document).ok());
    verdict.unwrap_or(Verdict { down: Vec::new() })
}
