//! Shows how to drive the core from a bench: opaque packets, abstract requests and a store in
//! memory, behind one small trait. There is no daemon, socket, QUIC, HTTP or clock.
//!
//! A drain while flows are open, balancers that learn of it at different times, and a repeated
//! request: every flow keeps its target, and the request runs once.

use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use lavenderseam::core::admission::{Admission, Bounds, Opener, Outcome, Window};
use lavenderseam::core::flow::owner::{Action, Arrival};
use lavenderseam::core::flow::{Key, Kind, Packet, Reason, router};
use lavenderseam::core::id::{Domain, Group, Incarnation, Region, Tag, Target};
use lavenderseam::core::record::{self, Phase, Schema, Slots};
use lavenderseam::core::request::{self, Begin, Binding, Memory, Ran};
use lavenderseam::prelude::*;

const TARGETS: u16 = 3;
const BALANCERS: usize = 2;
const FLOWS: u32 = 300;

/// What a bench brings: its own packets and requests.
trait Adapter {
    /// A packet, opaque to the core.
    type Packet;
    /// A request, opaque to the core.
    type Request;
    /// The answer of a backend server.
    type Answer: Clone;

    /// The little of a packet that decides where it goes.
    fn packet(&self, packet: &Self::Packet) -> Packet;

    /// The idempotency key of a request.
    fn key(&self, request: &Self::Request) -> request::Key;

    /// Runs a request on the backend server of a target.
    fn run(&mut self, target: Tag, request: &Self::Request) -> Self::Answer;
}

/// Where a packet ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Delivered(Tag),
    Refused,
    Reset,
    Dropped(Reason),
}

/// A store in memory.
#[derive(Default)]
struct Records {
    revision: u64,
    entries: Vec<Entry>,
}

/// One balancer's state.
struct Balancer {
    router: Router,
    catalog: Catalog,
    view: View,
}

/// One agent's state.
struct Agent<A> {
    owner: Owner,
    window: Window,
    memory: Memory<A>,
    view: View,
}

/// All processes, driven by hand.
struct Driver<A: Adapter> {
    adapter: A,
    records: Records,
    balancers: Vec<Balancer>,
    agents: HashMap<Tag, Agent<A::Answer>>,
    now: Instant,
}

impl Records {
    fn write<R: Record>(&mut self, name: &str, record: &R) {
        let mut document = Document::new(R::KIND, name, Schema(1));
        record.write(&mut document);
        self.revision += 1;
        let entry = Entry::with_document(Revision(self.revision), document);
        self.entries.push(entry);
    }
}

impl Balancer {
    fn learn(&mut self, records: &Records) {
        for entry in &records.entries {
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
            records: Records::default(),
            balancers: (0..BALANCERS).map(|_| balancer()).collect(),
            agents: HashMap::new(),
            now: Instant::default(),
        }
    }

    /// Starts a backend server's agent, which announces itself.
    fn join(&mut self, name: &Target, target: &record::Target, bears: &record::Group) {
        self.records.write(name.as_str(), target);
        let tag = Tag::new(name);
        let agent = Agent {
            owner: Owner::new(tag, target.group.clone(), target.domain.clone()),
            window: Window::new(Bounds::from(bears), self.now),
            memory: Memory::new(target.incarnation, tag),
            view: View::default(),
        };
        self.agents.insert(tag, agent);
    }

    /// Lets all agents and one balancer learn of all records.
    fn learn(&mut self, balancer: usize) {
        let balancer = &mut self.balancers[balancer];
        balancer.learn(&self.records);
        for agent in self.agents.values_mut() {
            agent.view = balancer.view.clone();
        }
    }

    /// Follows a packet from a balancer to its end.
    fn send(&mut self, balancer: usize, packet: &A::Packet) -> End {
        let packet = self.adapter.packet(packet);
        let balancer = &self.balancers[balancer];
        let action = balancer.router.packet(&packet, &balancer.view, self.now);
        let (mut next, asks) = match action {
            router::Action::Forward { target, asks, .. } => (target, asks),
            router::Action::Drop(reason) => return End::Dropped(reason),
        };
        let mut trail = Vec::new();
        let mut revision = balancer.view.revision();
        loop {
            let Some(agent) = self.agents.get_mut(&next) else {
                return End::Dropped(Reason::NoTarget);
            };
            let opener = Opener {
                connections: agent.owner.flows(),
                passes: trail.len(),
                draining: false,
                domain_out: false,
            };
            let admits = agent.window.admits(&opener, self.now) == Admission::Admitted;
            let arrival = Arrival {
                packet,
                trail: &trail,
                revision,
            };
            let decision = agent.owner.arrival(&arrival, &agent.view, self.now, admits);
            if let Some(hint) = decision.hint.filter(|_| asks) {
                balancer.router.hint(&hint, &balancer.view, self.now);
            }
            match decision.action {
                Action::Deliver { opened } => {
                    // A real transport reports this after its handshake.
                    if !opened {
                        agent.owner.established(packet.flow, self.now);
                    }
                    return End::Delivered(next);
                }
                Action::Refuse => return End::Refused,
                Action::Reset => return End::Reset,
                Action::Drop(reason) => return End::Dropped(reason),
                Action::Pass {
                    next: target,
                    trail: visited,
                    revision: newest,
                    ..
                } => {
                    next = target;
                    trail = visited;
                    revision = newest;
                }
            }
        }
    }

