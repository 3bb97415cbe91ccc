//! The agent's side: which flows end here, and where the other packets go.
//!
//! The truth about a flow lives with its owner. An agent that is handed a packet of a flow that it
//! doesn't own passes it on with the trail of the targets visited, so a packet visits each target
//! at most once and ends at the owner, at a refusal, at a reset, or is dropped for a typed reason.
//!
//! A new flow is embryonic until the transport reports [`Owner::established`], because openers
//! repeated over balancers with unequal views may reach two agents; the caller follows only one of
//! them, and the other entry expires or is given up by [`Owner::yielded`]. An established flow
//! that the transport has reported ends with [`Owner::closed`].
//!
//! Packets with a token of this target are delivered whatever the table holds: the transport
//! knows its connections, also after the caller's address has changed, and resets those it
//! doesn't know.

mod table;
mod unowned;

use std::net::SocketAddr;
use std::time::Duration;

use super::order;
use super::packet::{Kind, Packet, Reason, TRAIL_LIMIT};
use super::{Hint, Key, Token};
use crate::catalog::Revision;
use crate::id::{Domain, Group, Tag};
use crate::time::Instant;
use crate::view::{Service, Standing, View};
use table::Table;
use unowned::Unowned;
pub use unowned::{RESET_DELAY, RESET_MEMORY};

/// Bounds of an owner's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a flow stays embryonic.
    pub embryonic: Duration,
    /// How long an established flow may be silent; none if the transport reports each end.
    pub idle: Option<Duration>,
    /// Flows held at once; openers beyond it aren't admitted.
    pub limit: usize,
}

/// A packet as forwarded to this agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival<'a> {
    /// The packet.
    pub packet: Packet,
    /// Targets visited before this one, in order.
    pub trail: &'a [Tag],
    /// Highest revision among the views of those that forwarded it.
    pub revision: Revision,
}

/// What becomes of a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The transport here takes it.
    Deliver {
        /// Whether it has just opened the flow here.
        opened: bool,
    },
    /// Another target takes it.
    Pass {
        /// The target.
        next: Tag,
        /// Address of its agent for sealed frames.
        peer: SocketAddr,
        /// Targets visited, this one included.
        trail: Vec<Tag>,
        /// Revision to forward with.
        revision: Revision,
    },
    /// No target admits the flow: the caller is told at once.
    Refuse,
    /// Nobody owns the flow: the caller is told to give it up.
    Reset,
    /// It is dropped.
    Drop(Reason),
}

/// An action, and the hint to send beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// What becomes of the packet.
    pub action: Action,
    /// What the balancer that took the packet in is told, if anything.
    pub hint: Option<Hint>,
}

/// The flows of one agent.
#[derive(Clone, Debug)]
pub struct Owner {
    target: Tag,
    group: Group,
    domain: Domain,
    table: Table,
    unowned: Unowned,
}

impl Owner {
    /// The owner side of a target, without flows.
    #[must_use]
    pub fn new(target: Tag, group: Group, domain: Domain) -> Self {
        Self::with_settings(target, group, domain, Settings::default())
    }

    /// The owner side of a target with other bounds.
    #[must_use]
    pub fn with_settings(target: Tag, group: Group, domain: Domain, settings: Settings) -> Self {
        Self {
            target,
            group,
            domain,
            table: Table::new(settings),
            unowned: Unowned::default(),
        }
    }

    /// Decides a packet; `admits` says whether the backend server can bear another flow now.
    ///
    /// An agent that leaves or that operators drain admits nothing, whatever `admits` says.
    pub fn arrival(
        &mut self,
        arrival: &Arrival<'_>,
        view: &View,
        now: Instant,
        admits: bool,
    ) -> Decision {
        self.table.expire(now);
        match self.decide(arrival, view, now, admits) {
            Ok(action) => self.with_hint(action, arrival),
            Err(reason) => Decision {
                action: Action::Drop(reason),
                hint: None,
            },
        }
    }

    /// The transport reports that the caller follows this owner; it will report the end too.
    pub fn established(&mut self, flow: Key, now: Instant) {
        self.table.establish(flow, now);
    }

    /// The transport reports the end of a flow.
    pub fn closed(&mut self, flow: Key) {
        self.table.remove(flow);
    }

    /// Gives an embryonic flow up, because another owner has won it or its packets don't fit what
    /// was sent from here. An established flow is kept. Returns whether the flow was given up.
    pub fn yielded(&mut self, flow: Key) -> bool {
        self.table.remove_embryonic(flow)
    }

    /// Forgets flows that have expired.
    pub fn expire(&mut self, now: Instant) {
        self.table.expire(now);
    }

    /// Open flows, embryonic ones included.
    #[must_use]
    pub fn flows(&self) -> u32 {
        u32::try_from(self.table.len()).unwrap_or(u32::MAX)
    }

