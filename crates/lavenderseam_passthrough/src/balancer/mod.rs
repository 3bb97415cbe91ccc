//! The balancer's decisions: which agent a packet goes to.
//!
//! 1. A packet of a known flow goes to the target that the flow was sent to.
//! 2. An opener goes to the target with the smallest share of its slots in use.
//! 3. A packet that continues an unknown flow is tried at one target after the other, because
//!    only agents know who holds it.
//!
//! An agent that can't take a packet returns it, and the balancer tries the next target. A caller
//! is reset only when that is certainly true: every target refused the opener, or the backend
//! server that held the flow has ended. Everything else is left to the caller's retransmission.

mod cache;
mod peers;
mod routes;
mod settings;
mod targets;
mod verdict;

use std::net::SocketAddrV4;
use std::time::Duration;

use lavenderseam_core::catalog::Revision;
use lavenderseam_core::time::Instant;

use crate::desired::{Desired, Outs, Roster};
use crate::flow::Flow;
use crate::message::{
    Announcement, Carry, Gossip, Held, Known, Reason, Returned, ServiceTag, Standing, TRAIL_LIMIT,
    Tag, Trail, Welcome,
};
use crate::segment::Segment;
use cache::{Cache, Line, State};
use peers::Peers;
use routes::Routes;
pub use settings::Settings;
pub use targets::Tally;
use targets::{Change, Request, Targets};
pub use verdict::{Cause, Verdict};

/// Time between two ticks that means that the process stood still, so what it knows is old.
const PAUSE: Duration = Duration::from_millis(1_000);

/// Where a balancer runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its failure domain.
    pub domain: String,
    /// Its address for messages between processes.
    pub address: SocketAddrV4,
    /// Its address for remote calls.
    pub rpc: SocketAddrV4,
}

/// What a balancer is to do as time passes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send gossip.
    Gossip {
        /// The peer.
        to: SocketAddrV4,
        /// What it is told.
        gossip: Gossip,
    },
    /// Ask another balancer for its records.
    Fetch {
        /// Its address for remote calls.
        rpc: SocketAddrV4,
    },
    /// An agent has been silent for long and is forgotten.
    Forgot {
        /// Its address.
        agent: SocketAddrV4,
    },
}

/// What changed by an announcement.
#[derive(Clone, Debug, PartialEq)]
pub struct Announced {
    /// The answer to the agent.
    pub welcome: Welcome,
    /// Whether the balancer now sees the target differently.
    pub changed: bool,
}

/// The decisions of one balancer.
#[derive(Debug)]
pub struct Balancer {
    place: Place,
    settings: Settings,
    desired: Option<Desired>,
    routes: Routes,
    outs: Outs,
    targets: Targets,
    cache: Cache,
    peers: Peers,
    gossiped: Instant,
    /// When time first passed here, or went on after a pause.
    started: Option<Instant>,
    ticked: Instant,
}

impl Balancer {
    /// A balancer that knows nothing yet.
    #[must_use]
    pub fn new(place: Place) -> Self {
        Self::with_settings(place, Settings::default())
    }

    /// A balancer with other bounds.
    #[must_use]
    pub fn with_settings(place: Place, settings: Settings) -> Self {
        Self {
            place,
            desired: None,
            routes: Routes::default(),
            outs: Outs::default(),
            targets: Targets::default(),
            cache: Cache::new(settings.memory, settings.capacity),
            peers: Peers::default(),
            gossiped: Instant::default(),
            started: None,
            ticked: Instant::default(),
            settings,
        }
    }

    /// Decides a packet of a caller.
    pub fn packet(&mut self, segment: &Segment, now: Instant) -> Verdict {
        if self.desired.is_none() {
            return Verdict::Drop(Cause::Unconfigured);
        }
        if segment.is_opener() {
            self.opener(segment, now)
        } else if segment.flags.syn {
            Verdict::Drop(Cause::Unexpected)
        } else {
            self.continuing(segment, now)
        }
    }

