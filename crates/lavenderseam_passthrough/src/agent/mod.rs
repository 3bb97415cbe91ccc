//! The agent's decisions: which packets its backend server gets.
//!
//! The agent sees every packet to and from its backend server, so it knows which flows that one
//! holds, what it is working on and whether it is cold or leaving. An opener is admitted only if
//! the backend server can take it now; a packet of a flow that isn't held here goes back to the
//! balancer with the reason.
//!
//! An agent that was restarted beside a running backend server doesn't know its flows. It then
//! hands over packets of unknown flows with a mark, and the backend server bounces those that it
//! doesn't hold.

mod admission;
mod backend;
mod balancers;
mod doubt;
mod flows;
mod penalties;
mod pending;
mod settings;
mod waits;
mod warmup;

use std::net::SocketAddrV4;

use lavenderseam_core::catalog::Revision;
use lavenderseam_core::time::Instant;

use crate::flow::{Flow, Table};
use crate::message::{
    Announcement, Carry, Held, Load, Reason, Returned, ServiceTag, Standing, Welcome,
};
use crate::segment::Segment;
use admission::Step;
use backend::Backend;
pub use backend::{Beat, Heartbeat, Rejection};
use balancers::{Balancers, Due};
use doubt::Doubt;
pub use flows::Reply;
use flows::{Flows, State};
use penalties::Penalties;
use pending::Pending;
pub use settings::Settings;
use waits::Waits;
use warmup::Warmup;

/// Which target an agent stands beside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Name of the target's service.
    pub service: String,
    /// Failure domain that it lives in.
    pub domain: String,
    /// Number of this run of the agent, drawn at its start.
    pub run: u64,
}

/// What becomes of a packet that a balancer sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The backend server gets it.
    Deliver {
        /// What it is marked with, so that a bounce can be told; 0 if none is expected.
        mark: u32,
        /// What the balancer is told, if anything.
        held: Option<Held>,
    },
    /// It goes back to the balancer.
    Return(Returned),
    /// It is dropped, because the backend server would not take it and no other target may.
    Drop,
}

/// What becomes of a packet that the backend server sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outbound {
    /// The caller gets it.
    Caller {
        /// What it means for its request, if that was waiting.
        reply: Option<Reply>,
    },
    /// It was bounced and goes back to a balancer.
    Return {
        /// The balancer.
        balancer: SocketAddrV4,
        /// The message that it goes with.
        returned: Returned,
    },
    /// It was bounced and its balancer isn't known; the caller sends it again.
    Drop,
}

/// What an agent is to do as time passes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Tell a balancer of the target.
    Announce {
        /// The balancer.
        to: SocketAddrV4,
        /// What it is told.
        announcement: Announcement,
    },
    /// Look balancers up in the store.
    FindBalancers,
    /// Ask the backend server whether it lives: it has left packets unanswered.
    Probe,
}

/// The decisions of one agent.
#[derive(Clone, Debug)]
pub struct Agent {
    place: Place,
    service: ServiceTag,
    settings: Settings,
    backend: Backend,
    flows: Flows,
    ended: Table<Instant>,
    pending: Pending,
    warmup: Warmup,
    balancers: Balancers,
    limits: Limits,
    count: u64,
    /// Whether all balancers must be told at once.
    urgent: bool,
    doubt: Doubt,
    waits: Waits,
    penalties: Penalties,
}

/// What balancers said of the service.
#[derive(Clone, Debug, Default)]
struct Limits {
    /// Whether a balancer that knows the service has told them.
    known: bool,
    revision: Revision,
    cold_rate: Option<f64>,
    connections: Option<u32>,
    outs: Revision,
    out: bool,
}

impl Agent {
    /// An agent that knows nothing yet.
    #[must_use]
    pub fn new(place: Place) -> Self {
        Self::with_settings(place, Settings::default())
    }

