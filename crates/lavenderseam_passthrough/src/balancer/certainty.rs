//! Premises from which a balancer concludes that no target holds a flow.
//!
//! Every target that may hold flows must have denied the flow since the search began, and the
//! balancer must know all targets:
//!
//! - A denial covers only the targets that were asked. A target that becomes known, or whose backend
//!   server runs again, makes the denials so far incomplete.
//! - Every other balancer that runs must have named the digest of the targets that are known now, since
//!   the agents were asked ([`agreement`](super::agreement)). One of them may have opened the flow, at
//!   a target that the others haven't heard from yet. At least one must take these targets for all that
//!   exist: it has heard from all registered agents, or has run for some time.
//! - The balancer itself must have heard from all registered agents, or have run for long enough.
//!   Registrations are those at the start of the balancer. An agent that is marked as silent counts as
//!   failed, but another balancer that hears it knows one target more and doesn't agree.

use std::time::Duration;

use lavenderseam_core::time::Instant;
use serde::Serialize;

use super::Balancer;
use super::registrations::Completeness;

/// State of the premises, with their ages; written to the log with each reset that rests on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Premises {
    /// Time since the balancer started or was resumed, in milliseconds.
    pub uptime_ms: u64,
    /// Targets that the balancer knows.
    pub targets: usize,
    /// Other balancers that run and knew the same targets when they were asked last.
    pub agreeing: usize,
    /// Other balancers that run and knew other targets.
    pub differing: usize,
    /// Other balancers that run and haven't answered.
    pub unanswered: usize,
    /// Time since the oldest question was sent whose answer agrees, in milliseconds; `None` if none
    /// does.
    pub agreed_ms: Option<u64>,
    /// Registered agents; `None` if the registrations aren't known.
    pub registered: Option<usize>,
    /// Registered agents that the balancer hasn't heard from, without those that are marked as
    /// silent.
    pub missing: usize,
    /// Registered agents that are marked as silent, and that the balancer hasn't heard from.
    pub silent: usize,
    /// `true` if the premises show that the balancer knows all targets.
    pub certain: bool,
}

impl Balancer {
    /// Returns the premises on which a conclusion that no target holds a flow would rest now.
    #[must_use]
    pub fn premises(&self, now: Instant) -> Premises {
        let running_since = self.running_since.unwrap_or(now);
        let heard = self
            .registrations
            .heard(&self.targets, &self.settings, running_since, now);
        let opinions = self.opinions(now);
        let milliseconds = |duration: Duration| duration.as_millis() as u64;
        Premises {
            uptime_ms: milliseconds(now.since(running_since)),
            targets: self.targets.iter().count(),
            agreeing: opinions.agreeing,
            differing: opinions.differing,
            unanswered: opinions.unanswered,
            agreed_ms: opinions
                .oldest()
                .map(|asked_at| milliseconds(now.since(asked_at))),
            registered: heard.map(|heard| heard.registered),
            missing: heard.map_or(0, |heard| heard.missing),
            silent: heard.map_or(0, |heard| heard.silent),
            certain: self.knows_all_targets_since(now).is_some(),
        }
    }

    /// Returns `true` if targets may still announce themselves for the first time, so that a new flow
    /// isn't rejected yet.
    ///
    /// A rejected flow was never open, so recent gossip of one other balancer is enough here.
    pub(super) fn is_starting(&self, now: Instant) -> bool {
        let Some(running_since) = self.running_since else {
            return true;
        };
        if now.since(running_since) >= self.settings.min_uptime_alone {
            return false;
        }
        let agreed_at = self.peers.last_agreement(self.targets.digest());
        let is_recent = |agreed_at: Instant| {
            agreed_at >= running_since && now.since(agreed_at) < self.settings.agreement_lifetime
        };
        let has_agreement = agreed_at.is_some_and(is_recent);
        !has_agreement || !self.may_conclude(now)
    }

    /// Returns the time since which the balancer has known the target of each flow that was open then;
    /// `None` if it may not know all targets.
    pub(super) fn knows_all_targets_since(&self, now: Instant) -> Option<Instant> {
        if self.peers.is_empty() {
            let uptime = now.since(self.running_since?);
            return (uptime >= self.settings.min_uptime_alone).then_some(now);
        }
        let agreed_since = self.opinions(now).agreed_since();
        agreed_since.filter(|_| self.may_conclude(now))
    }

    /// Returns `true` if the balancer has heard from all registered agents that may run, or has run for
    /// some time, which is longer while many registered agents are missing.
    pub(super) fn may_conclude(&self, now: Instant) -> bool {
        self.running_since.is_some_and(|running_since| {
            let completeness = self.completeness(running_since, now);
            now.since(running_since) >= completeness.min_uptime(&self.settings)
        })
    }

    /// Returns `true` if another balancer may take the targets known here for all that exist.
    pub(super) fn offers_targets(&self, now: Instant) -> bool {
        let Some(running_since) = self.running_since else {
            return false;
        };
        let is_complete = self.completeness(running_since, now) == Completeness::Complete;
        is_complete || now.since(running_since) >= self.settings.min_uptime
    }

    fn completeness(&self, running_since: Instant, now: Instant) -> Completeness {
        self.registrations
            .completeness(&self.targets, &self.settings, running_since, now)
    }
}
