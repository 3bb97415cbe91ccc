//! Naive versions of the router and of all owners: plain lists, searched and sorted for every
//! packet, without cache bounds, shards or queues.

use std::net::SocketAddr;
use std::time::Duration;

use lavenderseam_core::flow::owner::{Action, Arrival, RESET_DELAY, RESET_MEMORY};
use lavenderseam_core::flow::{Hint, Key, Kind, Packet, Reason, TRAIL_LIMIT};
use lavenderseam_core::id::{Domain, Group, Tag};
use lavenderseam_core::rank;
use lavenderseam_core::time::Instant;
use lavenderseam_core::view::{Candidate, Service, Standing, View};

pub const EMBRYONIC: Duration = Duration::from_secs(5);
pub const IDLE: Duration = Duration::from_secs(20);

/// A flow that a target holds.
struct Held {
    target: Tag,
    flow: Key,
    established: bool,
    touched: Instant,
}

/// The flows of all targets.
#[derive(Default)]
pub struct Owners {
    held: Vec<Held>,
    /// Packets that ended at a target without an owner.
    unowned: Vec<(Tag, Key, Instant)>,
}

fn ranked(service: &Service, flow: Key, wanted: impl Fn(&Candidate) -> bool) -> Vec<&Candidate> {
    let mut found: Vec<&Candidate> = service.candidates.iter().filter(|c| wanted(c)).collect();
    found.sort_by_key(|c| rank::score(flow.word(), c.tag.0));
    found.reverse();
    found
}

/// Targets offered new flows, in order: those that serve, or if there are none, those down.
pub fn takers(service: &Service, flow: Key) -> Vec<&Candidate> {
    let serving = ranked(service, flow, |c| c.standing == Standing::Serving);
    if serving.is_empty() {
        return ranked(service, flow, |c| c.standing == Standing::Down);
    }
    serving
}

/// Targets that may hold flows, in order: first those that aren't down.
pub fn holders(service: &Service, flow: Key) -> Vec<&Candidate> {
    let mut order = ranked(service, flow, |c| {
        matches!(c.standing, Standing::Serving | Standing::Draining)
    });
    order.extend(ranked(service, flow, |c| c.standing == Standing::Down));
    order
}

impl Owners {
    pub fn established(&mut self, target: Tag, flow: Key, now: Instant) {
        self.expire(now);
        self.closed(target, flow);
        self.held.push(Held {
            target,
            flow,
            established: true,
            touched: now,
        });
    }

    pub fn closed(&mut self, target: Tag, flow: Key) {
        self.held
            .retain(|held| held.target != target || held.flow != flow);
    }

    pub fn yielded(&mut self, target: Tag, flow: Key) {
        self.held
            .retain(|held| held.target != target || held.flow != flow || held.established);
    }

    pub fn expire(&mut self, now: Instant) {
        self.held.retain(|held| {
            let span = if held.established { IDLE } else { EMBRYONIC };
            now < held.touched + span
        });
    }

    /// Targets that hold a flow which its caller follows.
    pub fn followed(&self, flow: Key) -> Vec<Tag> {
        let followed = self.held.iter().filter(|h| h.flow == flow && h.established);
        followed.map(|held| held.target).collect()
    }

    pub fn holds(&self, target: Tag, flow: Key) -> bool {
        let mut held = self.held.iter();
        held.any(|held| held.target == target && held.flow == flow)
    }

    fn count(&self, target: Tag) -> usize {
        self.held.iter().filter(|h| h.target == target).count()
    }

    pub fn arrival(
        &mut self,
        (target, group, domain): (Tag, &Group, &Domain),
        arrival: &Arrival<'_>,
        view: &View,
        now: Instant,
        admits: bool,
    ) -> (Action, Option<Hint>) {
        self.expire(now);
        let action = self.decide((target, group, domain), arrival, view, now, admits);
        let packet = &arrival.packet;
        let hinted = matches!(action, Action::Deliver { .. })
            && packet.token.is_none()
            && (packet.kind == Kind::Opener || !arrival.trail.is_empty());
        let hint = hinted.then(|| Hint {
            flow: packet.flow,
            owner: target,
            established: self.followed(packet.flow).contains(&target),
            flows: u32::try_from(self.count(target)).unwrap(),
        });
        (action, hint)
    }

    fn reset(&mut self, target: Tag, flow: Key, stale: bool, now: Instant) -> Action {
        if stale {
            return Action::Drop(Reason::StaleView);
        }
        self.unowned.push((target, flow, now));
        let of = |entry: &&(Tag, Key, Instant)| entry.0 == target && entry.1 == flow;
        let times: Vec<Instant> = self
            .unowned
            .iter()
            .filter(of)
            .map(|entry| entry.2)
            .collect();
        let pauses = times.windows(2).map(|two| two[1].since(two[0]));
        let start = pauses.collect::<Vec<_>>();
        let start = start.iter().rposition(|pause| *pause >= RESET_MEMORY);
        let first = times[start.map_or(0, |index| index + 1)];
        if now.since(first) >= RESET_DELAY {
            Action::Reset
        } else {
            Action::Drop(Reason::Unowned)
        }
    }

