//! Reference implementations of the router and the flow owners: plain lists that are searched and
//! sorted for each packet, without cache limits, shards or queues.

use std::net::SocketAddr;
use std::time::Duration;

use lavenderseam_core::flow::owner::{Action, ForwardedPacket, RESET_DELAY, UNOWNED_FLOW_TIMEOUT};
use lavenderseam_core::flow::{Hint, Key, Kind, MAX_VISITED_TARGETS, Packet, Reason};
use lavenderseam_core::id::{Domain, Group, Tag};
use lavenderseam_core::rank;
use lavenderseam_core::time::Instant;
use lavenderseam_core::view::{Candidate, Service, TargetState, View};

pub const EMBRYONIC_TIMEOUT: Duration = Duration::from_secs(5);
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Flow that a target owns.
struct OwnedFlow {
    target: Tag,
    flow: Key,
    established: bool,
    last_packet_at: Instant,
}

/// Flows of all targets.
#[derive(Default)]
pub struct ReferenceOwners {
    owned: Vec<OwnedFlow>,
    /// Packets for which a target found no owner.
    unowned: Vec<(Tag, Key, Instant)>,
}

fn ranked(service: &Service, flow: Key, wanted: impl Fn(&Candidate) -> bool) -> Vec<&Candidate> {
    let mut found: Vec<&Candidate> = service.candidates.iter().filter(|c| wanted(c)).collect();
    found.sort_by_key(|c| rank::score(flow.fold_u64(), c.tag.0));
    found.reverse();
    found
}

/// Returns the targets that are offered new flows, in order: the serving ones, or if there are
/// none, those that are down.
pub fn new_flow_targets(service: &Service, flow: Key) -> Vec<&Candidate> {
    let serving = ranked(service, flow, |c| c.state == TargetState::Serving);
    if serving.is_empty() {
        return ranked(service, flow, |c| c.state == TargetState::Down);
    }
    serving
}

/// Returns the targets that may hold existing flows, in order; targets that are down come last.
pub fn possible_owners(service: &Service, flow: Key) -> Vec<&Candidate> {
    let mut order = ranked(service, flow, |c| {
        matches!(c.state, TargetState::Serving | TargetState::Draining)
    });
    order.extend(ranked(service, flow, |c| c.state == TargetState::Down));
    order
}

impl ReferenceOwners {
    pub fn mark_established(&mut self, target: Tag, flow: Key, now: Instant) {
        self.expire(now);
        self.remove(target, flow);
        self.owned.push(OwnedFlow {
            target,
            flow,
            established: true,
            last_packet_at: now,
        });
    }

    pub fn remove(&mut self, target: Tag, flow: Key) {
        self.owned
            .retain(|owned| owned.target != target || owned.flow != flow);
    }

    pub fn release_embryonic(&mut self, target: Tag, flow: Key) {
        self.owned
            .retain(|owned| owned.target != target || owned.flow != flow || owned.established);
    }

    pub fn expire(&mut self, now: Instant) {
        self.owned.retain(|owned| {
            let timeout = if owned.established {
                IDLE_TIMEOUT
            } else {
                EMBRYONIC_TIMEOUT
            };
            now < owned.last_packet_at + timeout
        });
    }

    /// Returns the targets that own a flow in the established state.
    pub fn established_owners(&self, flow: Key) -> Vec<Tag> {
        let established = self
            .owned
            .iter()
            .filter(|owned| owned.flow == flow && owned.established);
        established.map(|owned| owned.target).collect()
    }

    pub fn holds(&self, target: Tag, flow: Key) -> bool {
        let mut owned = self.owned.iter();
        owned.any(|owned| owned.target == target && owned.flow == flow)
    }

    fn count(&self, target: Tag) -> usize {
        self.owned
            .iter()
            .filter(|owned| owned.target == target)
            .count()
    }

