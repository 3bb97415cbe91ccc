//! Known targets, and the placement of new flows.
//!
//! New flows arrive steadily and each occupies a slot of its target for a short time, so the target
//! with the lowest fraction of its slots in use is best. A load report is older than most of the
//! requests that it covers, so the balancer adds the flows that it has sent since. A target in
//! another failure domain is used only if the local ones are busier by a margin.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use lavenderseam_core::rank::score;
use lavenderseam_core::time::Instant;
use serde::Serialize;

use super::Settings;
use super::target::Target;
use crate::flow::Flow;
use crate::message::{
    Announcement, AttemptedTargets, ServiceId, TargetId, TargetSnapshot, TargetState,
};

/// Known targets, indexed by identifier.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    by_id: BTreeMap<TargetId, Target>,
    /// Number of times that a target with a backend server became known, or its backend server ran
    /// again.
    additions: u64,
    /// Targets that have become known, or whose agents or backend servers have ended, since they were
    /// last taken.
    restarted: BTreeSet<TargetId>,
    /// Time at which an agent of each service was last found to have restarted.
    agent_restarted_at: BTreeMap<ServiceId, Instant>,
}

/// Seed that makes the choice of trial flows independent of the ranking of targets, which hashes
/// the same key.
const TRIAL_SEED: u64 = 0x5452_4941_4c53;

/// Effect of an announcement on the known targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnnouncementEffect {
    /// Only the load was updated.
    Unchanged,
    /// The target is new, or its state, service or failure domain has changed.
    Changed,
    /// The announcement is older than one received before, and was ignored.
    Stale,
}

impl Targets {
    /// Applies an announcement.
    pub(crate) fn on_announcement(
        &mut self,
        agent: SocketAddrV4,
        announcement: &Announcement,
        now: Instant,
    ) -> AnnouncementEffect {
        let id = TargetId::new(agent);
        let service = ServiceId::new(&announcement.service);
        self.record_restart(id, announcement, now);
        let Some(existing) = self.by_id.get_mut(&id) else {
            let target = Target::new(agent, announcement, now);
            self.by_id.insert(id, target);
            self.restarted.insert(id);
            self.additions += u64::from(announcement.state != TargetState::Ended);
            return AnnouncementEffect::Changed;
        };
        if existing.run == announcement.run && announcement.sequence <= existing.sequence {
            return AnnouncementEffect::Stale;
        }
        if existing.state == TargetState::Ended && announcement.state != TargetState::Ended {
            self.additions += 1;
        }
        let has_ended =
            existing.state != TargetState::Ended && announcement.state == TargetState::Ended;
        if existing.run != announcement.run || has_ended {
            self.restarted.insert(id);
        }
        let changed = existing.state != announcement.state
            || existing.service != service
            || existing.domain != announcement.domain;
        existing.has_predecessor |= existing.run != announcement.run;
        existing.run = announcement.run;
        existing.sequence = announcement.sequence;
        existing.receives_from_balancer = announcement.hears_recipient;
        existing.received_directly = true;
        existing.service = service;
        existing.service_name.clone_from(&announcement.service);
        existing.state = announcement.state;
        existing.domain.clone_from(&announcement.domain);
        existing.on_load_report(announcement.load, now);
        if changed {
            AnnouncementEffect::Changed
        } else {
            AnnouncementEffect::Unchanged
        }
    }

    /// Records that an agent has restarted, if another run of it is known.
    fn record_restart(&mut self, id: TargetId, announcement: &Announcement, now: Instant) {
        let known = self.by_id.get(&id);
        if known.is_some_and(|known| known.run != announcement.run) {
            let service = ServiceId::new(&announcement.service);
            self.agent_restarted_at.insert(service, now);
        }
    }

    /// Returns `true` if an earlier run of an agent than `run` is known.
    pub(crate) fn has_predecessor(&self, id: TargetId, run: u64) -> bool {
        let known = self.by_id.get(&id);
        known.is_some_and(|known| known.has_predecessor || known.run != run)
    }

    /// Returns `true` if an agent of a service has restarted within `time`.
    pub(crate) fn has_agent_restarted_within(
        &self,
        service: ServiceId,
        time: Duration,
        now: Instant,
    ) -> bool {
        let restarted_at = self.agent_restarted_at.get(&service);
        restarted_at.is_some_and(|at| now.since(*at) < time)
    }