    /// Decides a packet that an agent returned.
    pub fn returned(
        &mut self,
        segment: &Segment,
        returned: Returned,
        agent: SocketAddrV4,
        now: Instant,
    ) -> Verdict {
        let tag = Tag::new(agent);
        if let Some(target) = self.targets.get_mut(tag) {
            target.reported(returned.load, now);
            let queues = returned.carry.trail.queues;
            target.refused(returned.reason, queues, &self.settings, now);
        }
        let mut trail = returned.carry.trail;
        match returned.reason {
            Reason::Ended => return self.ended(segment),
            Reason::Busy => trail.busy.push(tag),
            _ => trail.refused.push(tag),
        }
        if trail.len() >= TRAIL_LIMIT {
            return Verdict::Drop(Cause::HopLimit);
        }
        if segment.is_opener() {
            self.choose(segment, trail, now)
        } else {
            self.search(segment, trail, now)
        }
    }

    /// Notes that an agent holds a flow.
    pub fn held(&mut self, held: &Held, agent: SocketAddrV4, now: Instant) {
        let tag = Tag::new(agent);
        if let Some(target) = self.targets.get_mut(tag) {
            target.reported(held.load, now);
        }
        let line = Line {
            tag,
            state: State::Confirmed,
            since: now,
        };
        self.cache.insert(held.flow, line, now);
    }

    /// Takes an agent's announcement.
    pub fn announced(
        &mut self,
        announcement: &Announcement,
        agent: SocketAddrV4,
        now: Instant,
    ) -> Announced {
        let change = self.targets.announced(agent, announcement, now);
        let desired = self.desired.as_ref();
        let service = desired.and_then(|desired| desired.services.get(&announcement.service));
        let welcome = Welcome {
            balancers: self.balancers(),
            revision: self.revision(),
            known: service.is_some(),
            outs: self.outs.revision,
            out: self.outs.domains.contains(&announcement.domain),
            cold_rate: service.and_then(|service| service.cold_rate),
            connections: service.and_then(|service| service.connections),
        };
        Announced {
            welcome,
            changed: change == Change::Changed,
        }
    }

    /// Takes another balancer's gossip.
    pub fn gossiped(&mut self, gossip: &Gossip, from: SocketAddrV4, now: Instant) {
        self.peers.heard(from, gossip, self.place.address, now);
        let own = self.gossip();
        self.peers.compare(gossip, &own, now);
    }

    /// Notes a balancer to begin with.
    pub fn seed(&mut self, peer: SocketAddrV4, now: Instant) {
        if peer != self.place.address {
            self.peers.insert(peer, now);
        }
    }

    /// Takes a desired state; returns whether it is newer than the one held.
    pub fn desire(&mut self, desired: Desired) -> bool {
        if self.desired.is_some() && desired.revision <= self.revision() {
            return false;
        }
        self.routes = Routes::new(&desired);
        self.desired = Some(desired);
        true
    }

    /// Takes the failure domains that are out; returns whether they are newer.
    pub fn take_outs(&mut self, outs: Outs) -> bool {
        if outs.revision <= self.outs.revision {
            return false;
        }
        self.outs = outs;
        true
    }

    /// The targets known, for other balancers.
    #[must_use]
    pub fn known(&self, now: Instant) -> Vec<Known> {
        self.targets.known(now)
    }

    /// Takes the targets that another balancer knows.
    pub fn merge(&mut self, known: &[Known], now: Instant) {
        self.targets.merge(known, now);
    }

    /// Takes the balancers that have registered with the store.
    pub fn enroll(&mut self, roster: &Roster, now: Instant) {
        let mut balancers = roster.balancers.clone();
        balancers.remove(&self.place.address);
        self.peers.registered(&balancers, now);
    }