    /// Binds a request to a target.
    fn bind(&mut self, target: Tag) -> Option<Binding> {
        Some(self.agents.get_mut(&target)?.memory.bind(self.now))
    }

    /// Gives a bound request to a target; repeats are answered from its memory.
    fn request(
        &mut self,
        target: Tag,
        request: &A::Request,
        binding: &Binding,
    ) -> Result<A::Answer, Ran> {
        let agent = self.agents.get_mut(&target).ok_or(Ran::Unknown)?;
        let key = self.adapter.key(request);
        match agent.memory.begin(&key, binding, self.now) {
            Begin::Replay(answer) => Ok(answer),
            Begin::Running => Err(Ran::Unknown),
            Begin::Refuse(ran) => Err(ran),
            Begin::Run => {
                if agent.window.acquire(self.now).is_err() {
                    agent.memory.withdraw(&key, binding, self.now);
                    return Err(Ran::No);
                }
                let answer = self.adapter.run(target, request);
                let held = Duration::from_millis(2);
                let outcome = Outcome::Answered(held);
                agent.window.release(outcome, held, self.now + held);
                let stored = Some((answer.clone(), size_of::<A::Answer>()));
                agent.memory.finish(&key, stored, self.now + held);
                Ok(answer)
            }
        }
    }
}

/// The bench of this example: packets are pairs of numbers, requests are texts.
struct Numbers {
    service: SocketAddr,
    runs: u32,
}

impl Adapter for Numbers {
    type Packet = (u32, bool);
    type Request = &'static str;
    type Answer = u32;

    fn packet(&self, (flow, opens): &(u32, bool)) -> Packet {
        let caller = SocketAddr::from((flow.to_be_bytes(), 4000));
        Packet {
            flow: Key::new(1, caller, self.service),
            service: self.service,
            kind: if *opens {
                Kind::Opener
            } else {
                Kind::Continuing
            },
            token: None,
        }
    }

    fn key(&self, request: &&'static str) -> request::Key {
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

fn driver() -> Result<Driver<Numbers>, Box<dyn Error>> {
    let service = SocketAddr::from(([192, 0, 2, 1], 443));
    let mut driver = Driver::new(Numbers { service, runs: 0 });
    let group = Group::new("map-store")?;
    let bears = record::Group {
        slots: Slots(4),
        connections: 2_000,
        cold_slots: Slots(1),
        drain: Duration::from_secs(30),
    };
    driver.records.write(group.as_str(), &bears);
    let addresses = vec![service];
    let record = record::Service {
        addresses,
        group: group.clone(),
    };
    driver.records.write("maps", &record);
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
        driver.join(&Target::new(&format!("map-{index}"))?, &target, &bears);
    }
    Ok(driver)
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut driver = driver()?;
    (0..BALANCERS).for_each(|balancer| driver.learn(balancer));
    let owners: Vec<End> = (0..FLOWS)
        .map(|flow| driver.send(0, &(flow, true)))
        .collect();
    // Operators drain a target; the agents and balancer 1 know, balancer 0 doesn't yet.
    let drained = Target::new("map-0")?;
    let order = record::Drain {
        target: drained.clone(),
    };
    driver.records.write("drain-map-0", &order);
    driver.learn(1);
    let kept = (0..FLOWS)
        .filter(|flow| {
            let balancer = (flow % 2) as usize;
            driver.send(balancer, &(*flow, false)) == owners[*flow as usize]
        })
        .count();
    let new = (FLOWS..2 * FLOWS)
        .filter(|flow| driver.send(0, &(*flow, true)) == End::Delivered(Tag::new(&drained)))
        .count();
    println!("{kept} of {FLOWS} flows keep their target; {new} new ones reach the drained target");

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