    /// Returns the state of all targets, to be sent to other balancers.
    pub(crate) fn snapshots(&self, now: Instant) -> Vec<TargetSnapshot> {
        let snapshot = |target: &Target| TargetSnapshot {
            agent: target.agent,
            age_ms: now.since(target.last_message_at).as_millis() as u64,
            announcement: target.announcement(),
        };
        self.iter().map(snapshot).collect()
    }

    /// Merges the targets known to another balancer, if it has received a message from their agents
    /// more recently.
    pub(crate) fn merge(&mut self, snapshots: &[TargetSnapshot], now: Instant) {
        for other in snapshots {
            let last_message_at = now - Duration::from_millis(other.age_ms);
            let id = TargetId::new(other.agent);
            let known = self.by_id.get(&id);
            if known.is_some_and(|known| known.last_message_at >= last_message_at) {
                continue;
            }
            self.record_restart(id, &other.announcement, now);
            let existing = self.by_id.get(&id);
            // Whether this balancer reaches the agent isn't known until it receives a message
            // from the agent itself.
            let mut target = Target::new(other.agent, &other.announcement, last_message_at);
            target.receives_from_balancer =
                existing.is_some_and(|existing| existing.receives_from_balancer);
            target.received_directly = existing.is_some_and(|existing| existing.received_directly);
            target.unresponsive = existing.is_some_and(|existing| existing.unresponsive);
            target.has_predecessor = self.has_predecessor(id, target.run);
            // The announcements of another run count from 1 again.
            let same_run = existing.filter(|existing| existing.run == target.run);
            target.sequence = same_run.map_or(0, |existing| existing.sequence);
            if existing.is_none_or(|existing| existing.run != target.run) {
                self.restarted.insert(id);
            }
            let was_ended = existing.is_none_or(|existing| existing.state == TargetState::Ended);
            if was_ended && target.state != TargetState::Ended {
                self.additions += 1;
            }
            self.by_id.insert(id, target);
        }
    }

    /// Returns a digest of all targets that haven't terminated.
    pub(crate) fn digest(&self) -> u64 {
        self.iter()
            .filter(|target| target.state != TargetState::Ended)
            .fold(0, |digest, target| {
                digest ^ score(u64::from(target.id.0), target.service.0)
            })
    }

    /// Returns how often the set of targets that may hold flows has grown.
    pub(crate) const fn additions(&self) -> u64 {
        self.additions
    }

    /// Marks a target as one that may have lost its flows.
    pub(crate) fn mark_restarted(&mut self, target: TargetId) {
        self.restarted.insert(target);
    }

    /// Returns the targets that may have lost their flows since the last call.
    pub(crate) fn take_restarted(&mut self) -> BTreeSet<TargetId> {
        std::mem::take(&mut self.restarted)
    }

    /// Returns the target with this identifier.
    pub(crate) fn get(&self, id: TargetId) -> Option<&Target> {
        self.by_id.get(&id)
    }

    /// Returns the target with this identifier.
    pub(crate) fn get_mut(&mut self, id: TargetId) -> Option<&mut Target> {
        self.by_id.get_mut(&id)
    }

