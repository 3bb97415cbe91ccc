//! Where packets of open flows go, and how the owner of an unknown one is found.

use lavenderseam_core::time::Instant;

use super::cache::{Line, State};
use super::target::Target;
use super::targets::Request;
use super::{Balancer, Cause, Verdict};
use crate::message::{Standing, Tag, Trail};
use crate::segment::Segment;

impl Balancer {
    pub(super) fn continuing(&mut self, segment: &Segment, now: Instant) -> Verdict {
        let Some(line) = self.cache.get(segment.flow) else {
            return self.search(segment, &Trail::default(), now);
        };
        let Some(target) = self.targets.get_mut(line.tag) else {
            return self.search(segment, &Trail::default(), now);
        };
        let service = target.service;
        match line.state {
            State::Confirmed => {}
            State::Opening => {
                // The caller answers what the target sent, so the target has answered.
                target.answered(now);
                let state = State::Confirmed;
                self.cache.insert(segment.flow, Line { state, ..line }, now);
            }
            State::Searching => {
                if now.since(line.since) >= self.settings.silence {
                    let trail = Trail {
                        silent: vec![line.tag],
                        ..Trail::default()
                    };
                    return self.search(segment, &trail, now);
                }
            }
        }
        let asks = line.state == State::Searching;
        self.forward(line.tag, service, Trail::default(), asks)
            .unwrap_or(Verdict::Drop(Cause::NoTarget))
    }

    /// Tries the next target that may hold a flow.
    pub(super) fn search(&mut self, segment: &Segment, trail: &Trail, now: Instant) -> Verdict {
        // Another packet of the flow may have found the owner meanwhile.
        if let Some(line) = self.cache.get(segment.flow)
            && !trail.visited(line.tag)
            && let Some(service) = self.targets.get(line.tag).map(|target| target.service)
            && let Some(verdict) = self.forward(line.tag, service, trail.clone(), true)
        {
            return verdict;
        }
        if let Some(verdict) = self.try_holder(segment, trail, now) {
            return verdict;
        }
        // A target that was silent before is asked again once all others have denied the flow.
        if let Some(trail) = self.without_silent(trail, now)
            && let Some(verdict) = self.try_holder(segment, &trail, now)
        {
            return verdict;
        }
        self.cache.remove(segment.flow);
        if self.is_certainly_unowned(segment, trail, now) {
            return Verdict::Reset(Cause::Unowned);
        }
        Verdict::Drop(Cause::Unowned)
    }

    /// Sends a packet to the next target that may hold its flow.
    fn try_holder(&mut self, segment: &Segment, trail: &Trail, now: Instant) -> Option<Verdict> {
        let holders = self.routes.holders(segment.flow);
        let next = holders.into_iter().find_map(|service| {
            let request = Request {
                flow: segment.flow,
                service,
                trail,
                domain: &self.place.domain,
            };
            let tag = self.targets.holder(&request, &self.settings, now)?;
            Some((service, tag))
        });
        let (service, tag) = next?;
        let line = Line {
            tag,
            state: State::Searching,
            since: now,
        };
        self.cache.insert(segment.flow, line, now);
        self.forward(tag, service, trail.clone(), true)
    }

    /// The trail without the silent targets that are heard now; none if there are none.
    fn without_silent(&self, trail: &Trail, now: Instant) -> Option<Trail> {
        let heard = |tag: &Tag| {
            let target = self.targets.get(*tag);
            target.is_some_and(|target| !target.is_doubtful(&self.settings, now))
        };
        let mut rest = trail.clone();
        rest.silent.retain(|tag| !heard(tag));
        (rest.silent.len() < trail.silent.len()).then_some(rest)
    }

    /// Whether nobody holds a flow: every target has said so, and none may be unknown here.
    fn is_certainly_unowned(&self, segment: &Segment, trail: &Trail, now: Instant) -> bool {
        let holders = self.routes.holders(segment.flow);
        let denies = |target: &Target| {
            let doubtful = target.is_doubtful(&self.settings, now);
            let denied = trail.refused.contains(&target.tag) && !doubtful;
            denied || (doubtful && target.standing == Standing::Ended)
        };
        let mut targets = self
            .targets
            .iter()
            .filter(|target| holders.contains(&target.service));
        self.has_settled(now) && !segment.flags.rst && !holders.is_empty() && targets.all(denies)
    }

    /// Whether targets may still announce themselves for the first time.
    pub(super) fn is_starting(&self, now: Instant) -> bool {
        let ran = self.started.map(|started| now.since(started));
        let long = ran.is_some_and(|ran| ran >= self.settings.alone);
        !long && !self.has_settled(now)
    }

    /// Whether every target is known: the process has run for a while, and another balancer has
    /// said since that it knows the same ones.
    fn has_settled(&self, now: Instant) -> bool {
        let Some(started) = self.started else {
            return false;
        };
        let agreed = self.peers.agreed().is_some_and(|agreed| agreed >= started);
        let ran = now.since(started);
        (agreed && ran >= self.settings.settled)
            || (self.peers.is_empty() && ran >= self.settings.alone)
    }
}
