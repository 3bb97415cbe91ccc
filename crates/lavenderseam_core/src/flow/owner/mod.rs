//! Flow ownership on an agent: which packets are delivered locally and which are forwarded.
//!
//! The owner of a flow has the authoritative state of the flow. An agent that receives a packet of
//! a flow that it doesn't own forwards the packet together with the list of visited
//! targets. A packet therefore visits each target at most once: it is delivered by the owner,
//! refused, reset, or dropped for a [`Reason`].
//!
//! A new flow is embryonic until the transport calls [`Owner::mark_established`], because opening
//! packets that are retransmitted through balancers with different views may reach two agents. The
//! caller continues with only one of them; the other entry expires or is removed by
//! [`Owner::release_embryonic`]. An established flow ends with [`Owner::remove`].
//!
//! Packets with a token of this target are delivered regardless of the flow table: the transport
//! identifies its connections even after the caller's address has changed, and resets unknown
//! connections.

mod table;
mod unowned;

use std::net::SocketAddr;
use std::time::Duration;

use super::order;
use super::packet::{Kind, MAX_VISITED_TARGETS, Packet, Reason};
use super::{Hint, Key, Token};
use crate::catalog::Revision;
use crate::id::{Domain, Group, Tag};
use crate::time::Instant;
use crate::view::{Service, TargetState, View};
use table::Table;
use unowned::UnownedFlows;
pub use unowned::{RESET_DELAY, UNOWNED_FLOW_TIMEOUT};

/// Limits and timeouts of the flow table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time without packets after which an embryonic flow expires.
    pub embryonic_timeout: Duration,
    /// Time without packets after which an established flow expires; `None` if the transport
    /// reports the end of each flow.
    pub idle_timeout: Option<Duration>,
    /// Maximum number of flows; while the table is full, no new flow is admitted.
    pub max_flows: usize,
}

/// A packet that was forwarded to this agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardedPacket<'a> {
    /// Metadata of the packet.
    pub packet: Packet,
    /// Targets that the packet has visited before, in order.
    pub visited: &'a [Tag],
    /// Highest view revision among the balancer and the agents that forwarded the packet.
    pub revision: Revision,
}

/// What the agent does with a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Deliver the packet to the local transport.
    Deliver {
        /// `true` if the packet opened the flow.
        opened: bool,
    },
    /// Forward the packet to another target.
    Forward {
        /// Target to forward to.
        next: Tag,
        /// Address at which the agent of that target receives sealed frames.
        peer: SocketAddr,
        /// Visited targets, including this one.
        visited: Vec<Tag>,
        /// Highest view revision so far, including this agent's.
        revision: Revision,
    },
    /// Refuse the flow, because no target admits it; the caller is notified immediately.
    Refuse,
    /// Reset the flow, because no target owns it.
    Reset,
    /// Drop the packet.
    Drop(Reason),
}

/// Action for a packet, with the ownership hint to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Action to take on the packet.
    pub action: Action,
    /// Hint for the balancer that received the packet from the caller, if one is due.
    pub hint: Option<Hint>,
}

/// Flow table and routing decisions of one agent.
#[derive(Clone, Debug)]
pub struct Owner {
    target: Tag,
    group: Group,
    domain: Domain,
    table: Table,
    unowned_flows: UnownedFlows,
}

impl Owner {
    /// Creates an empty flow table for a target, with default limits.
    #[must_use]
    pub fn new(target: Tag, group: Group, domain: Domain) -> Self {
        Self::with_settings(target, group, domain, Settings::default())
    }

    /// Creates an empty flow table for a target, with the given limits.
    #[must_use]
    pub fn with_settings(target: Tag, group: Group, domain: Domain, settings: Settings) -> Self {
        Self {
            target,
            group,
            domain,
            table: Table::new(settings),
            unowned_flows: UnownedFlows::default(),
        }
    }

    /// Decides what to do with a packet; `admits` is `true` if admission control accepts a new
    /// flow.
    ///
    /// A target that is shutting down or drained by operators admits no new flow, regardless of
    /// `admits`.
    pub fn handle_packet(
        &mut self,
        forwarded: &ForwardedPacket<'_>,
        view: &View,
        now: Instant,
        admits: bool,
    ) -> Decision {
        self.table.expire(now);
        match self.decide(forwarded, view, now, admits) {
            Ok(action) => self.with_hint(action, forwarded),
            Err(reason) => Decision {
                action: Action::Drop(reason),
                hint: None,
            },
        }
    }

    /// Marks a flow as established, when the transport has confirmed that the caller uses this
    /// connection. From then on the transport also reports the end of the flow, by
    /// [`Owner::remove`].
    pub fn mark_established(&mut self, flow: Key, now: Instant) {
        self.table.establish(flow, now);
    }

    /// Removes a flow that the transport has closed.
    pub fn remove(&mut self, flow: Key) {
        self.table.remove(flow);
    }

    /// Removes an embryonic flow, because another target owns it or because its packets don't match
    /// what the local transport sent. An established flow is kept. Returns `true` if the flow was
    /// removed.
    pub fn release_embryonic(&mut self, flow: Key) -> bool {
        self.table.remove_embryonic(flow)
    }

    /// Removes expired flows.
    pub fn expire(&mut self, now: Instant) {
        self.table.expire(now);
    }

    /// Returns the number of open flows, including embryonic ones.
    #[must_use]
    pub fn flow_count(&self) -> u32 {
        u32::try_from(self.table.len()).unwrap_or(u32::MAX)
    }

