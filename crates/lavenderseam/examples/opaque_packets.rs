//! Drives the core from a test bench, with opaque packets, abstract requests and an in-memory store
//! behind a small trait. It needs no daemon, socket, QUIC, HTTP or clock.
//!
//! A target is drained while flows are open, the balancers see the drain at different times, and a
//! request is sent several times. Every flow keeps its target, and the request runs once.

use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use lavenderseam::core::admission::{Admission, Capacity, NewFlow, Outcome, Window};
use lavenderseam::core::flow::owner::{Action, ForwardedPacket};
use lavenderseam::core::flow::{Key, Kind, Packet, Reason, router};
use lavenderseam::core::id::{Domain, Group, Incarnation, Region, Tag, Target};
use lavenderseam::core::record::{self, Phase, Schema, Slots};
use lavenderseam::core::request::{self, BeginDecision, Binding, Deduplicator, ExecutionStatus};
use lavenderseam::prelude::*;

const TARGETS: u16 = 3;
const BALANCERS: usize = 2;
const FLOWS: u32 = 300;

/// Adapts the packets and requests of a test bench to the core.
trait Adapter {
    /// Packet, opaque to the core.
    type Packet;
    /// Request, opaque to the core.
    type Request;
    /// Response of a backend server.
    type Answer: Clone;

    /// Returns the properties of a packet that determine its route.
    fn packet(&self, packet: &Self::Packet) -> Packet;

    /// Returns the idempotency key of a request.
    fn key(&self, request: &Self::Request) -> request::IdempotencyKey;

    /// Runs a request on the backend server of a target.
    fn run(&mut self, target: Tag, request: &Self::Request) -> Self::Answer;
}

/// Final disposition of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disposition {
    Delivered(Tag),
    Refused,
    Reset,
    Dropped(Reason),
}

/// In-memory store of records.
#[derive(Default)]
struct InMemoryStore {
    revision: u64,
    entries: Vec<Entry>,
}

/// State of a balancer.
struct Balancer {
    router: Router,
    catalog: Catalog,
    view: View,
}

/// State of an agent.
struct Agent<A> {
    owner: Owner,
    window: Window,
    deduplicator: Deduplicator<A>,
    view: View,
}

/// Runs balancers and agents against an in-memory store within one thread, one step at a time.
struct Driver<A: Adapter> {
    adapter: A,
    store: InMemoryStore,
    balancers: Vec<Balancer>,
    agents: HashMap<Tag, Agent<A::Answer>>,
    now: Instant,
}

impl InMemoryStore {
    fn write<R: Record>(&mut self, name: &str, record: &R) {
        let mut document = Document::new(R::KIND, name, Schema(1));
        record.write(&mut document);
        self.revision += 1;
        let entry = Entry::written(Revision(self.revision), document);
        self.entries.push(entry);
    }
}

impl Balancer {
    fn update_view(&mut self, store: &InMemoryStore) {
        for entry in &store.entries {
            self.catalog.apply(entry.clone());
        }
        self.view = View::new(&self.catalog);
    }
}

impl<A: Adapter> Driver<A> {
    fn new(adapter: A) -> Self {
        let balancer = || Balancer {
            router: Router::default(),
            catalog: Catalog::default(),
            view: View::default(),
        };
        Self {
            adapter,
            store: InMemoryStore::default(),
            balancers: (0..BALANCERS).map(|_| balancer()).collect(),
            agents: HashMap::new(),
            now: Instant::default(),
        }
    }

    /// Starts the agent of a backend server and announces its target.
    fn start_agent(
        &mut self,
        name: &Target,
        target: &record::Target,
        group_record: &record::Group,
    ) {
        self.store.write(name.as_str(), target);
        let tag = Tag::new(name);
        let agent = Agent {
            owner: Owner::new(tag, target.group.clone(), target.domain.clone()),
            window: Window::new(Capacity::from(group_record), self.now),
            deduplicator: Deduplicator::new(target.incarnation, tag),
            view: View::default(),
        };
        self.agents.insert(tag, agent);
    }

    /// Updates the views of one balancer and all agents to the current records.
    fn update_view(&mut self, balancer: usize) {
        let balancer = &mut self.balancers[balancer];
        balancer.update_view(&self.store);
        for agent in self.agents.values_mut() {
            agent.view = balancer.view.clone();
        }
    }

    /// Routes a packet from a balancer to its final disposition.
    fn send(&mut self, balancer: usize, packet: &A::Packet) -> Disposition {
        let packet = self.adapter.packet(packet);
        let balancer = &self.balancers[balancer];
        let action = balancer.router.route(&packet, &balancer.view, self.now);
        let (mut next, requests_hint) = match action {
            router::Action::Forward {
                target,
                requests_hint,
                ..
            } => (target, requests_hint),
            router::Action::Drop(reason) => return Disposition::Dropped(reason),
        };
        let mut visited = Vec::new();
        let mut revision = balancer.view.revision();
        loop {
            let Some(agent) = self.agents.get_mut(&next) else {
                return Disposition::Dropped(Reason::NoTarget);
            };
            let new_flow = NewFlow {
                connections: agent.owner.flow_count(),
                forwards: visited.len(),
                draining: false,
                domain_out: false,
            };
            let admitted = agent.window.check_admission(&new_flow, self.now) == Admission::Admitted;
            let forwarded = ForwardedPacket {
                packet,
                visited: &visited,
                revision,
            };
            let decision = agent
                .owner
                .handle_packet(&forwarded, &agent.view, self.now, admitted);
            if let Some(hint) = decision.hint.filter(|_| requests_hint) {
                balancer.router.apply_hint(&hint, &balancer.view, self.now);
            }
            match decision.action {
                Action::Deliver { opened } => {
                    // A real transport reports this after its handshake.
                    if !opened {
                        agent.owner.mark_established(packet.flow, self.now);
                    }
                    return Disposition::Delivered(next);
                }
                Action::Refuse => return Disposition::Refused,
                Action::Reset => return Disposition::Reset,
                Action::Drop(reason) => return Disposition::Dropped(reason),
                Action::Forward {
                    next: target,
                    visited: new_visited,
                    revision: new_revision,
                    ..
                } => {
                    next = target;
                    visited = new_visited;
                    revision = new_revision;
                }
            }
        }
    }

