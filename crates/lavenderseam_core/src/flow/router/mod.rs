//! Packet routing on a balancer: which target a packet is forwarded to.
//!
//! A balancer holds only soft state, so any balancer may fail without breaking flows. It selects
//! the target of a packet by the first rule that applies:
//! 1. a packet with a token goes to the owner that the token names, without a cache lookup;
//! 2. a packet of a cached flow goes to the cached owner;
//! 3. a packet of an unknown existing flow goes to the highest-ranked target that may own the flow;
//!    the agents forward it in rendezvous order until it reaches the owner;
//! 4. an opening packet goes to one of the two highest-ranked targets of its flow, by their loads.
//!
//! Hints from agents fill the cache and report loads. A lost hint costs extra hops but never breaks
//! a flow, so a balancer requests only as many hints as its budget for control traffic allows.
//!
//! Threads share a router. The cache is divided into shards, each with its own lock. The load
//! estimates have a separate lock, which may be acquired while a shard is locked, but not the other
//! way around, to prevent deadlocks.

mod cache;
mod load;
mod lock;

use std::net::SocketAddr;
use std::time::Duration;

use super::packet::{Kind, Packet, Reason};
use super::{Hint, Key, Token, order};
use crate::id::Tag;
use crate::time::Instant;
use crate::view::{Candidate, Service, View};
use cache::{Cache, CacheEntry, State};
use load::Loads;
pub use lock::{Lock, LockFamily, StdLocks};

/// Limits and timeouts of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Number of shards of the cache.
    pub shard_count: usize,
    /// Maximum number of cached flows, over all shards.
    pub capacity: usize,
    /// How long to wait for the answer to an opening packet.
    pub answer_timeout: Duration,
    /// Maximum number of hint requests per second; applies separately to opening packets and to
    /// packets of flows with an unknown owner.
    pub hints_per_second: u32,
}

/// A chosen target, and whether to request a hint from its agent.
struct Choice<'a> {
    target: &'a Candidate,
    requests_hint: bool,
}

/// What the balancer does with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Forward the packet, with an empty list of visited targets.
    Forward {
        /// Target to forward to.
        target: Tag,
        /// Address at which the agent of that target receives sealed frames.
        peer: SocketAddr,
        /// `true` if an ownership hint is requested from the agent.
        requests_hint: bool,
    },
    /// Drop the packet.
    Drop(Reason),
}

/// Request to the losing one of two owners to remove a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowRelease {
    /// Flow to remove.
    pub flow: Key,
    /// Target that lost the flow to another owner.
    pub losing_owner: Tag,
    /// Address at which the agent of that target receives sealed frames.
    pub peer: SocketAddr,
}

/// Routing state of one balancer, shared by its threads.
pub struct Router<L: LockFamily = StdLocks> {
    shards: Vec<L::Lock<Cache>>,
    loads: L::Lock<Loads>,
    answer_timeout: Duration,
}