    /// Returns `true` if this target owns the flow.
    #[must_use]
    pub fn owns(&self, flow: Key) -> bool {
        self.table.contains(flow)
    }

    fn decide(
        &mut self,
        forwarded: &ForwardedPacket<'_>,
        view: &View,
        now: Instant,
        admits: bool,
    ) -> Result<Action, Reason> {
        if view.is_domain_out(&self.domain) {
            return Err(Reason::DomainOut);
        }
        let packet = &forwarded.packet;
        let service = view
            .service_at(packet.service)
            .ok_or(Reason::UnknownService)?;
        if service.group != self.group {
            return Err(Reason::OtherService);
        }
        if forwarded.visited.contains(&self.target) {
            return Err(Reason::Loop);
        }
        if let Some(token) = packet.token {
            return self.decide_token(forwarded, token, view, now);
        }
        if self.table.record_packet(packet.flow, now) {
            return Ok(Action::Deliver { opened: false });
        }
        match packet.kind {
            Kind::Opener => self.decide_opener(forwarded, service, view, now, admits),
            Kind::Continuing => self.forward_to_possible_owner(forwarded, service, view, now),
        }
    }

    fn decide_token(
        &mut self,
        forwarded: &ForwardedPacket<'_>,
        token: Token,
        view: &View,
        now: Instant,
    ) -> Result<Action, Reason> {
        if token.owner == self.target {
            return Ok(Action::Deliver { opened: false });
        }
        let Some(owner) = view.target_by_tag(token.owner) else {
            return Err(Reason::UnknownOwner);
        };
        if owner.group != self.group {
            return Err(Reason::ForeignToken);
        }
        if !owner.accepts_established_flows() {
            return self.reset(forwarded, view, now);
        }
        if forwarded.visited.contains(&token.owner) {
            return Err(Reason::Loop);
        }
        self.forward(forwarded, owner.tag, owner.peer, view)
    }

    fn decide_opener(
        &mut self,
        forwarded: &ForwardedPacket<'_>,
        service: &Service,
        view: &View,
        now: Instant,
        admits: bool,
    ) -> Result<Action, Reason> {
        let flow = forwarded.packet.flow;
        if admits && !self.is_draining(view) && self.table.open(flow, now) {
            return Ok(Action::Deliver { opened: true });
        }
        match order::first_new_flow_target(service, flow, |tag| self.is_visited(forwarded, tag)) {
            Some(next) => self.forward(forwarded, next.tag, next.peer, view),
            None => Ok(Action::Refuse),
        }
    }

    /// Forwards a packet of a flow that this target doesn't own to the next possible owner, or
    /// resets the flow if all of them have been visited.
    fn forward_to_possible_owner(
        &mut self,
        forwarded: &ForwardedPacket<'_>,
        service: &Service,
        view: &View,
        now: Instant,
    ) -> Result<Action, Reason> {
        let flow = forwarded.packet.flow;
        match order::first_possible_owner(service, flow, |tag| self.is_visited(forwarded, tag)) {
            Some(next) => self.forward(forwarded, next.tag, next.peer, view),
            None => self.reset(forwarded, view, now),
        }
    }

    /// Resets a flow without an owner, unless a target that this view lacks may own it: a previous
    /// hop may have used a newer view, or a target may have joined too recently for all of them.
    fn reset(
        &mut self,
        forwarded: &ForwardedPacket<'_>,
        view: &View,
        now: Instant,
    ) -> Result<Action, Reason> {
        if forwarded.revision > view.revision() {
            return Err(Reason::StaleView);
        }
        if !self.unowned_flows.record_packet(forwarded.packet.flow, now) {
            return Err(Reason::Unowned);
        }
        Ok(Action::Reset)
    }

    fn forward(
        &self,
        forwarded: &ForwardedPacket<'_>,
        next: Tag,
        peer: SocketAddr,
        view: &View,
    ) -> Result<Action, Reason> {
        if forwarded.visited.len() + 1 >= MAX_VISITED_TARGETS {
            return Err(Reason::HopLimit);
        }
        let mut visited = forwarded.visited.to_vec();
        visited.push(self.target);
        Ok(Action::Forward {
            next,
            peer,
            visited,
            revision: forwarded.revision.max(view.revision()),
        })
    }

    fn is_visited(&self, forwarded: &ForwardedPacket<'_>, tag: Tag) -> bool {
        tag == self.target || forwarded.visited.contains(&tag)
    }

    fn is_draining(&self, view: &View) -> bool {
        view.target_by_tag(self.target)
            .is_some_and(|candidate| candidate.state == TargetState::Draining)
    }

    /// Adds a hint for a delivered packet without a token, if it may open a flow or was forwarded
    /// by another target: in these cases the balancer may not know the owner.
    fn with_hint(&self, action: Action, forwarded: &ForwardedPacket<'_>) -> Decision {
        let packet = &forwarded.packet;
        let delivered = matches!(action, Action::Deliver { .. });
        let hint_due = packet.kind == Kind::Opener || !forwarded.visited.is_empty();
        let hint = (delivered && hint_due && packet.token.is_none()).then(|| Hint {
            flow: packet.flow,
            owner: self.target,
            established: self.table.is_established(packet.flow),
            flows: self.flow_count(),
        });
        Decision { action, hint }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            embryonic_timeout: Duration::from_secs(5),
            idle_timeout: None,
            max_flows: 65_536,
        }
    }
}
