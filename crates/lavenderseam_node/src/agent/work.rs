//! Feeds the agent's decisions.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use ::http::StatusCode;
use lavenderseam_core::time::Instant;
use lavenderseam_passthrough::agent::{Action, Agent, Beat, Heartbeat, Outbound, Reply, Verdict};
use lavenderseam_passthrough::message::{Carry, Message, Returned};
use lavenderseam_passthrough::segment::Segment;
use tokio::net::TcpStream;

use super::Directory;
use crate::codec::Codec;
use crate::http::{Answer, Request, Service};
use crate::log::{Change, Event, Key};
use crate::metrics::{ByReason, Word};
use crate::process::Process;
use crate::socket::Socket;

/// Longest wait for a connection to the backend server, which is on the same VM.
const PROBE_LIMIT: Duration = Duration::from_millis(500);

/// The agent and what it works with.
#[derive(Debug)]
pub(crate) struct Work<C> {
    pub(crate) codec: C,
    pub(crate) process: Process,
    pub(crate) agent: RefCell<Agent>,
    pub(crate) packets: Socket,
    pub(crate) outbound: Socket,
    pub(crate) backend: Socket,
    pub(crate) backend_address: SocketAddrV4,
    pub(crate) probing: Cell<bool>,
}

/// Answers that the agent runs.
pub(crate) struct Ready;

impl<C: Codec> Work<C> {
    pub(crate) fn seed(&self, seeds: &[SocketAddrV4]) {
        let now = self.process.clock.now();
        let mut agent = self.agent.borrow_mut();
        for seed in seeds {
            agent.seed(*seed, now);
        }
    }

    /// Takes messages of balancers as they come.
    pub(crate) async fn serve_peers(&self) {
        self.process
            .peers
            .receive(|received| match received {
                Ok((Message::Carry(carry), packet, from)) => self.carried(carry, packet, from),
                Ok((Message::Welcome(welcome), _, from)) => {
                    let now = self.process.clock.now();
                    self.agent.borrow_mut().welcomed(&welcome, from, now);
                }
                Ok((_, _, from)) => {
                    self.process.unreadable(
                        "process",
                        &format!("{from} takes this agent for a balancer"),
                    );
                }
                Err(error) => self.process.message_failed(&error),
            })
            .await;
    }

    /// Takes packets of the backend server as they come.
    pub(crate) async fn serve_outbound(&self) {
        self.outbound
            .receive(|received| match received {
                Ok((bytes, _)) => self.sent(bytes),
                Err(error) => self.process.socket_failed("outbound", &error),
            })
            .await;
    }

