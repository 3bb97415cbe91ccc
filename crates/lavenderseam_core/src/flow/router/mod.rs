//! The balancer's side: which target a packet is forwarded to.
//!
//! A balancer holds only soft state, so any may die. In this order:
//! 1. a packet with a token goes to the token's owner, without a look at any state;
//! 2. a packet of a cached flow goes to the cached owner;
//! 3. a packet that continues an unknown flow starts the walk over the targets that may hold it,
//!    in rendezvous order; the agents pass it on until it reaches the owner;
//! 4. an opener goes to one of the two targets that rank first for its flow, by their loads.
//!
//! Hints of the agents fill the cache and tell loads. Losing them costs hops, never flows, so a
//! balancer asks only for as many as its budget of control traffic allows.
//!
//! Threads share a router: the cache is divided into shards, each under its own lock, and the
//! loads have a lock of their own that is taken while a shard's is held, never the other way.

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
use cache::{Cache, Line, State};
use load::Loads;
pub use lock::{Guard, Locking, System};

/// Bounds of a router's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Shards of the cache.
    pub shards: usize,
    /// Flows that the cache holds, over all shards.
    pub capacity: usize,
    /// How long a target may leave openers unanswered.
    pub silence: Duration,
    /// Hints that are asked for in a second, for openers and for packets that walk each.
    pub hint_rate: u32,
}

/// A target, and whether its agent is asked for a hint.
struct Choice<'a> {
    target: &'a Candidate,
    asks: bool,
}

/// What becomes of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// It is forwarded with an empty trail.
    Forward {
        /// The target.
        target: Tag,
        /// Address of its agent for sealed frames.
        peer: SocketAddr,
        /// Whether the agent is asked for a hint.
        asks: bool,
    },
    /// It is dropped.
    Drop(Reason),
}

/// Tells the losing one of two owners to give a flow up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Yield {
    /// The flow.
    pub flow: Key,
    /// The owner that lost.
    pub loser: Tag,
    /// Address of its agent for sealed frames.
    pub peer: SocketAddr,
}

/// The routing state of one balancer, shared by its threads.
pub struct Router<L: Locking = System> {
    shards: Vec<L::Guard<Cache>>,
    loads: L::Guard<Loads>,
    silence: Duration,
}

impl<L: Locking> Router<L> {
    /// A router without state.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let count = settings.shards.max(1);
        let capacity = settings.capacity.div_ceil(count);
        let shards = (0..count)
            .map(|_| L::Guard::new(Cache::new(capacity)))
            .collect();
        Self {
            shards,
            loads: L::Guard::new(Loads::new(settings.silence, settings.hint_rate)),
            silence: settings.silence,
        }
    }

    /// Decides a packet.
    pub fn packet(&self, packet: &Packet, view: &View, now: Instant) -> Action {
        match self.decide(packet, view, now) {
            Ok(Choice { target, asks }) => Action::Forward {
                target: target.tag,
                peer: target.peer,
                asks,
            },
            Err(reason) => Action::Drop(reason),
        }
    }

    /// Notes who owns a flow; returns whom to tell that it lost the flow.
    pub fn hint(&self, hint: &Hint, view: &View, now: Instant) -> Option<Yield> {
        let (displaced, walked) = self.shard(hint.flow).with(|cache| {
            let held = cache.get(hint.flow).map(|line| line.state);
            let opened = matches!(held, Some(State::Tentative | State::Doubted));
            (take_hint(cache, hint), !opened)
        });
        let (tentative, loser) = match displaced {
            Displaced::Nobody => (None, None),
            Displaced::Tentative(target) => (Some(target), None),
            Displaced::Loser(target) => (None, Some(target)),
        };
        self.loads.with(|loads| {
            loads.answered(hint.owner, Some(hint.flows), now);
            if walked {
                loads.walked();
            }
            // Whoever was sent the opener has passed it on, so it is alive.
            if let Some(target) = tentative {
                loads.answered(target, None, now);
            }
        });
        let loser = view.target(loser?)?;
        Some(Yield {
            flow: hint.flow,
            loser: loser.tag,
            peer: loser.peer,
        })
    }

    /// Notes the open flows of a target that has answered a probe.
    pub fn load(&self, target: Tag, flows: u32, now: Instant) {
        self.loads
            .with(|loads| loads.answered(target, Some(flows), now));
    }

    /// Forgets the loads of targets that are not in the view; to be called with every new view.
    pub fn retain(&self, view: &View) {
        self.loads.with(|loads| loads.retain(view));
    }

    /// Flows in the cache.
    #[must_use]
    pub fn cached(&self) -> usize {
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
        let service = view.service(packet.service).ok_or(Reason::UnknownService)?;
        if let Some(token) = packet.token {
            let target = token_owner(packet.flow, token, service, view)?;
            let asks = false;
            return Ok(Choice { target, asks });
        }
        match packet.kind {
            Kind::Opener => self.opener(packet.flow, service, now),
            Kind::Continuing => self.continuing(packet.flow, service, now),
        }
    }

    fn continuing<'a>(
        &self,
        flow: Key,
        service: &'a Service,
        now: Instant,
    ) -> Result<Choice<'a>, Reason> {
        let cached = self
            .shard(flow)
            .with(|cache| cache.get(flow).map(|line| line.owner));
        if let Some(target) = cached.and_then(|owner| holder(service, owner)) {
            let asks = false;
            return Ok(Choice { target, asks });
        }
        let target = order::first_holder(service, flow, |_| false).ok_or(Reason::NoTarget)?;
        let asks = self.loads.with(|loads| loads.asks_of_walk(now));
        Ok(Choice { target, asks })
    }

    fn opener<'a>(
        &self,
        flow: Key,
        service: &'a Service,
        now: Instant,
    ) -> Result<Choice<'a>, Reason> {
        self.shard(flow).with(|cache| {
            let line = cache.get(flow);
            if let Some(target) = line.and_then(|line| self.repeated(line, service, now))
                && let Some(line) = cache.get_mut(flow)
            {
                line.repeat(now);
                let asks = true;
                return Ok(Choice { target, asks });
            }
            let silent = line.map(|line| line.owner);
            let (target, asks) = self
                .loads
                .with(|loads| loads.choose(flow, service, silent, now))
                .ok_or(Reason::NoTarget)?;
            let asked = asks.then_some(now);
            cache.insert(flow, Line::tentative(target.tag, asked));
            Ok(Choice { target, asks })
        })
    }

    /// The target that an opener of a cached flow is sent to again, if it still fits.
    fn repeated<'a>(
        &self,
        line: Line,
        service: &'a Service,
        now: Instant,
    ) -> Option<&'a Candidate> {
        let target = holder(service, line.owner)?;
        if line.state != State::Tentative {
            return Some(target);
        }
        let silent = line
            .asked
            .is_some_and(|asked| now.since(asked) >= self.silence);
        (!silent && target.takes_flows()).then_some(target)
    }

    fn shard(&self, flow: Key) -> &L::Guard<Cache> {
        // The low half selects the shard, the high half the set within it.
        let index = (flow.0 as u64 % self.shards.len() as u64) as usize;
        &self.shards[index]
    }
}