impl<L: LockFamily> Router<L> {
    /// Creates a router with an empty cache and no load estimates.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let count = settings.shard_count.max(1);
        let capacity = settings.capacity.div_ceil(count);
        let shards = (0..count)
            .map(|_| L::Lock::new(Cache::new(capacity)))
            .collect();
        Self {
            shards,
            loads: L::Lock::new(Loads::new(
                settings.answer_timeout,
                settings.hints_per_second,
            )),
            answer_timeout: settings.answer_timeout,
        }
    }

    /// Decides where to forward a packet.
    pub fn route(&self, packet: &Packet, view: &View, now: Instant) -> Action {
        match self.decide(packet, view, now) {
            Ok(Choice {
                target,
                requests_hint,
            }) => Action::Forward {
                target: target.tag,
                peer: target.peer,
                requests_hint,
            },
            Err(reason) => Action::Drop(reason),
        }
    }

    /// Applies an ownership hint. If two targets claim the flow, returns the request to send to the
    /// one that lost.
    pub fn apply_hint(&self, hint: &Hint, view: &View, now: Instant) -> Option<FlowRelease> {
        let (displaced, is_lookup_hint) = self.shard(hint.flow).with(|cache| {
            let cached = cache.get(hint.flow).map(|entry| entry.state);
            let awaited = matches!(cached, Some(State::Tentative | State::Unverified));
            (apply_hint(cache, hint), !awaited)
        });
        let (tentative, losing_owner) = match displaced {
            DisplacedClaim::Nothing => (None, None),
            DisplacedClaim::Tentative(target) => (Some(target), None),
            DisplacedClaim::LosingOwner(target) => (None, Some(target)),
        };
        self.loads.with(|loads| {
            loads.record_answer(hint.owner, Some(hint.flows), now);
            if is_lookup_hint {
                loads.charge_lookup_hint();
            }
            // The target that received the opening packet has forwarded it, so it is alive.
            if let Some(target) = tentative {
                loads.record_answer(target, None, now);
            }
        });
        let losing_owner = view.target_by_tag(losing_owner?)?;
        Some(FlowRelease {
            flow: hint.flow,
            losing_owner: losing_owner.tag,
            peer: losing_owner.peer,
        })
    }

    /// Records the number of open flows that a target reported in its answer to a probe.
    pub fn record_load(&self, target: Tag, flows: u32, now: Instant) {
        self.loads
            .with(|loads| loads.record_answer(target, Some(flows), now));
    }

    /// Removes the load estimates of targets that aren't in the view. Must be called for every new
    /// view.
    pub fn retain_targets(&self, view: &View) {
        self.loads.with(|loads| loads.retain(view));
    }

    /// Returns the number of cached flows.
    #[must_use]
    pub fn cached_flow_count(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| shard.with(|cache| cache.len()))
            .sum()
    }

    fn decide<'a>(
        &self,
        packet: &Packet,
        view: &'a View,
        now: Instant,
    ) -> Result<Choice<'a>, Reason> {
        let service = view
            .service_at(packet.service)
            .ok_or(Reason::UnknownService)?;
        if let Some(token) = packet.token {
            let target = route_by_token(packet.flow, token, service, view)?;
            let requests_hint = false;
            return Ok(Choice {
                target,
                requests_hint,
            });
        }
        match packet.kind {
            Kind::Opener => self.route_opener(packet.flow, service, now),
            Kind::Continuing => self.route_continuing(packet.flow, service, now),
        }
    }

    fn route_continuing<'a>(
        &self,
        flow: Key,
        service: &'a Service,
        now: Instant,
    ) -> Result<Choice<'a>, Reason> {
        let cached = self
            .shard(flow)
            .with(|cache| cache.get(flow).map(|entry| entry.owner));
        if let Some(target) = cached.and_then(|owner| find_flow_holder(service, owner)) {
            let requests_hint = false;
            return Ok(Choice {
                target,
                requests_hint,
            });
        }
        let target =
            order::first_possible_owner(service, flow, |_| false).ok_or(Reason::NoTarget)?;
        let requests_hint = self.loads.with(|loads| loads.requests_lookup_hint(now));
        Ok(Choice {
            target,
            requests_hint,
        })
    }

    fn route_opener<'a>(
        &self,
        flow: Key,
        service: &'a Service,
        now: Instant,
    ) -> Result<Choice<'a>, Reason> {
        self.shard(flow).with(|cache| {
            let entry = cache.get(flow);
            if let Some(target) =
                entry.and_then(|entry| self.retransmission_target(entry, service, now))
                && let Some(entry) = cache.get_mut(flow)
            {
                entry.record_retransmission(now);
                let requests_hint = true;
                return Ok(Choice {
                    target,
                    requests_hint,
                });
            }
            let unresponsive = entry.map(|entry| entry.owner);
            let (target, requests_hint) = self
                .loads
                .with(|loads| loads.choose(flow, service, unresponsive, now))
                .ok_or(Reason::NoTarget)?;
            let hint_requested_at = requests_hint.then_some(now);
            cache.insert(flow, CacheEntry::tentative(target.tag, hint_requested_at));
            Ok(Choice {
                target,
                requests_hint,
            })
        })
    }

    /// Returns the target to which a retransmitted opening packet of a cached flow is sent again,
    /// or `None` if another target must be chosen.
    fn retransmission_target<'a>(
        &self,
        entry: CacheEntry,
        service: &'a Service,
        now: Instant,
    ) -> Option<&'a Candidate> {
        let target = find_flow_holder(service, entry.owner)?;
        if entry.state != State::Tentative {
            return Some(target);
        }
        let timed_out = entry
            .hint_requested_at
            .is_some_and(|requested_at| now.since(requested_at) >= self.answer_timeout);
        (!timed_out && target.accepts_new_flows()).then_some(target)
    }

    fn shard(&self, flow: Key) -> &L::Lock<Cache> {
        // The low half of the key selects the shard and the high half the set within its cache, so
        // that the two are independent.
        let index = (flow.0 as u64 % self.shards.len() as u64) as usize;
        &self.shards[index]
    }
}

