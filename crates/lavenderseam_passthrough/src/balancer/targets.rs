//! The targets that a balancer has heard of, and which of them a new flow goes to.
//!
//! The pattern answered: flows come in steadily and each costs its target a slot for a short
//! while, so the target with the smallest share of its slots in use is best; reports are older
//! than most of the work they tell of, so the balancer adds what it sent since. Another failure
//! domain is used once the own one is busier by a margin.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use lavenderseam_core::rank::score;
use lavenderseam_core::time::Instant;
use serde::Serialize;

use super::Settings;
use super::target::Target;
use crate::flow::Flow;
use crate::message::{Announcement, Known, ServiceTag, Standing, Tag, Trail};

/// The targets known.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    by_tag: BTreeMap<Tag, Target>,
}

/// Keeps the draw of a trial apart from the ranking of targets, which uses the same word.
const TRIAL_SEED: u64 = 0x5452_4941_4c53;

/// How an announcement changed what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// Only the load, or nothing.
    Same,
    /// The target is new or has another standing or service.
    Changed,
    /// The announcement is older than one heard before.
    Late,
}

impl Targets {
    /// Takes an announcement.
    pub(crate) fn announced(
        &mut self,
        agent: SocketAddrV4,
        announcement: &Announcement,
        now: Instant,
    ) -> Change {
        let tag = Tag::new(agent);
        let service = ServiceTag::new(&announcement.service);
        let Some(held) = self.by_tag.get_mut(&tag) else {
            let target = Target::new(agent, announcement, now);
            self.by_tag.insert(tag, target);
            return Change::Changed;
        };
        if held.run == announcement.run && announcement.count <= held.count {
            return Change::Late;
        }
        let changed = held.standing != announcement.standing
            || held.service != service
            || held.domain != announcement.domain;
        held.run = announcement.run;
        held.count = announcement.count;
        held.hears = announcement.hears;
        held.heard_here = true;
        held.service = service;
        held.name.clone_from(&announcement.service);
        held.standing = announcement.standing;
        held.domain.clone_from(&announcement.domain);
        held.reported(announcement.load, now);
        if changed {
            Change::Changed
        } else {
            Change::Same
        }
    }

    /// The targets, as other balancers are told.
    pub(crate) fn known(&self, now: Instant) -> Vec<Known> {
        let known = |target: &Target| Known {
            agent: target.agent,
            age_ms: now.since(target.heard).as_millis() as u64,
            announcement: target.announcement(),
        };
        self.iter().map(known).collect()
    }

    /// Takes what another balancer knows; only what it heard later than this one did counts.
    pub(crate) fn merge(&mut self, known: &[Known], now: Instant) {
        for other in known {
            let heard = now - Duration::from_millis(other.age_ms);
            let tag = Tag::new(other.agent);
            let held = self.by_tag.get(&tag);
            if held.is_some_and(|held| held.heard >= heard) {
                continue;
            }
            // Nothing says that this balancer reaches the agent until it is heard here.
            let mut target = Target::new(other.agent, &other.announcement, heard);
            target.hears = held.is_some_and(|held| held.hears);
            target.heard_here = held.is_some_and(|held| held.heard_here);
            target.silent = held.is_some_and(|held| held.silent);
            target.count = held.map_or(0, |held| held.count);
            self.by_tag.insert(tag, target);
        }
    }

    /// Digest of the targets that haven't ended.
    pub(crate) fn digest(&self) -> u64 {
        self.iter()
            .filter(|target| target.standing != Standing::Ended)
            .fold(0, |digest, target| {
                digest ^ score(u64::from(target.tag.0), target.service.0)
            })
    }

    /// The target with a tag.
    pub(crate) fn get(&self, tag: Tag) -> Option<&Target> {
        self.by_tag.get(&tag)
    }

    /// The target with a tag.
    pub(crate) fn get_mut(&mut self, tag: Tag) -> Option<&mut Target> {
        self.by_tag.get_mut(&tag)
    }

