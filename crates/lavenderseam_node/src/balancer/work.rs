//! Feeds the balancer's decisions.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ::http::StatusCode;
use lavenderseam_core::time::Instant;
use lavenderseam_passthrough::balancer::{Action, Balancer, Cause, Verdict};
use lavenderseam_passthrough::message::{Announcement, Message, Returned};
use lavenderseam_passthrough::segment::Segment;

use super::records;
use crate::clock::Clock;
use crate::codec::Codec;
use crate::http::{Answer, Request, Service};
use crate::log::{Event, Key, Log, Measure};
use crate::metrics::{ByCause, ByReason, Metrics, Word};
use crate::peer::{self, Peers};
use crate::socket::Socket;

/// Share of the grace of a planned stop that packets are still carried for, so that the fabric
/// has sent the flows elsewhere before the process ends.
const LINGER: f64 = 0.6;

/// The balancer and what it works with.
#[derive(Debug)]
pub(crate) struct Work<C> {
    pub(crate) codec: C,
    pub(crate) clock: Clock,
    pub(crate) balancer: RefCell<Balancer>,
    pub(crate) packets: Socket,
    pub(crate) peers: Peers,
    pub(crate) log: Log,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) reset: RefCell<Vec<u8>>,
    pub(crate) ready: Cell<bool>,
    pub(crate) stopping: Cell<bool>,
}

/// Answers whether the balancer is ready.
pub(crate) struct Readiness<C>(pub(crate) Rc<Work<C>>);

impl<C: Codec> Work<C> {
    pub(crate) fn log(&self, event: &Event) {
        self.log.write(event, self.clock.now());
    }

    pub(crate) fn seed(&self, seeds: &[SocketAddrV4]) {
        let now = self.clock.now();
        let mut balancer = self.balancer.borrow_mut();
        for seed in seeds {
            balancer.seed(*seed, now);
        }
    }

    /// Takes packets of callers as they come.
    pub(crate) async fn serve_packets(&self) {
        self.packets
            .receive(|received| match received {
                Ok((bytes, _)) => self.packet(bytes),
                Err(error) => self.socket_failed("packets", &error),
            })
            .await;
    }

    /// Takes messages of other processes as they come.
    pub(crate) async fn serve_peers(&self) {
        self.peers
            .receive(|received| match received {
                Ok((message, packet, from)) => self.message(message, packet, from),
                Err(error) => self.message_failed(&error),
            })
            .await;
    }

    /// Lets time pass.
    pub(crate) async fn tick(self: Rc<Self>, period: Duration) {
        loop {
            tokio::time::sleep(period).await;
            let now = self.clock.now();
            let actions = self.balancer.borrow_mut().tick(now);
            for action in actions {
                self.act(action);
            }
            self.observe();
            self.log.flush(now);
        }
    }

    /// Says that it isn't ready, carries packets until the fabric has noticed, and ends.
    pub(crate) async fn stop(&self, grace: Duration) {
        self.stopping.set(true);
        self.log(&Event::Stop);
        tokio::time::sleep(grace.mul_f64(LINGER)).await;
    }

    pub(crate) fn reload(&self, read: &impl Fn() -> Option<Result<Vec<SocketAddrV4>, String>>) {
        let error = match read() {
            None => return,
            Some(Ok(seeds)) => {
                self.seed(&seeds);
                None
            }
            Some(Err(error)) => Some(error),
        };
        let accepted = error.is_none();
        self.log(&Event::Reload { accepted, error });
    }

    /// Notes whether it has become ready or no longer is.
    pub(crate) fn observe(&self) {
        let balancer = self.balancer.borrow();
        let ready = balancer.is_ready(self.clock.now()) && !self.stopping.get();
        let flows = i64::try_from(balancer.flows()).unwrap_or(i64::MAX);
        drop(balancer);
        self.metrics.flows.set(flows);
        if self.ready.replace(ready) != ready {
            self.log(&Event::Ready { ready });
        }
    }

    fn packet(&self, bytes: &[u8]) {
        self.metrics.packets.inc();
        let now = self.clock.now();
        let segment = match self.codec.read_from_caller(bytes) {
            Ok(packet) => packet.segment,
            Err(error) => {
                self.metrics.malformed.inc();
                self.log(&Event::Malformed {
                    source: "caller",
                    error: error.to_string(),
                });
                return;
            }
        };
        if segment.is_opener() {
            self.metrics.openers.inc();
        }
        let verdict = self.balancer.borrow_mut().packet(&segment, now);
        self.carry_out(verdict, &segment, bytes, now);
    }