    pub fn handle_packet(
        &mut self,
        (target, group, domain): (Tag, &Group, &Domain),
        forwarded: &ForwardedPacket<'_>,
        view: &View,
        now: Instant,
        admits: bool,
    ) -> (Action, Option<Hint>) {
        self.expire(now);
        let action = self.decide((target, group, domain), forwarded, view, now, admits);
        let packet = &forwarded.packet;
        let hinted = matches!(action, Action::Deliver { .. })
            && packet.token.is_none()
            && (packet.kind == Kind::Opener || !forwarded.visited.is_empty());
        let hint = hinted.then(|| Hint {
            flow: packet.flow,
            owner: target,
            established: self.established_owners(packet.flow).contains(&target),
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
        let gaps = times.windows(2).map(|two| two[1].since(two[0]));
        let start = gaps.collect::<Vec<_>>();
        let start = start.iter().rposition(|gap| *gap >= UNOWNED_FLOW_TIMEOUT);
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
        forwarded: &ForwardedPacket<'_>,
        view: &View,
        now: Instant,
        admits: bool,
    ) -> Action {
        let packet = &forwarded.packet;
        if view.is_domain_out(domain) {
            return Action::Drop(Reason::DomainOut);
        }
        let Some(service) = view.service_at(packet.service) else {
            return Action::Drop(Reason::UnknownService);
        };
        if service.group != *group {
            return Action::Drop(Reason::OtherService);
        }
        if forwarded.visited.contains(&target) {
            return Action::Drop(Reason::Loop);
        }
        let visited = |tag: Tag| tag == target || forwarded.visited.contains(&tag);
        let pass = |next: Tag, peer: SocketAddr| {
            if forwarded.visited.len() + 2 > MAX_VISITED_TARGETS {
                return Action::Drop(Reason::HopLimit);
            }
            Action::Forward {
                next,
                peer,
                visited: [forwarded.visited, &[target]].concat(),
                revision: view.revision().max(forwarded.revision),
            }
        };
        let revision = forwarded.revision;
        if let Some(token) = packet.token {
            if token.owner == target {
                return Action::Deliver { opened: false };
            }
            return match view.target_by_tag(token.owner) {
                None => Action::Drop(Reason::UnknownOwner),
                Some(owner) if owner.group != *group => Action::Drop(Reason::ForeignToken),
                Some(owner) if owner.state == TargetState::Out => {
                    self.reset(target, packet.flow, revision > view.revision(), now)
                }
                Some(owner) if visited(owner.tag) => Action::Drop(Reason::Loop),
                Some(owner) => pass(owner.tag, owner.peer),
            };
        }
        if self.holds(target, packet.flow) {
            for owned in &mut self.owned {
                if owned.target == target && owned.flow == packet.flow {
                    owned.last_packet_at = now;
                }
            }
            return Action::Deliver { opened: false };
        }
        let order = if packet.kind == Kind::Opener {
            let own = view.target_by_tag(target);
            if admits && own.is_none_or(|own| own.state != TargetState::Draining) {
                self.owned.push(OwnedFlow {
                    target,
                    flow: packet.flow,
                    established: false,
                    last_packet_at: now,
                });
                return Action::Deliver { opened: true };
            }
            new_flow_targets(service, packet.flow)
        } else {
            possible_owners(service, packet.flow)
        };
        match order.iter().find(|c| !visited(c.tag)) {
            Some(next) => pass(next.tag, next.peer),
            None if packet.kind == Kind::Opener => Action::Refuse,
            None => self.reset(target, packet.flow, revision > view.revision(), now),
        }
    }
}

/// Event from which a reference balancer derives the owner of a flow; later events replace earlier
/// ones.
#[derive(Clone, Copy, PartialEq)]
pub enum Event {
    Sent(Instant),
    Hinted { established: bool },
    Retried,
}

/// Reference implementation of a balancer.
#[derive(Default)]
pub struct ReferenceBalancer {
    events: Vec<(Key, Tag, Event)>,
}

impl ReferenceBalancer {
    fn owner(&self, flow: Key) -> Option<(Tag, Event)> {
        let mut events = self.events.iter().rev();
        let (_, owner, event) = events.find(|(cached, ..)| *cached == flow)?;
        Some((*owner, *event))
    }

    /// Returns the targets that may be chosen: one, or for a new flow all that accept new flows.
    pub fn packet(&self, packet: &Packet, view: &View) -> Result<Vec<Tag>, Reason> {
        let service = view
            .service_at(packet.service)
            .ok_or(Reason::UnknownService)?;
        let order = possible_owners(service, packet.flow);
        let first = order.first().map(|c| c.tag);
        if let Some(token) = packet.token {
            let owner = view.target_by_tag(token.owner);
            if owner.is_some_and(|owner| owner.group != service.group) {
                return Err(Reason::ForeignToken);
            }
            let alive = owner.is_some_and(|owner| owner.state != TargetState::Out);
            let target = if alive { Some(token.owner) } else { first };
            return target.map(|target| vec![target]).ok_or(Reason::NoTarget);
        }
        let cached = self.owner(packet.flow);
        let cached = cached.filter(|(owner, _)| order.iter().any(|c| c.tag == *owner));
        match (cached, packet.kind) {
            (Some((owner, _)), Kind::Continuing) => Ok(vec![owner]),
            (None, Kind::Continuing) => first.map(|first| vec![first]).ok_or(Reason::NoTarget),
            (Some((owner, Event::Hinted { .. } | Event::Retried)), Kind::Opener) => Ok(vec![owner]),
            (_, Kind::Opener) => {
                let new_flow_targets = new_flow_targets(service, packet.flow);
                if new_flow_targets.is_empty() {
                    return Err(Reason::NoTarget);
                }
                Ok(new_flow_targets.iter().map(|target| target.tag).collect())
            }
        }
    }

    /// Records the target to which an opening packet was sent.
    pub fn sent(&mut self, flow: Key, target: Tag, now: Instant) {
        let event = match self.owner(flow) {
            Some((owner, Event::Hinted { .. } | Event::Retried)) if owner == target => {
                Event::Retried
            }
            Some((owner, Event::Sent(since))) if owner == target => Event::Sent(since),
            _ => Event::Sent(now),
        };
        self.events.push((flow, target, event));
    }

    /// Applies a hint; returns the owner that lost the flow.
    pub fn hint(&mut self, hint: &Hint) -> Option<Tag> {
        let event = Event::Hinted {
            established: hint.established,
        };
        let cached = self.owner(hint.flow);
        let event = (hint.flow, hint.owner, event);
        match cached {
            Some((owner, Event::Hinted { established })) if owner != hint.owner => {
                let score = |tag: Tag| rank::score(hint.flow.fold_u64(), tag.0);
                let wins = match (established, hint.established) {
                    (true, true) => {
                        self.events.push(event);
                        return None;
                    }
                    (false, false) => score(hint.owner) > score(owner),
                    (false, true) => true,
                    (true, false) => false,
                };
                if wins {
                    self.events.push(event);
                }
                Some(if wins { owner } else { hint.owner })
            }
            Some((owner, Event::Hinted { established: true })) if owner == hint.owner => None,
            _ => {
                self.events.push(event);
                None
            }
        }
    }
}