    /// Issues a binding of a request to a target.
    fn bind(&mut self, target: Tag) -> Option<Binding> {
        Some(
            self.agents
                .get_mut(&target)?
                .deduplicator
                .issue_binding(self.now),
        )
    }

    /// Sends a bound request to a target; a repeated request gets the stored response.
    fn request(
        &mut self,
        target: Tag,
        request: &A::Request,
        binding: &Binding,
    ) -> Result<A::Answer, ExecutionStatus> {
        let agent = self
            .agents
            .get_mut(&target)
            .ok_or(ExecutionStatus::Unknown)?;
        let key = self.adapter.key(request);
        match agent.deduplicator.begin(&key, binding, self.now) {
            BeginDecision::Replay(answer) => Ok(answer),
            BeginDecision::Running => Err(ExecutionStatus::Unknown),
            BeginDecision::Refuse(execution) => Err(execution),
            BeginDecision::Run => {
                if agent.window.acquire(self.now).is_err() {
                    agent.deduplicator.cancel(&key, binding, self.now);
                    return Err(ExecutionStatus::NotRun);
                }
                let answer = self.adapter.run(target, request);
                let run_time = Duration::from_millis(2);
                let outcome = Outcome::Answered(run_time);
                agent.window.release(outcome, run_time, self.now + run_time);
                let stored_answer = Some((answer.clone(), size_of::<A::Answer>()));
                agent
                    .deduplicator
                    .complete(&key, stored_answer, self.now + run_time);
                Ok(answer)
            }
        }
    }
}

/// Adapter of this example. A packet is a flow number and whether it opens the flow; a request is
/// its idempotency key.
struct NumberedFlows {
    service: SocketAddr,
    runs: u32,
}

impl Adapter for NumberedFlows {
    type Packet = (u32, bool);
    type Request = &'static str;
    type Answer = u32;

    fn packet(&self, (flow, is_opener): &(u32, bool)) -> Packet {
        let caller = SocketAddr::from((flow.to_be_bytes(), 4000));
        Packet {
            flow: Key::new(1, caller, self.service),
            service: self.service,
            kind: if *is_opener {
                Kind::Opener
            } else {
                Kind::Continuing
            },
            token: None,
        }
    }

    fn key(&self, request: &&'static str) -> request::IdempotencyKey {
        match request.parse() {
            Ok(key) => key,
            Err(error) => panic!("{error}"),
        }
    }

    fn run(&mut self, _target: Tag, _request: &&'static str) -> u32 {
        self.runs += 1;
        self.runs
    }
}

fn driver() -> Result<Driver<NumberedFlows>, Box<dyn Error>> {
    let service = SocketAddr::from(([192, 0, 2, 1], 443));
    let mut driver = Driver::new(NumberedFlows { service, runs: 0 });
    let group = Group::new("map-store")?;
    let group_record = record::Group {
        slots: Slots(4),
        connections: 2_000,
        cold_slots: Slots(1),
        drain_timeout: Duration::from_secs(30),
    };
    driver.store.write(group.as_str(), &group_record);
    let addresses = vec![service];
    let record = record::Service {
        addresses,
        group: group.clone(),
    };
    driver.store.write("maps", &record);
    for index in 0..TARGETS {
        let peer = SocketAddr::from(([127, 0, 0, 1], 7_000 + index));
        let target = record::Target {
            group: group.clone(),
            domain: Domain::new("kharkhorin")?,
            region: Region::new("khangai")?,
            peer,
            rpc: peer,
            incarnation: Incarnation(u64::from(index)),
            phase: Phase::Serving,
        };
        driver.start_agent(
            &Target::new(&format!("map-{index}"))?,
            &target,
            &group_record,
        );
    }
    Ok(driver)
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut driver = driver()?;
    (0..BALANCERS).for_each(|balancer| driver.update_view(balancer));
    let owners: Vec<Disposition> = (0..FLOWS)
        .map(|flow| driver.send(0, &(flow, true)))
        .collect();
    // A target is drained. The agents and balancer 1 see the record, balancer 0 doesn't yet.
    let drained = Target::new("map-0")?;
    let drain = record::Drain {
        target: drained.clone(),
    };
    driver.store.write("drain-map-0", &drain);
    driver.update_view(1);
    let kept = (0..FLOWS)
        .filter(|flow| {
            let balancer = (flow % 2) as usize;
            driver.send(balancer, &(*flow, false)) == owners[*flow as usize]
        })
        .count();
    let misrouted = (FLOWS..2 * FLOWS)
        .filter(|flow| driver.send(0, &(*flow, true)) == Disposition::Delivered(Tag::new(&drained)))
        .count();
    println!(
        "{kept} of {FLOWS} flows keep their target; {misrouted} new ones reach the drained target"
    );

    let target = Tag::new(&Target::new("map-1")?);
    let binding = driver.bind(target).ok_or("no such target")?;
    let answers: Vec<_> = (0..3)
        .map(|_| driver.request(target, &"edit-1", &binding))
        .collect();
    println!(
        "a request sent 3 times ran {} time: {answers:?}",
        driver.adapter.runs
    );
    Ok(())
}