    /// Lets time pass; to be called several times a second.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        if now.since(self.ticked) >= PAUSE {
            self.started = Some(now);
        }
        self.ticked = now;
        let forgotten = self.targets.forget(self.settings.forget, now);
        let mut actions: Vec<_> = forgotten
            .into_iter()
            .map(|agent| Action::Forgot { agent })
            .collect();
        if now.since(self.gossiped) >= self.settings.gossip {
            self.gossiped = now;
            let gossip = self.gossip();
            for to in self.peers.round(now) {
                let gossip = gossip.clone();
                actions.push(Action::Gossip { to, gossip });
            }
        }
        if let Some(rpc) = self.peers.ask(self.settings.behind, now) {
            actions.push(Action::Fetch { rpc });
        }
        actions
    }

    /// Whether it can serve: it knows the desired state and reaches a target that takes flows.
    #[must_use]
    pub fn is_ready(&self, now: Instant) -> bool {
        let serves = |target: &targets::Target| target.serves(&self.settings, now);
        self.desired.is_some() && self.targets.iter().any(serves)
    }

    /// The desired state held.
    #[must_use]
    pub const fn desired(&self) -> Option<&Desired> {
        self.desired.as_ref()
    }

    /// The failure domains that are out.
    #[must_use]
    pub const fn outs(&self) -> &Outs {
        &self.outs
    }

    /// What a decision about a new flow rests on.
    #[must_use]
    pub fn tally(&self, flow: Flow, now: Instant) -> Tally {
        let Some(service) = self.routes.service(flow) else {
            return Tally::default();
        };
        let is_out = |domain: &str| self.outs.domains.contains(domain);
        self.targets.tally(service, &self.settings, is_out, now)
    }

    /// Flows remembered.
    #[must_use]
    pub fn flows(&self) -> usize {
        self.cache.len()
    }

    fn revision(&self) -> Revision {
        self.desired
            .as_ref()
            .map_or(Revision::default(), |desired| desired.revision)
    }

    fn gossip(&self) -> Gossip {
        Gossip {
            desired: self.revision(),
            outs: self.outs.revision,
            targets: self.targets.digest(),
            rpc: Some(self.place.rpc),
            balancers: self.balancers(),
        }
    }

    fn balancers(&self) -> Vec<SocketAddrV4> {
        let own = std::iter::once(self.place.address);
        own.chain(self.peers.all()).collect()
    }

    fn opener(&mut self, segment: &Segment, now: Instant) -> Verdict {
        if let Some(verdict) = self.repeated(segment, now) {
            return verdict;
        }
        self.choose(segment, Trail::default(), now)
    }

    /// Sends a repeated opener to the same target, unless that one doesn't answer.
    fn repeated(&mut self, segment: &Segment, now: Instant) -> Option<Verdict> {
        let line = self.cache.get(segment.flow)?;
        let service = self.routes.service(segment.flow)?;
        let target = self.targets.get_mut(line.tag)?;
        let open = target.standing == Standing::Ready || line.state == State::Confirmed;
        if target.service != service || !open {
            return None;
        }
        if line.state != State::Confirmed && target.repeated(&self.settings, now) {
            return None;
        }
        self.forward(line.tag, service, Trail::default(), false)
    }

    /// Sends an opener to the best target that it hasn't been at.
    fn choose(&mut self, segment: &Segment, mut trail: Trail, now: Instant) -> Verdict {
        let Some(service) = self.routes.service(segment.flow) else {
            return Verdict::Reset(Cause::NoRoute);
        };
        let mut choice = self.next(segment, service, &trail, now);
        if choice.is_none() && !trail.queues {
            trail.queues = true;
            trail.busy.clear();
            choice = self.next(segment, service, &trail, now);
        }
        let Some(choice) = choice else {
            return self.refuse(segment, service, &trail, now);
        };
        if choice.doubtful && !trail.queues {
            // A target that answers is better, even if the flow has to wait there.
            let mut waits = trail.clone();
            waits.queues = true;
            waits.busy.clear();
            if let Some(choice) = self.best(segment, service, &waits, now) {
                return self.open(segment, service, choice.tag, waits, now);
            }
        }
        self.open(segment, service, choice.tag, trail, now)
    }

    /// The best target for an opener that hasn't been tried often enough.
    fn next(
        &self,
        segment: &Segment,
        service: ServiceTag,
        trail: &Trail,
        now: Instant,
    ) -> Option<targets::Choice> {
        if trail.busy.len() >= self.settings.tries {
            return None;
        }
        self.best(segment, service, trail, now)
    }

    fn best(
        &self,
        segment: &Segment,
        service: ServiceTag,
        trail: &Trail,
        now: Instant,
    ) -> Option<targets::Choice> {
        let request = Request {
            flow: segment.flow,
            service,
            trail,
            domain: &self.place.domain,
        };
        let is_out = |domain: &str| self.outs.domains.contains(domain);
        self.targets.choose(&request, &self.settings, is_out, now)
    }

    fn open(
        &mut self,
        segment: &Segment,
        service: ServiceTag,
        tag: Tag,
        trail: Trail,
        now: Instant,
    ) -> Verdict {
        if let Some(target) = self.targets.get_mut(tag) {
            target.opened(&self.settings, now);
        }
        let line = Line {
            tag,
            state: State::Opening,
            since: now,
        };
        self.cache.insert(segment.flow, line, now);
        let asks = !trail.is_empty();
        self.forward(tag, service, trail, asks)
            .unwrap_or(Verdict::Drop(Cause::NoTarget))
    }

    /// Tells the caller that no target takes its flow, if that is certain.
    ///
    /// A target that doesn't answer may hold the flow since an earlier copy. While targets may
    /// still announce themselves, the caller's next copy may find one.
    fn refuse(
        &mut self,
        segment: &Segment,
        service: ServiceTag,
        trail: &Trail,
        now: Instant,
    ) -> Verdict {
        self.cache.remove(segment.flow);
        let of_service = |target: &&targets::Target| target.service == service;
        let mut targets = self.targets.iter().filter(of_service);
        let ready = targets
            .clone()
            .any(|target| target.standing == Standing::Ready);
        let unknown = targets
            .clone()
            .any(|target| target.standing == Standing::Unknown);
        if !self.has_settled(now) || (!ready && unknown) {
            return Verdict::Drop(Cause::NotHeard);
        }
        if !ready {
            return Verdict::Reset(Cause::NoTarget);
        }
        let unheard = |target: &targets::Target| {
            target.standing != Standing::Ended && !trail.visited(target.tag)
        };
        if segment.is_repeated_opener() && targets.any(unheard) {
            return Verdict::Drop(Cause::Unanswered);
        }
        Verdict::Reset(Cause::AllRefused)
    }

    fn continuing(&mut self, segment: &Segment, now: Instant) -> Verdict {
        let Some(line) = self.cache.get(segment.flow) else {
            return self.search(segment, Trail::default(), now);
        };
        let Some(target) = self.targets.get_mut(line.tag) else {
            return self.search(segment, Trail::default(), now);
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
                    return self.search(segment, trail, now);
                }
            }
        }
        let asks = line.state == State::Searching;
        self.forward(line.tag, service, Trail::default(), asks)
            .unwrap_or(Verdict::Drop(Cause::NoTarget))
    }

    /// Tries the next target that may hold a flow.
    fn search(&mut self, segment: &Segment, trail: Trail, now: Instant) -> Verdict {
        // Another packet of the flow may have found the owner meanwhile.
        if let Some(line) = self.cache.get(segment.flow)
            && !trail.visited(line.tag)
            && let Some(service) = self.targets.get(line.tag).map(|target| target.service)
            && let Some(verdict) = self.forward(line.tag, service, trail.clone(), true)
        {
            return verdict;
        }
        if let Some(verdict) = self.try_holder(segment, &trail, now) {
            return verdict;
        }
        // A target that was silent before is asked again once all others have denied the flow.
        if let Some(trail) = self.without_silent(&trail, now)
            && let Some(verdict) = self.try_holder(segment, &trail, now)
        {
            return verdict;
        }
        self.cache.remove(segment.flow);
        if self.is_certainly_unowned(segment, &trail, now) {
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
        let denies = |target: &targets::Target| {
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

    /// The backend server that held the flow has ended.
    fn ended(&mut self, segment: &Segment) -> Verdict {
        self.cache.remove(segment.flow);
        if segment.flags.rst {
            return Verdict::Drop(Cause::Ended);
        }
        Verdict::Reset(Cause::Ended)
    }

    fn forward(&self, tag: Tag, service: ServiceTag, trail: Trail, asks: bool) -> Option<Verdict> {
        let agent = self.targets.get(tag)?.agent;
        let carry = Carry {
            service,
            asks,
            trail,
        };
        Some(Verdict::Forward { agent, carry })
    }
}
