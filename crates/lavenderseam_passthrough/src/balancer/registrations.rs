//! Agents that were registered in the store when the balancer started.
//!
//! They tell a balancer that has just started which agents it must hear from before it knows all
//! targets. Without them it can only wait for long enough.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use lavenderseam_core::time::Instant;

use super::Settings;
use super::target::Target;
use super::targets::Targets;
use crate::desired::RegisteredAgent;
use crate::message::{TargetId, TargetState};

/// Registered agents, as listed once after the start.
#[derive(Debug, Default)]
pub(crate) struct Registrations {
    /// Registered agents by target; `None` if the registrations aren't known.
    targets: Option<BTreeMap<TargetId, RegisteredAgent>>,
}

/// Registered agents, counted by whether a balancer has heard from them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Heard {
    /// All registered agents.
    pub(crate) registered: usize,
    /// Agents that haven't been heard and may run.
    pub(crate) missing: usize,
    /// Agents that haven't been heard and are taken to have failed, because they were reported as
    /// silent.
    pub(crate) silent: usize,
}

/// What the registrations show about the targets that a balancer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Completeness {
    /// The balancer has heard from all registered agents that may run.
    Complete,
    /// Few agents are missing, which may have failed, or one that has been heard isn't registered.
    NearlyComplete,
    /// Many agents are missing, because they are still starting.
    Starting,
}

impl Registrations {
    /// Indexes a list of registered agents.
    pub(crate) fn new(agents: &[RegisteredAgent]) -> Self {
        let targets = agents
            .iter()
            .map(|agent| (TargetId::new(agent.address), *agent));
        Self {
            targets: Some(targets.collect()),
        }
    }

    /// Counts the registered agents by whether a balancer that has been running since
    /// `running_since` has heard from them; `None` if the registrations aren't known.
    pub(crate) fn heard(
        &self,
        known: &Targets,
        settings: &Settings,
        running_since: Instant,
        now: Instant,
    ) -> Option<Heard> {
        let registered = self.targets.as_ref()?;
        let marks_count = now.since(running_since) >= settings.min_uptime_with_silent_agents;
        let is_heard = |id: TargetId| {
            let target = known.get(id);
            target.is_some_and(|target| target.has_sent_since(running_since))
        };
        let mut heard = Heard {
            registered: registered.len(),
            ..Heard::default()
        };
        for (id, agent) in registered {
            match (is_heard(*id), agent.is_silent && marks_count) {
                (true, _) => {}
                (false, true) => heard.silent += 1,
                (false, false) => heard.missing += 1,
            }
        }
        Some(heard)
    }

    /// Returns the addresses of registered agents from which a balancer that has been running since
    /// `running_since` has received no message.
    pub(crate) fn unheard(
        &self,
        known: &Targets,
        running_since: Instant,
    ) -> impl Iterator<Item = SocketAddrV4> {
        let registered = self.targets.iter().flatten();
        let unheard = registered.filter(move |(id, _)| {
            let target = known.get(**id);
            target.is_none_or(|target| !target.has_sent_since(running_since))
        });
        unheard.map(|(_, agent)| agent.address)
    }

    /// Compares the known targets with the registrations, for a balancer that has been running
    /// since `running_since`.
    pub(crate) fn completeness(
        &self,
        known: &Targets,
        settings: &Settings,
        running_since: Instant,
        now: Instant,
    ) -> Completeness {
        let (Some(registered), Some(heard)) = (
            &self.targets,
            self.heard(known, settings, running_since, now),
        ) else {
            return Completeness::NearlyComplete;
        };
        let missing = heard.missing;
        let max_failed = registered.len().div_ceil(settings.targets_per_failed_agent);
        if missing > max_failed {
            return Completeness::Starting;
        }
        // Such an agent has registered since, as others may have that haven't been heard yet, or is
        // of an earlier version. Agents without a backend server aren't registered.
        let is_unregistered = |target: &Target| {
            target.state != TargetState::Ended && !registered.contains_key(&target.id)
        };
        if missing == 0 && !known.iter().any(is_unregistered) && !registered.is_empty() {
            Completeness::Complete
        } else {
            Completeness::NearlyComplete
        }
    }
}

impl Completeness {
    /// Returns the uptime after which a balancer knows all targets if another one agrees.
    pub(crate) const fn min_uptime(self, settings: &Settings) -> Duration {
        match self {
            Self::Complete => Duration::ZERO,
            Self::NearlyComplete => settings.min_uptime,
            Self::Starting => settings.min_uptime_while_agents_start,
        }
    }
}