    /// Whether the flow is held here.
    #[must_use]
    pub fn owns(&self, flow: Key) -> bool {
        self.table.contains(flow)
    }

    fn decide(
        &mut self,
        arrival: &Arrival<'_>,
        view: &View,
        now: Instant,
        admits: bool,
    ) -> Result<Action, Reason> {
        if view.is_out(&self.domain) {
            return Err(Reason::DomainOut);
        }
        let packet = &arrival.packet;
        let service = view.service(packet.service).ok_or(Reason::UnknownService)?;
        if service.group != self.group {
            return Err(Reason::OtherService);
        }
        if arrival.trail.contains(&self.target) {
            return Err(Reason::Loop);
        }
        if let Some(token) = packet.token {
            return self.decide_token(arrival, token, view, now);
        }
        if self.table.touch(packet.flow, now) {
            return Ok(Action::Deliver { opened: false });
        }
        match packet.kind {
            Kind::Opener => self.decide_opener(arrival, service, view, now, admits),
            Kind::Continuing => self.walk(arrival, service, view, now),
        }
    }

    fn decide_token(
        &mut self,
        arrival: &Arrival<'_>,
        token: Token,
        view: &View,
        now: Instant,
    ) -> Result<Action, Reason> {
        if token.owner == self.target {
            return Ok(Action::Deliver { opened: false });
        }
        let Some(owner) = view.target(token.owner) else {
            return Err(Reason::UnknownOwner);
        };
        if owner.group != self.group {
            return Err(Reason::ForeignToken);
        }
        if !owner.holds_flows() {
            return self.reset(arrival, view, now);
        }
        if arrival.trail.contains(&token.owner) {
            return Err(Reason::Loop);
        }
        self.pass(arrival, owner.tag, owner.peer, view)
    }

    fn decide_opener(
        &mut self,
        arrival: &Arrival<'_>,
        service: &Service,
        view: &View,
        now: Instant,
        admits: bool,
    ) -> Result<Action, Reason> {
        let flow = arrival.packet.flow;
        if admits && !self.is_draining(view) && self.table.open(flow, now) {
            return Ok(Action::Deliver { opened: true });
        }
        match order::first_taker(service, flow, |tag| self.visited(arrival, tag)) {
            Some(next) => self.pass(arrival, next.tag, next.peer, view),
            None => Ok(Action::Refuse),
        }
    }

    /// Hands a packet of a flow that isn't owned here to the next target that may hold it.
    fn walk(
        &mut self,
        arrival: &Arrival<'_>,
        service: &Service,
        view: &View,
        now: Instant,
    ) -> Result<Action, Reason> {
        let flow = arrival.packet.flow;
        match order::first_holder(service, flow, |tag| self.visited(arrival, tag)) {
            Some(next) => self.pass(arrival, next.tag, next.peer, view),
            None => self.reset(arrival, view, now),
        }
    }

    /// A reset is true only if neither a sender knows more targets than this view does, nor one
    /// has just joined that none of them knows.
    fn reset(
        &mut self,
        arrival: &Arrival<'_>,
        view: &View,
        now: Instant,
    ) -> Result<Action, Reason> {
        if arrival.revision > view.revision() {
            return Err(Reason::StaleView);
        }
        if !self.unowned.persists(arrival.packet.flow, now) {
            return Err(Reason::Unowned);
        }
        Ok(Action::Reset)
    }

    fn pass(
        &self,
        arrival: &Arrival<'_>,
        next: Tag,
        peer: SocketAddr,
        view: &View,
    ) -> Result<Action, Reason> {
        if arrival.trail.len() + 1 >= TRAIL_LIMIT {
            return Err(Reason::HopLimit);
        }
        let mut trail = arrival.trail.to_vec();
        trail.push(self.target);
        Ok(Action::Pass {
            next,
            peer,
            trail,
            revision: arrival.revision.max(view.revision()),
        })
    }

    fn visited(&self, arrival: &Arrival<'_>, tag: Tag) -> bool {
        tag == self.target || arrival.trail.contains(&tag)
    }

    fn is_draining(&self, view: &View) -> bool {
        view.target(self.target)
            .is_some_and(|own| own.standing == Standing::Draining)
    }

    /// Hints go out for openers, and for packets that came here over other targets.
    fn with_hint(&self, action: Action, arrival: &Arrival<'_>) -> Decision {
        let packet = &arrival.packet;
        let delivered = matches!(action, Action::Deliver { .. });
        let useful = packet.kind == Kind::Opener || !arrival.trail.is_empty();
        let hint = (delivered && useful && packet.token.is_none()).then(|| Hint {
            flow: packet.flow,
            owner: self.target,
            established: self.table.is_established(packet.flow),
            flows: self.flows(),
        });
        Decision { action, hint }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            embryonic: Duration::from_secs(5),
            idle: None,
            limit: 65_536,
        }
    }
}