/// What a hint displaced from the cache.
enum Displaced {
    Nobody,
    /// The target that an opener was sent to.
    Tentative(Tag),
    /// The owner that has to give the flow up.
    Loser(Tag),
}

fn take_hint(cache: &mut Cache, hint: &Hint) -> Displaced {
    let line = Line::hinted(hint);
    let Some(held) = cache.get(hint.flow) else {
        cache.insert(hint.flow, line);
        return Displaced::Nobody;
    };
    if held.owner == hint.owner {
        // Hints may arrive late, so one never takes an established flow back.
        if held.state != State::Established {
            cache.insert(hint.flow, line);
        }
        return Displaced::Nobody;
    }
    let wins = match (held.state, line.state) {
        (State::Tentative, _) => {
            cache.insert(hint.flow, line);
            return Displaced::Tentative(held.owner);
        }
        (State::Doubted, _) | (State::Established, State::Established) => {
            cache.insert(hint.flow, line);
            return Displaced::Nobody;
        }
        (State::Established, _) => false,
        (State::Embryonic, State::Established) => true,
        (State::Embryonic, _) => {
            order::score(hint.flow, hint.owner) > order::score(hint.flow, held.owner)
        }
    };
    if wins {
        cache.insert(hint.flow, line);
        Displaced::Loser(held.owner)
    } else {
        Displaced::Loser(hint.owner)
    }
}

/// The target that a packet with a token is sent to.
///
/// If the owner is unknown or out, an agent that may know more decides: it passes the packet on or
/// resets the flow, so that the caller needn't wait for a timeout.
fn token_owner<'a>(
    flow: Key,
    token: Token,
    service: &'a Service,
    view: &'a View,
) -> Result<&'a Candidate, Reason> {
    if let Some(owner) = view.target(token.owner) {
        if owner.group != service.group {
            return Err(Reason::ForeignToken);
        }
        if owner.holds_flows() {
            return Ok(owner);
        }
    }
    order::first_holder(service, flow, |_| false).ok_or(Reason::NoTarget)
}

/// The target of the service with this tag, if it may hold flows.
fn holder(service: &Service, tag: Tag) -> Option<&Candidate> {
    service
        .candidates
        .iter()
        .find(|candidate| candidate.tag == tag)
        .filter(|candidate| candidate.holds_flows())
}

impl<L: Locking> Default for Router<L> {
    fn default() -> Self {
        Self::new(Settings::default())
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            shards: 16,
            capacity: 1 << 19,
            silence: Duration::from_millis(300),
            hint_rate: 30,
        }
    }
}