    /// An agent with other bounds.
    #[must_use]
    pub fn with_settings(place: Place, settings: Settings) -> Self {
        Self {
            service: ServiceTag::new(&place.service),
            place,
            settings,
            backend: Backend::default(),
            flows: Flows::default(),
            ended: Table::default(),
            pending: Pending::default(),
            warmup: Warmup::default(),
            balancers: Balancers::default(),
            limits: Limits::default(),
            count: 0,
            urgent: false,
            doubt: Doubt::default(),
            waits: Waits::default(),
            penalties: Penalties::default(),
        }
    }

    /// Decides a packet that a balancer sent.
    pub fn carried(
        &mut self,
        segment: &Segment,
        carry: Carry,
        balancer: SocketAddrV4,
        now: Instant,
    ) -> Verdict {
        self.balancers.heard(balancer, &self.settings, now);
        match self.decide(segment, &carry, now) {
            Ok(Step::Known) => {
                self.flows.take_request(segment, now);
                self.doubt.handed_over(now);
                let known = carry.asks && !segment.is_opener();
                let held = known.then(|| Held {
                    flow: segment.flow,
                    load: self.load(now),
                });
                let mark = self.pending.insert(balancer, &carry);
                Verdict::Deliver { mark, held }
            }
            Ok(Step::Admitted | Step::Tried) => {
                self.doubt.handed_over(now);
                let mark = self.pending.insert(balancer, &carry);
                Verdict::Deliver { mark, held: None }
            }
            Ok(Step::Dropped) => Verdict::Drop,
            Err(reason) => Verdict::Return(Returned {
                reason,
                load: self.load(now),
                carry,
            }),
        }
    }

    /// Decides a packet that the backend server sent.
    ///
    /// A bounced one comes with the mark that it was handed over with.
    pub fn outbound(&mut self, segment: &Segment, bounced: Option<u32>, now: Instant) -> Outbound {
        let Some(mark) = bounced else {
            self.doubt.sent();
            if self.flows.get(segment.flow).is_none() {
                self.flows.find(segment, now);
            }
            let reply = self.flows.take_answer(segment, now);
            match reply {
                Some(Reply::Answered(waited)) => {
                    self.waits.note(waited);
                    self.penalties.answered();
                }
                Some(Reply::Broken(_)) => {
                    self.penalties.failed(now);
                }
                None => {}
            }
            return Outbound::Caller { reply };
        };
        self.doubt.answered();
        let reason = self.bounced(segment, now);
        let (Some(reason), Some(packet)) = (reason, self.pending.take(mark)) else {
            return Outbound::Drop;
        };
        let returned = Returned {
            reason,
            load: self.load(now),
            carry: packet.carry,
        };
        let balancer = packet.balancer;
        Outbound::Return { balancer, returned }
    }

    /// Notes that the backend server doesn't take a packet; returns why its balancer gets it back,
    /// if it does.
    fn bounced(&mut self, segment: &Segment, now: Instant) -> Option<Reason> {
        let flow = segment.flow;
        let state = self.flows.get(flow).map(|entry| entry.state);
        if segment.is_opener() {
            self.flows.remove(flow, now);
            self.doubt.bounced(now);
            return Some(Reason::Shed);
        }
        match state {
            // Both ends have closed it, so nobody needs the packet.
            Some(State::Closed) => None,
            // The backend server held the flow and no longer does.
            Some(State::Open) => {
                self.flows.remove(flow, now);
                self.end_flow(flow, now);
                self.doubt.bounced(now);
                Some(Reason::Ended)
            }
            Some(State::Opening(_)) => {
                self.flows.remove(flow, now);
                Some(Reason::NotHeld)
            }
            None => Some(Reason::NotHeld),
        }
    }

    /// Takes a heartbeat of the backend server.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection`] if it says nothing of the present backend server.
    pub fn heartbeat(&mut self, beat: &Heartbeat, now: Instant) -> Result<Beat, Rejection> {
        if beat.service != self.place.service {
            return Err(Rejection::OtherService(beat.service.clone()));
        }
        let taken = self.backend.beat(beat, now)?;
        match taken {
            Beat::Known => {}
            Beat::Changed => self.urgent = true,
            Beat::New { replaces } => {
                if replaces {
                    self.end_flows(now);
                }
                self.urgent = true;
                self.warmup.clear();
                self.doubt = Doubt::default();
                self.waits = Waits::default();
                self.penalties = Penalties::default();
            }
        }
        Ok(taken)
    }

