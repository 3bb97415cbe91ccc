//! Premises from which a balancer concludes that no target holds a flow.
//!
//! Every target that may hold flows must have denied the flow since the search began, and the
//! balancer must know all targets. It knows them all if another balancer knows the same ones and
//! this one has heard from all registered agents, or has run for long enough:
//!
//! - A denial covers only the targets that were asked. A target that becomes known, or whose backend
//!   server runs again, makes the denials so far incomplete.
//! - Another balancer must have named the digest of the targets that are known now, not of fewer.
//!   One that has just started names none: it may have heard from as few agents.
//! - Registrations are those at the start of the balancer. An agent that is marked as silent counts
//!   as failed, but another balancer that hears it knows one target more and doesn't agree.

use std::net::SocketAddrV4;
use std::time::Duration;

use lavenderseam_core::time::Instant;
use serde::Serialize;

use super::Balancer;
use super::peers::Agreement;
use super::registrations::Completeness;

/// State of the premises, with their ages; written to the log with each reset that rests on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Premises {
    /// Time since the balancer started or was resumed, in milliseconds.
    pub uptime_ms: u64,
    /// Targets that the balancer knows.
    pub targets: usize,
    /// Time since another balancer last knew the same targets, in milliseconds; `None` if it
    /// hasn't.
    pub agreed_ms: Option<u64>,
    /// Balancer that knew the same targets then.
    pub agreed_by: Option<SocketAddrV4>,
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
        let agreement = self.agreement(running_since);
        let milliseconds = |duration: Duration| duration.as_millis() as u64;
        Premises {
            uptime_ms: milliseconds(now.since(running_since)),
            targets: self.targets.iter().count(),
            agreed_ms: agreement.map(|agreement| milliseconds(now.since(agreement.at))),
            agreed_by: agreement.map(|agreement| agreement.from),
            registered: heard.map(|heard| heard.registered),
            missing: heard.map_or(0, |heard| heard.missing),
            silent: heard.map_or(0, |heard| heard.silent),
            certain: self.knows_all_targets(now),
        }
    }

    /// Returns `true` if targets may still announce themselves for the first time.
    pub(super) fn is_starting(&self, now: Instant) -> bool {
        let uptime = self
            .running_since
            .map(|running_since| now.since(running_since));
        let long_enough = uptime.is_some_and(|uptime| uptime >= self.settings.min_uptime_alone);
        !long_enough && !self.knows_all_targets(now)
    }

    /// Returns `true` if the balancer knows every target.
    ///
    /// Another balancer must have reported recently that it knows the same targets as this one does
    /// now. Besides, the balancer must have received a message from each registered agent that may
    /// run, or the process must have run for some time, which is longer while many registered agents
    /// are missing.
    pub(super) fn knows_all_targets(&self, now: Instant) -> bool {
        let Some(running_since) = self.running_since else {
            return false;
        };
        let min_uptime = self
            .completeness(running_since, now)
            .min_uptime(&self.settings);
        let uptime = now.since(running_since);
        let agreed = self
            .agreement(running_since)
            .is_some_and(|agreement| now.since(agreement.at) < self.settings.agreement_lifetime);
        (agreed && uptime >= min_uptime)
            || (self.peers.is_empty() && uptime >= self.settings.min_uptime_alone)
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

    /// Returns the last agreement of another balancer since the start that knew the same targets.
    fn agreement(&self, running_since: Instant) -> Option<Agreement> {
        let agreement = self.peers.last_agreement(self.targets.digest())?;
        (agreement.at >= running_since).then_some(agreement)
    }
}