    /// Waits for word that the backend server's port is closed.
    pub(crate) async fn serve_backend(&self) {
        self.backend
            .receive(|received| match received {
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    self.ended("port closed");
                }
                Err(error) => self.process.socket_failed("backend", &error),
            })
            .await;
    }

    /// Lets time pass.
    pub(crate) async fn tick(self: Rc<Self>, period: Duration, directory: impl Directory) {
        let directory = Rc::new(directory);
        loop {
            tokio::time::sleep(period).await;
            let now = self.process.clock.now();
            let actions = self.agent.borrow_mut().tick(now);
            for action in actions {
                match action {
                    Action::Announce { to, announcement } => {
                        self.process
                            .send(&Message::Announcement(announcement), &[], to);
                    }
                    Action::FindBalancers => {
                        let (own, directory) = (Rc::clone(&self), Rc::clone(&directory));
                        tokio::task::spawn_local(async move {
                            own.find_balancers(directory.as_ref()).await;
                        });
                    }
                    Action::Probe => {
                        let own = Rc::clone(&self);
                        tokio::task::spawn_local(async move { own.probe().await });
                    }
                }
            }
            let load = self.agent.borrow_mut().load(now);
            self.process.metrics.flows.set(i64::from(load.flows));
            self.process.metrics.busy.set(i64::from(load.busy));
            self.process.log.flush(now);
        }
    }

    pub(crate) fn heartbeat(&self, beat: &Heartbeat) -> bool {
        let now = self.process.clock.now();
        let taken = self.agent.borrow_mut().heartbeat(beat, now);
        let reason = match taken {
            Ok(Beat::Known) => return true,
            Ok(Beat::Changed) => "changed",
            Ok(Beat::New { replaces: false }) => "started",
            Ok(Beat::New { replaces: true }) => "replaced",
            Err(rejection) => {
                self.process.unreadable("backend", &rejection);
                return false;
            }
        };
        self.process.log(&Event::Backend {
            id: beat.id.clone(),
            standing: self.agent.borrow().standing(),
            sequence: Some(beat.sequence),
            reason,
        });
        self.announce();
        true
    }

    pub(crate) fn departed(&self, id: &str) {
        let now = self.process.clock.now();
        if self.agent.borrow_mut().departed(id, now) {
            self.backend_ended(id, "departed");
        }
    }

    /// Notes that a request was answered or broken off.
    fn replied(&self, segment: &Segment, reply: Reply, now: Instant) {
        let metrics = &self.process.metrics;
        match reply {
            Reply::Answered(waited) => metrics.answer_seconds.0.observe(waited.as_secs_f64()),
            Reply::Broken(waited) => {
                metrics.broken.inc();
                self.process.log(&Event::Broken {
                    flow: segment.flow,
                    waited_ms: waited.as_millis() as u64,
                    load: self.agent.borrow_mut().load(now),
                });
            }
        }
    }

    fn ended(&self, reason: &'static str) {
        let now = self.process.clock.now();
        if self.agent.borrow_mut().refused(now) {
            self.backend_ended("", reason);
        }
    }

    fn backend_ended(&self, id: &str, reason: &'static str) {
        self.process.log(&Event::Backend {
            id: id.to_owned(),
            standing: self.agent.borrow().standing(),
            sequence: None,
            reason,
        });
        self.announce();
    }

    fn announce(&self) {
        let now = self.process.clock.now();
        let actions = self.agent.borrow_mut().announcements(now);
        for action in actions {
            if let Action::Announce { to, announcement } = action {
                self.process
                    .send(&Message::Announcement(announcement), &[], to);
            }
        }
    }

    fn carried(&self, carry: Carry, bytes: &mut [u8], balancer: SocketAddrV4) {
        self.process.metrics.packets.inc();
        let now = self.process.clock.now();
        let segment = match self.codec.read_from_caller(bytes) {
            Ok(packet) => packet.segment,
            Err(error) => return self.process.unreadable("balancer", &error),
        };
        if segment.is_opener() {
            self.process.metrics.openers.inc();
        }
        let verdict = {
            let mut agent = self.agent.borrow_mut();
            agent.carried(&segment, carry, balancer, now)
        };
        match verdict {
            Verdict::Deliver { mark, held } => {
                self.process.metrics.forwarded.inc();
                self.codec.mark(bytes, mark);
                self.deliver(bytes);
                if let Some(held) = held {
                    self.process.send(&Message::Held(held), &[], balancer);
                }
            }
            Verdict::Return(returned) => self.give_back(&segment, returned, bytes, balancer),
            Verdict::Drop => {}
        }
    }

    fn deliver(&self, bytes: &[u8]) {
        match self.backend.send(bytes) {
            Ok(()) => {}
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                self.ended("port closed");
            }
            Err(error) => self.process.socket_failed("backend", &error),
        }
    }

    fn give_back(
        &self,
        segment: &Segment,
        returned: Returned,
        bytes: &[u8],
        balancer: SocketAddrV4,
    ) {
        let reason = returned.reason;
        let by = ByReason {
            reason: Word(reason),
        };
        self.process.metrics.returned.get_or_create(&by).inc();
        let event = || Event::Return {
            flow: segment.flow,
            opener: segment.is_opener(),
            balancer,
            reason,
            load: returned.load,
        };
        let now = self.process.clock.now();
        self.process
            .log
            .write_with(Key::gives_back(reason), event, now);
        self.process
            .send(&Message::Returned(returned), bytes, balancer);
    }

    fn sent(&self, bytes: &mut [u8]) {
        let now = self.process.clock.now();
        let packet = match self.codec.read_from_backend(bytes) {
            Ok(packet) => packet,
            Err(error) => return self.process.unreadable("backend", &error),
        };
        let segment = &packet.segment;
        let outbound = {
            let mut agent = self.agent.borrow_mut();
            agent.outbound(segment, packet.bounced, now)
        };
        match outbound {
            Outbound::Caller { reply } => {
                if let Some(reply) = reply {
                    self.replied(segment, reply, now);
                }
                let caller = self.codec.caller(segment);
                if let Err(error) = self.packets.send_to(bytes, caller) {
                    self.process.socket_failed("packets", &error);
                }
            }
            Outbound::Return { balancer, returned } => {
                self.codec.mark(bytes, 0);
                self.give_back(segment, returned, bytes, balancer);
            }
            Outbound::Drop => {}
        }
    }

    async fn find_balancers(&self, directory: &impl Directory) {
        match directory.balancers().await {
            Ok(balancers) => self.seed(&balancers),
            Err(error) => self.process.log(&Event::Dependency {
                name: "store",
                change: Change::Lost,
                reason: error.to_string(),
            }),
        }
    }

    /// Tries the backend server's port: if it is closed, the backend server has ended.
    async fn probe(&self) {
        if self.probing.replace(true) {
            return;
        }
        let address = SocketAddr::V4(self.backend_address);
        let connected = tokio::time::timeout(PROBE_LIMIT, TcpStream::connect(address)).await;
        self.probing.set(false);
        if let Ok(Err(error)) = connected
            && error.kind() == io::ErrorKind::ConnectionRefused
        {
            self.ended("connection refused");
        }
    }
}

impl Service for Ready {
    fn answer(&self, _: &Request) -> Answer {
        Answer::empty(StatusCode::OK)
    }
}
