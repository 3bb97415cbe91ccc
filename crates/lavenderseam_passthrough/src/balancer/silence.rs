//! Reports about agents that no longer send messages.
//!
//! The registration of an agent whose VM has failed would keep balancers that start waiting for it.
//! So a balancer marks the registration once the agent has been silent for some time. Only the two
//! balancers that rank first for a target report it, and only while they hear from most agents:
//! otherwise they are cut off themselves.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use lavenderseam_core::rank::score;
use lavenderseam_core::time::Instant;

use super::target::Target;
use super::{Action, Balancer};
use crate::desired::RegisteredAgent;
use crate::message::{TargetId, TargetState};

/// Number of balancers that report a silent agent.
const REPORTERS: usize = 2;
/// Fraction of the targets, as a divisor, that may be suspect while the balancer reports silence.
const MAX_SUSPECT_DIVISOR: usize = 5;

/// Agents that this balancer has reported as silent, by target.
#[derive(Debug, Default)]
pub(crate) struct SilenceReports {
    reported: BTreeMap<TargetId, SocketAddrV4>,
}

impl SilenceReports {
    /// Takes over the reports of balancers that may have stopped since, from the registrations.
    pub(super) fn set_registered(&mut self, agents: &[RegisteredAgent]) {
        let silent = agents.iter().filter(|agent| agent.is_silent);
        let reports = silent.map(|agent| (TargetId::new(agent.address), agent.address));
        self.reported.extend(reports);
    }
}

impl Balancer {
    /// Returns reports about agents that have become silent, or send messages again.
    pub(super) fn silence_reports(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let heard_again: Vec<TargetId> = self
            .silence
            .reported
            .keys()
            .copied()
            .filter(|id| {
                let target = self.targets.get(*id);
                target.is_some_and(|target| !target.is_suspect(&self.settings, now))
            })
            .collect();
        for id in heard_again {
            if let Some(agent) = self.silence.reported.remove(&id)
                && self.is_reporter_of(id, now)
            {
                let is_silent = false;
                actions.push(Action::ReportSilence { agent, is_silent });
            }
        }
        let limit = self.settings.silence_report_after;
        let silent: Vec<(TargetId, SocketAddrV4)> = self
            .targets
            .iter()
            .filter(|target| now.since(target.last_message_at) >= limit)
            .filter(|target| !self.silence.reported.contains_key(&target.id))
            .map(|target| (target.id, target.agent))
            .collect();
        if silent.is_empty() || !self.hears_most_agents(now) {
            return actions;
        }
        for (id, agent) in silent {
            if self.is_reporter_of(id, now) {
                self.silence.reported.insert(id, agent);
                let is_silent = true;
                actions.push(Action::ReportSilence { agent, is_silent });
            }
        }
        actions
    }

    fn hears_most_agents(&self, now: Instant) -> bool {
        // Agents without a backend server leave with their VMs.
        let targets = self.targets.iter();
        let running = targets.filter(|target| target.state != TargetState::Ended);
        let is_suspect = |target: &&Target| target.is_suspect(&self.settings, now);
        let suspect = running.clone().filter(is_suspect).count();
        suspect <= running.count() / MAX_SUSPECT_DIVISOR
    }

    /// Returns `true` if this balancer ranks among the first that run for a target.
    fn is_reporter_of(&self, target: TargetId, now: Instant) -> bool {
        let rank = |address: SocketAddrV4| {
            let key = (u64::from(address.ip().to_bits()) << 16) | u64::from(address.port());
            score(key, u64::from(target.0))
        };
        let own_rank = rank(self.identity.address);
        let better = self.peers.running(now);
        let better = better.filter(|peer| rank(*peer) > own_rank);
        better.count() < REPORTERS
    }
}