    /// The backend server with an id has said that it ends; returns whether it was known.
    pub fn departed(&mut self, id: &str, now: Instant) -> bool {
        let departed = self.backend.depart(id);
        if departed {
            self.end_flows(now);
            self.urgent = true;
        }
        departed
    }

    /// The backend server's ports are closed, so it has ended; returns whether that is news.
    pub fn refused(&mut self, now: Instant) -> bool {
        let ended = self.backend.end();
        if ended {
            self.end_flows(now);
            self.urgent = true;
        }
        ended
    }

    /// Takes a balancer's answer to an announcement.
    pub fn welcomed(&mut self, welcome: &Welcome, from: SocketAddrV4, now: Instant) {
        self.balancers.heard(from, &self.settings, now);
        for balancer in &welcome.balancers {
            self.balancers.insert(*balancer, now);
        }
        if welcome.known && welcome.revision >= self.limits.revision {
            self.limits.known = true;
            self.limits.revision = welcome.revision;
            self.limits.cold_rate = welcome.cold_rate;
            self.limits.connections = welcome.connections;
        }
        if welcome.outs >= self.limits.outs {
            self.limits.outs = welcome.outs;
            self.limits.out = welcome.out;
        }
    }

    /// Learns of a balancer.
    pub fn seed(&mut self, balancer: SocketAddrV4, now: Instant) {
        self.balancers.insert(balancer, now);
    }

    /// Lets time pass; to be called several times a second.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.flows.expire(&self.settings, now);
        let span = self.settings.ended;
        self.ended.retain(|_, since| now.since(*since) < span);
        let mut actions = Vec::new();
        if self.balancers.is_alone(&self.settings, now) {
            actions.push(Action::FindBalancers);
        }
        if self.backend.present().is_some() && self.doubt.must_probe(now) {
            actions.push(Action::Probe);
        }
        actions.extend(self.announcements(now));
        actions
    }

    /// The announcements that are due.
    pub fn announcements(&mut self, now: Instant) -> Vec<Action> {
        let all = std::mem::take(&mut self.urgent);
        let due = self.balancers.due(&self.settings, all, now);
        if due.is_empty() {
            return Vec::new();
        }
        self.count += 1;
        let announcement = Announcement {
            run: self.place.run,
            count: self.count,
            service: self.place.service.clone(),
            domain: self.place.domain.clone(),
            standing: self.standing(),
            load: self.load(now),
            hears: false,
            asks: false,
        };
        let announce = |due: Due| Action::Announce {
            to: due.to,
            announcement: Announcement {
                hears: due.hears,
                asks: due.asks,
                ..announcement.clone()
            },
        };
        due.into_iter().map(announce).collect()
    }

    /// State of the target.
    #[must_use]
    pub fn standing(&self) -> Standing {
        self.backend.standing()
    }

    /// Work at the target.
    pub fn load(&mut self, now: Instant) -> Load {
        let present = self.backend.present();
        let slots = present.map_or(0, |present| present.slots);
        let cold = present.is_some_and(|present| present.is_cold(now));
        let rate = self.cold_rate();
        let cold = cold.then(|| self.warmup.left(rate, now));
        let kept = self.penalties.slots(now);
        Load {
            busy: self.flows.busy().saturating_add(kept),
            mean: self
                .flows
                .mean(now)
                .saturating_add(kept.saturating_mul(100)),
            slots,
            flows: u32::try_from(self.flows.len()).unwrap_or(u32::MAX),
            wait: self.waits.mean(),
            cold,
        }
    }

    /// Forgets the flows of a backend server that has ended, but for the fact that it held them.
    fn end_flows(&mut self, now: Instant) {
        for flow in self.flows.clear(now) {
            self.end_flow(flow, now);
        }
        self.pending = Pending::default();
        self.doubt = Doubt::default();
    }

    /// Remembers that a flow was held here and has ended.
    fn end_flow(&mut self, flow: Flow, now: Instant) {
        if self.ended.len() < self.settings.ended_limit {
            self.ended.insert(flow, now);
        }
    }
}