    fn carry_out(&self, verdict: Verdict, segment: &Segment, bytes: &[u8], now: Instant) {
        match verdict {
            Verdict::Forward { agent, carry } => {
                self.metrics.forwarded.inc();
                self.send(&Message::Carry(carry), bytes, agent);
            }
            Verdict::Reset(cause) => {
                let by = ByCause { cause: Word(cause) };
                self.metrics.resets.get_or_create(&by).inc();
                self.give_up(segment, Measure::Reset, cause, now);
                let mut reset = self.reset.borrow_mut();
                self.codec.reset(segment, &mut reset);
                let caller = self.codec.caller(segment);
                if let Err(error) = self.packets.send_to(&reset, caller) {
                    self.socket_failed("packets", &error);
                }
            }
            Verdict::Drop(cause) => {
                let by = ByCause { cause: Word(cause) };
                self.metrics.drops.get_or_create(&by).inc();
                self.give_up(segment, Measure::Drop, cause, now);
            }
        }
    }

    fn give_up(&self, segment: &Segment, measure: Measure, cause: Cause, now: Instant) {
        let event = || {
            let balancer = self.balancer.borrow();
            let desired = balancer.desired();
            Event::Packet {
                flow: segment.flow,
                opener: segment.is_opener(),
                measure,
                cause,
                revision: desired.map_or_else(Default::default, |held| held.revision),
                outs: balancer.outs().revision,
                targets: balancer.tally(segment.flow, now),
            }
        };
        self.log.write_with(Key::packet(cause), event, now);
    }

    fn message(&self, message: Message, packet: &[u8], from: SocketAddrV4) {
        let now = self.clock.now();
        match message {
            Message::Returned(returned) => self.returned(returned, packet, from, now),
            Message::Held(held) => self.balancer.borrow_mut().held(&held, from, now),
            Message::Announcement(announcement) => self.announced(&announcement, from, now),
            Message::Gossip(gossip) => self.balancer.borrow_mut().gossiped(&gossip, from, now),
            Message::Carry(_) | Message::Welcome(_) => self.log(&Event::Malformed {
                source: "process",
                error: format!("{from} takes this balancer for an agent"),
            }),
        }
    }

    fn returned(&self, returned: Returned, bytes: &[u8], agent: SocketAddrV4, now: Instant) {
        let by = ByReason {
            reason: Word(returned.reason),
        };
        self.metrics.returned.get_or_create(&by).inc();
        let segment = match self.codec.read_from_caller(bytes) {
            Ok(packet) => packet.segment,
            Err(error) => {
                self.metrics.malformed.inc();
                self.log(&Event::Malformed {
                    source: "agent",
                    error: error.to_string(),
                });
                return;
            }
        };
        let event = || Event::Returned {
            flow: segment.flow,
            opener: segment.is_opener(),
            agent,
            reason: returned.reason,
            load: returned.load,
            trail: returned.carry.trail.clone(),
        };
        self.log
            .write_with(Key::returned(returned.reason), event, now);
        let verdict = {
            let mut balancer = self.balancer.borrow_mut();
            balancer.returned(&segment, returned, agent, now)
        };
        self.carry_out(verdict, &segment, bytes, now);
    }

    fn announced(&self, announcement: &Announcement, agent: SocketAddrV4, now: Instant) {
        let announced = {
            let mut balancer = self.balancer.borrow_mut();
            balancer.announced(announcement, agent, now)
        };
        if announced.changed {
            self.log(&Event::Target {
                agent,
                service: announcement.service.clone(),
                domain: announcement.domain.clone(),
                standing: announcement.standing,
                load: announcement.load,
            });
            self.observe();
        }
        self.send(&Message::Welcome(announced.welcome), &[], agent);
    }

    fn act(self: &Rc<Self>, action: Action) {
        match action {
            Action::Gossip { to, gossip } => self.send(&Message::Gossip(gossip), &[], to),
            Action::Fetch { rpc } => {
                let own = Rc::clone(self);
                tokio::task::spawn_local(async move { records::fetch(&own, rpc).await });
            }
            Action::Greet { agent, welcome } => self.send(&Message::Welcome(welcome), &[], agent),
            Action::Forgot { agent } => self.log(&Event::Forgot { agent }),
        }
    }

    fn send(&self, message: &Message, packet: &[u8], to: SocketAddrV4) {
        if let Err(error) = self.peers.send(message, packet, to) {
            self.message_failed(&error);
        }
    }

    fn message_failed(&self, error: &peer::Error) {
        match error {
            peer::Error::Message(_) => self.metrics.malformed.inc(),
            peer::Error::Socket(_) => self.metrics.socket_errors.inc(),
        };
        self.log(&Event::Malformed {
            source: "process",
            error: error.to_string(),
        });
    }

    fn socket_failed(&self, socket: &'static str, error: &io::Error) {
        self.metrics.socket_errors.inc();
        self.log(&Event::Socket {
            socket,
            error: error.to_string(),
        });
    }
}

impl<C: Codec> Service for Readiness<C> {
    fn answer(&self, _: &Request) -> Answer {
        let work = &self.0;
        let ready = work.balancer.borrow().is_ready(work.clock.now());
        if ready && !work.stopping.get() {
            Answer::empty(StatusCode::OK)
        } else {
            Answer::empty(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}