    /// Returns all targets.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Target> + Clone {
        self.by_id.values()
    }

    /// Removes the targets whose agents have sent no message for `max_age`, and returns the
    /// addresses of these agents.
    pub(crate) fn remove_expired(&mut self, max_age: Duration, now: Instant) -> Vec<SocketAddrV4> {
        let expired: Vec<TargetId> = self
            .iter()
            .filter(|target| now.since(target.last_message_at) >= max_age)
            .map(|target| target.id)
            .collect();
        expired
            .iter()
            .filter_map(|id| self.by_id.remove(id))
            .map(|target| target.agent)
            .collect()
    }

    /// Returns the best target for a new flow.
    ///
    /// Suspect targets are chosen only if no other target is left; `is_out_of_service` returns
    /// `true` for failure domains that get no new flows.
    pub(crate) fn select(
        &self,
        request: &FlowRequest<'_>,
        settings: &Settings,
        is_out_of_service: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Option<Placement> {
        let too_fast = self.too_fast(request.service, settings, now);
        let trial = score(request.flow.rendezvous_key(), TRIAL_SEED)
            .is_multiple_of(settings.flows_per_trial);
        let mut best: Option<(bool, f32, TargetId)> = None;
        for target in self.iter() {
            if target.service != request.service
                || target.state != TargetState::Ready
                || request.attempted.contains(target.id)
                || is_out_of_service(&target.domain)
                || now < target.rejects_until
                || (!request.attempted.may_queue && now < target.busy_until)
            {
                continue;
            }
            let suspect = target.is_suspect(settings, now);
            let mut cost = target.cost(request, settings, now);
            if !trial && too_fast.contains(&target.id) {
                cost += settings.fast_response_cost;
            }
            let better = best.is_none_or(|(best_suspect, best_cost, _)| {
                (suspect, cost) < (best_suspect, best_cost)
            });
            if better {
                best = Some((suspect, cost, target.id));
            }
        }
        best.map(|(suspect, _, target)| Placement { target, suspect })
    }

    /// Returns the targets of a service that respond much faster than the others.
    ///
    /// A backend server that fails every request at once has the lowest load, so it would get most
    /// of the flows. Packets aren't read, so its fast responses are the only sign of the failure.
    /// If many targets are that fast, the others are slow, and none is returned.
    fn too_fast(&self, service: ServiceId, settings: &Settings, now: Instant) -> Vec<TargetId> {
        let ready = |target: &&Target| {
            target.service == service
                && target.state == TargetState::Ready
                && !target.is_suspect(settings, now)
        };
        let response_times = self.iter().filter(ready);
        let mut response_times: Vec<(u16, TargetId)> = response_times
            .filter_map(|target| Some((target.load.mean_response_tenths_ms?, target.id)))
            .collect();
        response_times.sort_unstable();
        let Some((median, _)) = response_times.get(response_times.len() / 2).copied() else {
            return Vec::new();
        };
        let limit = median / settings.fast_response_ratio;
        let count = response_times
            .iter()
            .take_while(|(response_time, _)| *response_time < limit)
            .count();
        if median < settings.min_typical_response_tenths_ms || count * 3 > response_times.len() {
            return Vec::new();
        }
        response_times
            .into_iter()
            .take(count)
            .map(|(_, id)| id)
            .collect()
    }

    /// Counts the targets of a service by their availability to a new flow.
    pub(crate) fn count_by_availability(
        &self,
        service: ServiceId,
        settings: &Settings,
        is_out_of_service: impl Fn(&str) -> bool,
        now: Instant,
    ) -> TargetCounts {
        let mut counts = TargetCounts::default();
        for target in self.iter().filter(|target| target.service == service) {
            let count = if target.state != TargetState::Ready {
                &mut counts.closed
            } else if is_out_of_service(&target.domain) {
                &mut counts.out
            } else if target.is_suspect(settings, now) {
                &mut counts.doubtful
            } else {
                let age = now.since(target.last_message_at).as_millis() as u64;
                counts.age_ms = counts.age_ms.max(age);
                if now < target.rejects_until {
                    &mut counts.refusing
                } else {
                    &mut counts.open
                }
            };
            *count += 1;
        }
        counts
    }

    /// Returns the responsive target that most likely holds a flow: those in the local failure
    /// domain first, then by rendezvous ranking.
    pub(crate) fn next_candidate(
        &self,
        request: &FlowRequest<'_>,
        settings: &Settings,
        now: Instant,
    ) -> Option<TargetId> {
        self.iter()
            .filter(|target| target.service == request.service)
            .filter(|target| !request.attempted.contains(target.id))
            .filter(|target| !target.is_suspect(settings, now))
            .max_by_key(|target| {
                let local = target.domain == request.domain;
                let rank = score(request.flow.rendezvous_key(), u64::from(target.id.0));
                (local, rank)
            })
            .map(|target| target.id)
    }
}

/// Targets of a service, counted by their availability to a new flow; written to logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TargetCounts {
    /// Targets that are available.
    pub open: u16,
    /// Targets that rejected a flow very recently.
    pub refusing: u16,
    /// Targets that may not respond.
    pub doubtful: u16,
    /// Targets that are draining, have terminated, or have an unknown state.
    pub closed: u16,
    /// Targets in failure domains that are out of service.
    pub out: u16,
    /// Age of the oldest announcement of an open or refusing target, in milliseconds.
    pub age_ms: u64,
}

/// A flow that needs a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowRequest<'a> {
    /// Flow to place.
    pub(crate) flow: Flow,
    /// Service that the flow is assigned to.
    pub(crate) service: ServiceId,
    /// Targets that the packet has been sent to before.
    pub(crate) attempted: &'a AttemptedTargets,
    /// Failure domain of the balancer.
    pub(crate) domain: &'a str,
}

/// Target chosen for a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Placement {
    /// Identifier of the target.
    pub(crate) target: TargetId,
    /// `true` if the target may not respond.
    pub(crate) suspect: bool,
}