    fn decide(
        &mut self,
        (target, group, domain): (Tag, &Group, &Domain),
        arrival: &Arrival<'_>,
        view: &View,
        now: Instant,
        admits: bool,
    ) -> Action {
        let packet = &arrival.packet;
        if view.is_out(domain) {
            return Action::Drop(Reason::DomainOut);
        }
        let Some(service) = view.service(packet.service) else {
            return Action::Drop(Reason::UnknownService);
        };
        if service.group != *group {
            return Action::Drop(Reason::OtherService);
        }
        if arrival.trail.contains(&target) {
            return Action::Drop(Reason::Loop);
        }
        let visited = |tag: Tag| tag == target || arrival.trail.contains(&tag);
        let pass = |next: Tag, peer: SocketAddr| {
            if arrival.trail.len() + 2 > TRAIL_LIMIT {
                return Action::Drop(Reason::HopLimit);
            }
            Action::Pass {
                next,
                peer,
                trail: [arrival.trail, &[target]].concat(),
                revision: view.revision().max(arrival.revision),
            }
        };
        let revision = arrival.revision;
        if let Some(token) = packet.token {
            if token.owner == target {
                return Action::Deliver { opened: false };
            }
            return match view.target(token.owner) {
                None => Action::Drop(Reason::UnknownOwner),
                Some(owner) if owner.group != *group => Action::Drop(Reason::ForeignToken),
                Some(owner) if owner.standing == Standing::Out => {
                    self.reset(target, packet.flow, revision > view.revision(), now)
                }
                Some(owner) if visited(owner.tag) => Action::Drop(Reason::Loop),
                Some(owner) => pass(owner.tag, owner.peer),
            };
        }
        if self.holds(target, packet.flow) {
            for held in &mut self.held {
                if held.target == target && held.flow == packet.flow {
                    held.touched = now;
                }
            }
            return Action::Deliver { opened: false };
        }
        let order = if packet.kind == Kind::Opener {
            let own = view.target(target);
            if admits && own.is_none_or(|own| own.standing != Standing::Draining) {
                self.held.push(Held {
                    target,
                    flow: packet.flow,
                    established: false,
                    touched: now,
                });
                return Action::Deliver { opened: true };
            }
            takers(service, packet.flow)
        } else {
            holders(service, packet.flow)
        };
        match order.iter().find(|c| !visited(c.tag)) {
            Some(next) => pass(next.tag, next.peer),
            None if packet.kind == Kind::Opener => Action::Refuse,
            None => self.reset(target, packet.flow, revision > view.revision(), now),
        }
    }
}

/// What a naive balancer was told of a flow; a later line replaces an earlier one.
#[derive(Clone, Copy, PartialEq)]
pub enum Told {
    Sent(Instant),
    Hinted { established: bool },
    SentAgain,
}

/// A naive balancer.
#[derive(Default)]
pub struct Balancer {
    told: Vec<(Key, Tag, Told)>,
}

impl Balancer {
    fn owner(&self, flow: Key) -> Option<(Tag, Told)> {
        let mut told = self.told.iter().rev();
        let (_, owner, told) = told.find(|(known, ..)| *known == flow)?;
        Some((*owner, *told))
    }

    /// The targets that may be chosen: one, or for a new flow the first two.
    pub fn packet(&self, packet: &Packet, view: &View) -> Result<Vec<Tag>, Reason> {
        let service = view.service(packet.service).ok_or(Reason::UnknownService)?;
        let order = holders(service, packet.flow);
        let first = order.first().map(|c| c.tag);
        if let Some(token) = packet.token {
            let owner = view.target(token.owner);
            if owner.is_some_and(|owner| owner.group != service.group) {
                return Err(Reason::ForeignToken);
            }
            let alive = owner.is_some_and(|owner| owner.standing != Standing::Out);
            let target = if alive { Some(token.owner) } else { first };
            return target.map(|target| vec![target]).ok_or(Reason::NoTarget);
        }
        let known = self.owner(packet.flow);
        let known = known.filter(|(owner, _)| order.iter().any(|c| c.tag == *owner));
        match (known, packet.kind) {
            (Some((owner, _)), Kind::Continuing) => Ok(vec![owner]),
            (None, Kind::Continuing) => first.map(|first| vec![first]).ok_or(Reason::NoTarget),
            (Some((owner, Told::Hinted { .. } | Told::SentAgain)), Kind::Opener) => Ok(vec![owner]),
            (_, Kind::Opener) => {
                let takers = takers(service, packet.flow);
                if takers.is_empty() {
                    return Err(Reason::NoTarget);
                }
                Ok(takers.iter().map(|taker| taker.tag).collect())
            }
        }
    }

    /// Notes where an opener was sent.
    pub fn sent(&mut self, flow: Key, target: Tag, now: Instant) {
        let told = match self.owner(flow) {
            Some((owner, Told::Hinted { .. } | Told::SentAgain)) if owner == target => {
                Told::SentAgain
            }
            Some((owner, Told::Sent(since))) if owner == target => Told::Sent(since),
            _ => Told::Sent(now),
        };
        self.told.push((flow, target, told));
    }

    /// Takes a hint; returns the owner that lost the flow.
    pub fn hint(&mut self, hint: &Hint) -> Option<Tag> {
        let told = Told::Hinted {
            established: hint.established,
        };
        let known = self.owner(hint.flow);
        let line = (hint.flow, hint.owner, told);
        match known {
            Some((owner, Told::Hinted { established })) if owner != hint.owner => {
                let score = |tag: Tag| rank::score(hint.flow.word(), tag.0);
                let wins = match (established, hint.established) {
                    (true, true) => {
                        self.told.push(line);
                        return None;
                    }
                    (false, false) => score(hint.owner) > score(owner),
                    (false, true) => true,
                    (true, false) => false,
                };
                if wins {
                    self.told.push(line);
                }
                Some(if wins { owner } else { hint.owner })
            }
            Some((owner, Told::Hinted { established: true })) if owner == hint.owner => None,
            _ => {
                self.told.push(line);
                None
            }
        }
    }
}
