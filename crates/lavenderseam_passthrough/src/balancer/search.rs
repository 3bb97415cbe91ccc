//! Forwarding of packets of open flows, and the search for the owner of an unknown flow.

use lavenderseam_core::time::Instant;

use super::cache::{CacheEntry, OwnerState};
use super::target::Target;
use super::targets::FlowRequest;
use super::{Balancer, DiscardReason, Verdict};
use crate::message::{AttemptedTargets, TargetId, TargetState};
use crate::segment::Segment;

impl Balancer {
    pub(super) fn handle_segment(&mut self, segment: &Segment, now: Instant) -> Verdict {
        let Some(entry) = self.cache.get(segment.flow) else {
            return self.try_next_target(segment, &AttemptedTargets::default(), now);
        };
        let Some(target) = self.targets.get_mut(entry.target) else {
            return self.try_next_target(segment, &AttemptedTargets::default(), now);
        };
        let service = target.service;
        match entry.state {
            OwnerState::Confirmed => {}
            OwnerState::SynSent => {
                // The caller acknowledges the target's SYN, so the target has responded.
                target.on_response(now);
                let state = OwnerState::Confirmed;
                self.cache
                    .insert(segment.flow, CacheEntry { state, ..entry }, now);
            }
            OwnerState::Searching => {
                if now.since(entry.first_sent) >= self.settings.response_timeout {
                    let attempted = AttemptedTargets {
                        unresponsive: vec![entry.target],
                        ..AttemptedTargets::default()
                    };
                    return self.try_next_target(segment, &attempted, now);
                }
            }
        }
        let wants_confirmation = entry.state == OwnerState::Searching;
        self.forward(
            entry.target,
            service,
            AttemptedTargets::default(),
            wants_confirmation,
        )
        .unwrap_or(Verdict::Drop(DiscardReason::NoTarget))
    }

    /// Sends a packet to the next target that may hold its flow, or resets the connection if
    /// certainly no target holds it. Drops the packet if neither is possible.
    pub(super) fn try_next_target(
        &mut self,
        segment: &Segment,
        attempted: &AttemptedTargets,
        now: Instant,
    ) -> Verdict {
        // Another packet of the flow may have found the owner in the meantime.
        if let Some(entry) = self.cache.get(segment.flow)
            && !attempted.contains(entry.target)
            && let Some(service) = self.targets.get(entry.target).map(|target| target.service)
            && let Some(verdict) = self.forward(entry.target, service, attempted.clone(), true)
        {
            return verdict;
        }
        if let Some(verdict) = self.try_candidate(segment, attempted, now) {
            return verdict;
        }
        // Once all other targets have denied the flow, targets that were unresponsive before are
        // tried again.
        if let Some(attempted) = self.without_responsive(attempted, now)
            && let Some(verdict) = self.try_candidate(segment, &attempted, now)
        {
            return verdict;
        }
        self.cache.remove(segment.flow);
        if self.is_certainly_unowned(segment, attempted, now) {
            return Verdict::Reset(DiscardReason::Unowned);
        }
        Verdict::Drop(DiscardReason::Unowned)
    }

    /// Sends a packet to the next target that may hold its flow.
    fn try_candidate(
        &mut self,
        segment: &Segment,
        attempted: &AttemptedTargets,
        now: Instant,
    ) -> Option<Verdict> {
        let candidates = self.routes.candidate_services(segment.flow);
        let next = candidates.into_iter().find_map(|service| {
            let request = FlowRequest {
                flow: segment.flow,
                service,
                attempted,
                domain: &self.identity.domain,
            };
            let target = self.targets.next_candidate(&request, &self.settings, now)?;
            Some((service, target))
        });
        let (service, target) = next?;
        let entry = CacheEntry {
            target,
            state: OwnerState::Searching,
            first_sent: now,
        };
        self.cache.insert(segment.flow, entry, now);
        self.forward(target, service, attempted.clone(), true)
    }

    /// Returns the attempted targets without those that have become responsive again, or `None` if
    /// there are none.
    fn without_responsive(
        &self,
        attempted: &AttemptedTargets,
        now: Instant,
    ) -> Option<AttemptedTargets> {
        let responsive = |target: &TargetId| {
            let target = self.targets.get(*target);
            target.is_some_and(|target| !target.is_suspect(&self.settings, now))
        };
        let mut remaining = attempted.clone();
        remaining.unresponsive.retain(|target| !responsive(target));
        (remaining.unresponsive.len() < attempted.unresponsive.len()).then_some(remaining)
    }

    /// Returns `true` if certainly no target holds the flow: every target has denied it, and no
    /// target can be unknown to this balancer.
    fn is_certainly_unowned(
        &self,
        segment: &Segment,
        attempted: &AttemptedTargets,
        now: Instant,
    ) -> bool {
        let candidates = self.routes.candidate_services(segment.flow);
        let denies = |target: &Target| {
            let suspect = target.is_suspect(&self.settings, now);
            let denied = attempted.refused.contains(&target.id) && !suspect;
            denied || (suspect && target.state == TargetState::Ended)
        };
        let mut targets = self
            .targets
            .iter()
            .filter(|target| candidates.contains(&target.service));
        self.knows_all_targets(now)
            && !segment.flags.rst
            && !candidates.is_empty()
            && targets.all(denies)
    }

    /// Returns `true` if targets may still announce themselves for the first time.
    pub(super) fn is_starting(&self, now: Instant) -> bool {
        let uptime = self
            .running_since
            .map(|running_since| now.since(running_since));
        let long_enough = uptime.is_some_and(|uptime| uptime >= self.settings.min_uptime_alone);
        !long_enough && !self.knows_all_targets(now)
    }

    /// Returns `true` if the balancer knows every target: the process has run for some time, and
    /// another balancer has since reported that it knows the same targets.
    fn knows_all_targets(&self, now: Instant) -> bool {
        let Some(running_since) = self.running_since else {
            return false;
        };
        let agreed = self
            .peers
            .last_agreement()
            .is_some_and(|agreed_at| agreed_at >= running_since);
        let uptime = now.since(running_since);
        (agreed && uptime >= self.settings.min_uptime)
            || (self.peers.is_empty() && uptime >= self.settings.min_uptime_alone)
    }
}