    /// All targets.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Target> + Clone {
        self.by_tag.values()
    }

    /// Forgets agents that haven't been heard for a span, and returns them.
    pub(crate) fn forget(&mut self, span: Duration, now: Instant) -> Vec<SocketAddrV4> {
        let gone: Vec<Tag> = self
            .iter()
            .filter(|target| now.since(target.heard) >= span)
            .map(|target| target.tag)
            .collect();
        gone.iter()
            .filter_map(|tag| self.by_tag.remove(tag))
            .map(|target| target.agent)
            .collect()
    }

    /// The best target for a new flow.
    ///
    /// Targets that may not answer are taken only if nothing else is left; `is_out` tells the
    /// failure domains that get no new flows.
    pub(crate) fn choose(
        &self,
        request: &Request<'_>,
        settings: &Settings,
        is_out: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Option<Choice> {
        let hasty = self.hasty(request.service, settings, now);
        let trial = score(request.flow.word(), TRIAL_SEED).is_multiple_of(settings.trials);
        let mut best: Option<(bool, f32, Tag)> = None;
        for target in self.iter() {
            if target.service != request.service
                || target.standing != Standing::Ready
                || request.trail.visited(target.tag)
                || is_out(&target.domain)
                || now < target.full
                || (!request.trail.queues && now < target.busy)
            {
                continue;
            }
            let doubtful = target.is_doubtful(settings, now);
            let mut cost = target.cost(request, settings, now);
            if !trial && hasty.contains(&target.tag) {
                cost += settings.hasty;
            }
            let better = best.is_none_or(|(best_doubtful, best_cost, _)| {
                (doubtful, cost) < (best_doubtful, best_cost)
            });
            if better {
                best = Some((doubtful, cost, target.tag));
            }
        }
        best.map(|(doubtful, _, tag)| Choice { tag, doubtful })
    }

    /// The targets of a service that answer far sooner than the others.
    ///
    /// The pattern answered: a backend server that fails every request at once is the least busy
    /// one, so it would be given most of them. Packets aren't read, so its haste is all that shows
    /// it. If many are that fast, the others are slow, and none is set apart.
    fn hasty(&self, service: ServiceTag, settings: &Settings, now: Instant) -> Vec<Tag> {
        let ready = |target: &&Target| {
            target.service == service
                && target.standing == Standing::Ready
                && !target.is_doubtful(settings, now)
        };
        let waits = self.iter().filter(ready);
        let mut waits: Vec<(u16, Tag)> = waits
            .filter_map(|target| Some((target.load.wait?, target.tag)))
            .collect();
        waits.sort_unstable();
        let Some((typical, _)) = waits.get(waits.len() / 2).copied() else {
            return Vec::new();
        };
        let limit = typical / settings.haste;
        let count = waits.iter().take_while(|(wait, _)| *wait < limit).count();
        if typical < settings.typical || count * 3 > waits.len() {
            return Vec::new();
        }
        waits.into_iter().take(count).map(|(_, tag)| tag).collect()
    }

    /// The targets of a service by what stands in the way of a new flow.
    pub(crate) fn tally(
        &self,
        service: ServiceTag,
        settings: &Settings,
        is_out: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Tally {
        let mut tally = Tally::default();
        for target in self.iter().filter(|target| target.service == service) {
            let count = if target.standing != Standing::Ready {
                &mut tally.closed
            } else if is_out(&target.domain) {
                &mut tally.out
            } else if target.is_doubtful(settings, now) {
                &mut tally.doubtful
            } else {
                let age = now.since(target.heard).as_millis() as u64;
                tally.age_ms = tally.age_ms.max(age);
                if now < target.full {
                    &mut tally.refusing
                } else {
                    &mut tally.open
                }
            };
            *count += 1;
        }
        tally
    }

    /// The next target that may hold a flow: those that answer first, then the own failure
    /// domain's, then by rendezvous order.
    pub(crate) fn holder(
        &self,
        request: &Request<'_>,
        settings: &Settings,
        now: Instant,
    ) -> Option<Tag> {
        self.iter()
            .filter(|target| target.service == request.service)
            .filter(|target| !request.trail.visited(target.tag))
            .max_by_key(|target| {
                let near = target.domain == request.domain;
                let rank = score(request.flow.word(), u64::from(target.tag.0));
                (!target.is_doubtful(settings, now), near, rank)
            })
            .map(|target| target.tag)
    }
}

/// The targets of a service by what stands in the way of a new flow, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// Targets that would be offered one.
    pub open: u16,
    /// Targets that have refused one in the last moments.
    pub refusing: u16,
    /// Targets that may not answer.
    pub doubtful: u16,
    /// Targets that are draining, have ended or weren't heard yet.
    pub closed: u16,
    /// Targets in failure domains that are out.
    pub out: u16,
    /// Age of the oldest announcement behind this, in milliseconds; those of closed and doubtful
    /// targets don't count.
    pub age_ms: u64,
}

/// A flow that needs a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request<'a> {
    /// The flow.
    pub(crate) flow: Flow,
    /// Service that it is for.
    pub(crate) service: ServiceTag,
    /// Where it has been.
    pub(crate) trail: &'a Trail,
    /// Failure domain of the balancer.
    pub(crate) domain: &'a str,
}

/// The target of a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Choice {
    /// The target.
    pub(crate) tag: Tag,
    /// Whether it may not answer.
    pub(crate) doubtful: bool,
}