/// Previous claim on a flow that a hint replaced or overruled.
enum DisplacedClaim {
    Nothing,
    /// An unconfirmed target to which an opening packet was sent.
    Tentative(Tag),
    /// The owner that has to remove the flow.
    LosingOwner(Tag),
}

fn apply_hint(cache: &mut Cache, hint: &Hint) -> DisplacedClaim {
    let entry = CacheEntry::from_hint(hint);
    let Some(cached) = cache.get(hint.flow) else {
        cache.insert(hint.flow, entry);
        return DisplacedClaim::Nothing;
    };
    if cached.owner == hint.owner {
        // Hints may be delayed, so an older one must not downgrade an established flow.
        if cached.state != State::Established {
            cache.insert(hint.flow, entry);
        }
        return DisplacedClaim::Nothing;
    }
    let wins = match (cached.state, entry.state) {
        (State::Tentative, _) => {
            cache.insert(hint.flow, entry);
            return DisplacedClaim::Tentative(cached.owner);
        }
        (State::Unverified, _) | (State::Established, State::Established) => {
            cache.insert(hint.flow, entry);
            return DisplacedClaim::Nothing;
        }
        (State::Established, _) => false,
        (State::Embryonic, State::Established) => true,
        (State::Embryonic, _) => {
            order::score(hint.flow, hint.owner) > order::score(hint.flow, cached.owner)
        }
    };
    if wins {
        cache.insert(hint.flow, entry);
        DisplacedClaim::LosingOwner(cached.owner)
    } else {
        DisplacedClaim::LosingOwner(hint.owner)
    }
}

/// Returns the target for a packet with a token.
///
/// If the owner is unknown or out of service, the packet goes to the highest-ranked target that may
/// hold flows. Its agent may have a newer view: it forwards the packet or resets the flow, so that
/// the caller doesn't have to wait for a timeout.
fn route_by_token<'a>(
    flow: Key,
    token: Token,
    service: &'a Service,
    view: &'a View,
) -> Result<&'a Candidate, Reason> {
    if let Some(owner) = view.target_by_tag(token.owner) {
        if owner.group != service.group {
            return Err(Reason::ForeignToken);
        }
        if owner.accepts_established_flows() {
            return Ok(owner);
        }
    }
    order::first_possible_owner(service, flow, |_| false).ok_or(Reason::NoTarget)
}

/// Returns the target of the service with this tag, if it may hold flows.
fn find_flow_holder(service: &Service, tag: Tag) -> Option<&Candidate> {
    service
        .candidates
        .iter()
        .find(|candidate| candidate.tag == tag)
        .filter(|candidate| candidate.accepts_established_flows())
}

impl<L: LockFamily> Default for Router<L> {
    fn default() -> Self {
        Self::new(Settings::default())
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            shard_count: 16,
            capacity: 1 << 19,
            answer_timeout: Duration::from_millis(300),
            hints_per_second: 30,
        }
    }
}
