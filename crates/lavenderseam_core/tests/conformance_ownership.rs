//! The steps of `model/ownership.pml` against the real routers and owners, with unequal views: every
//! sequence up to a bound, and long ones drawn from seeds.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod explorer;
mod world;

use explorer::{Path, explore, sample};
use googletest::prelude::*;
use lavenderseam_core::catalog::Revision;
use lavenderseam_core::flow::owner::{Action, Arrival};
use lavenderseam_core::flow::router::{Action as Routed, Settings};
use lavenderseam_core::flow::{Hint, Key, Kind, Owner, Packet, Router, Token};
use lavenderseam_core::id::Tag;
use lavenderseam_core::time::Instant;
use lavenderseam_core::view::View;
use world::{World, continuing, domain, group, key, opener, service, tag};

const AGENTS: usize = 3;
const BALANCERS: usize = 2;
/// Every sequence within these is taken.
const SHORT: Bounds = Bounds {
    lagging: [false, true, false],
    openers: 2,
    continuing: 2,
    steps: 9,
};
/// Sequences within these are drawn.
const LONG: Bounds = Bounds {
    lagging: [false, true, false],
    openers: 6,
    continuing: 8,
    steps: 60,
};
const SAMPLES: u64 = 20_000;
const NOW: Instant = Instant(1_000);

/// A packet or message on its way.
#[derive(Clone)]
enum Sent {
    Forward {
        agent: usize,
        balancer: usize,
        packet: Packet,
        mark: u32,
        trail: Vec<Tag>,
        revision: Revision,
    },
    Hint(usize, Hint),
    Yield(usize),
    Answer(u32),
    Reset(u32),
}

#[derive(Clone, Copy)]
struct Bounds {
    /// Agents that hold the older view, as balancer 1 does.
    lagging: [bool; AGENTS],
    openers: u32,
    continuing: u32,
    steps: usize,
}

/// How often the steps that matter were taken, so that the bounds can't leave them out.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    rivals: u64,
    passes: u64,
    yields: u64,
    yields_to_established: u64,
    established: u64,
}

struct Fleet<'a> {
    bounds: Bounds,
    seen: Seen,
    tokens: bool,
    views: &'a [View; 2],
    routers: [Router; BALANCERS],
    owners: Vec<Owner>,
    /// The connection that an agent's transport holds; 0 if none.
    connections: [u32; AGENTS],
    marks: u32,
    owner_of: Vec<usize>,
    bag: Vec<Sent>,
    follows: u32,
    openers: u32,
    sent: u32,
    /// The established connection and its agent.
    held: Option<(u32, usize)>,
}

fn flow() -> Key {
    key(1)
}

fn agent_of(found: Tag) -> usize {
    (0..AGENTS).find(|index| tag(*index) == found).unwrap()
}

impl<'a> Fleet<'a> {
    fn new(views: &'a [View; 2], tokens: bool, bounds: Bounds) -> Self {
        let settings = Settings {
            shards: 1,
            capacity: 8,
            ..Settings::default()
        };
        let owner = |index| Owner::new(tag(index), group(0), domain(index));
        Self {
            bounds,
            seen: Seen::default(),
            tokens,
            views,
            routers: [Router::new(settings), Router::new(settings)],
            owners: (0..AGENTS).map(owner).collect(),
            connections: [0; AGENTS],
            marks: 0,
            owner_of: vec![0],
            bag: Vec::new(),
            follows: 0,
            openers: 0,
            sent: 0,
            held: None,
        }
    }

    /// Balancer 1 holds the older view.
    fn balancer_view(&self, balancer: usize) -> &'a View {
        &self.views[balancer]
    }

    fn agent_view(&self, agent: usize) -> &'a View {
        &self.views[usize::from(self.bounds.lagging[agent])]
    }

    fn step(&mut self, path: &mut Path) {
        let may_open = self.follows == 0 && self.openers < self.bounds.openers;
        let may_send = self.follows != 0 && self.sent < self.bounds.continuing;
        let sources = usize::from(may_open || may_send) * BALANCERS;
        let count = sources + self.bag.len();
        if count == 0 {
            return;
        }
        let chosen = path.choose(count);
        if chosen >= sources {
            let sent = self.bag.remove(chosen - sources);
            self.take(&sent, path);
        } else if may_open {
            self.openers += 1;
            self.enter(chosen, opener(flow(), service(0)), 0);
        } else {
            self.sent += 1;
            let owner = tag(self.owner_of[self.follows as usize]);
            let nonce = self.follows;
            let token = self.tokens.then_some(Token { owner, nonce });
            let packet = Packet {
                token,
                ..continuing(flow(), service(0))
            };
            self.enter(chosen, packet, self.follows);
        }
        self.check();
    }

    /// A balancer takes a packet of the caller in.
    fn enter(&mut self, balancer: usize, packet: Packet, mark: u32) {
        let view = self.balancer_view(balancer);
        let Routed::Forward { target, .. } = self.routers[balancer].packet(&packet, view, NOW)
        else {
            return;
        };
        self.bag.push(Sent::Forward {
            agent: agent_of(target),
            balancer,
            packet,
            mark,
            trail: Vec::new(),
            revision: view.revision(),
        });
    }

    fn take(&mut self, sent: &Sent, path: &mut Path) {
        match sent {
            Sent::Forward { agent, packet, .. } if packet.kind == Kind::Opener => {
                let admits = self.connections[*agent] != 0 || path.choose(2) == 0;
                self.arrive(sent, admits);
            }
            Sent::Forward { .. } => self.arrive(sent, false),
            Sent::Hint(balancer, hint) => {
                let view = self.balancer_view(*balancer);
                if let Some(order) = self.routers[*balancer].hint(hint, view, NOW) {
                    self.bag.push(Sent::Yield(agent_of(order.loser)));
                }
            }
            Sent::Yield(agent) => {
                self.seen.yields += 1;
                let holds = self.held.is_some_and(|(_, holder)| holder == *agent);
                self.seen.yields_to_established += u64::from(holds);
                if self.owners[*agent].yielded(flow()) {
                    self.connections[*agent] = 0;
                }
            }
            Sent::Answer(mark) if self.follows == 0 => self.follows = *mark,
            Sent::Reset(mark) if self.follows == *mark => self.follows = 0,
            Sent::Answer(_) | Sent::Reset(_) => {}
        }
    }

    fn arrive(&mut self, sent: &Sent, admits: bool) {
        let Sent::Forward {
            agent,
            balancer,
            packet,
            mark,
            trail,
            revision,
        } = sent
        else {
            return;
        };
        let arrival = Arrival {
            packet: *packet,
            trail,
            revision: *revision,
        };
        let view = self.agent_view(*agent);
        let decision = self.owners[*agent].arrival(&arrival, view, NOW, admits);
        if let Some(hint) = decision.hint {
            self.bag.push(Sent::Hint(*balancer, hint));
        }
        match decision.action {
            Action::Deliver { opened } => self.deliver(sent, opened),
            Action::Pass {
                next,
                trail: visited,
                revision,
                ..
            } => {
                self.seen.passes += 1;
                assert_eq!(visited.len(), trail.len() + 1);
                assert!(visited.len() <= AGENTS && !visited.contains(&next));
                self.bag.push(Sent::Forward {
                    agent: agent_of(next),
                    balancer: *balancer,
                    packet: *packet,
                    mark: *mark,
                    trail: visited,
                    revision,
                });
            }
            Action::Reset => self.reset(*mark),
            Action::Refuse | Action::Drop(_) => {}
        }
    }

    /// The transport of an agent takes a packet.
    fn deliver(&mut self, sent: &Sent, opened: bool) {
        let Sent::Forward {
            agent,
            packet,
            mark,
            ..
        } = sent
        else {
            return;
        };
        let agent = *agent;
        if packet.kind == Kind::Opener {
            if opened {
                self.marks += 1;
                self.connections[agent] = self.marks;
                let owners = self.connections.iter().filter(|mark| **mark != 0);
                self.seen.rivals += u64::from(owners.count() > 1);
                self.owner_of.push(agent);
            }
            self.bag.push(Sent::Answer(self.connections[agent]));
        } else if self.connections[agent] == *mark {
            self.establish(agent, *mark);
        } else if self.tokens {
            self.reset(*mark);
        } else {
            self.refuse_foreign(sent, agent, *mark);
        }
    }

    /// The transport finds that a packet doesn't fit what was sent from here: an embryonic flow is
    /// given up, and the packet goes on; an established one drops it, which may only happen to a
    /// late packet of a connection that the caller has given up.
    fn refuse_foreign(&mut self, sent: &Sent, agent: usize, mark: u32) {
        if self.owners[agent].yielded(flow()) {
            self.connections[agent] = 0;
            self.arrive(sent, false);
            return;
        }
        assert_ne!(
            self.follows, mark,
            "an established owner took a packet of the connection that is followed"
        );
    }

    fn establish(&mut self, agent: usize, mark: u32) {
        assert_eq!(
            self.follows, mark,
            "delivered to a connection that isn't followed"
        );
        assert!(
            self.held.is_none_or(|(held, _)| held == mark),
            "a flow has two owners"
        );
        self.held = Some((mark, agent));
        self.seen.established += 1;
        self.owners[agent].established(flow(), NOW);
    }

    fn reset(&mut self, mark: u32) {
        assert!(
            self.held.is_none_or(|(held, _)| held != mark),
            "an established flow was reset"
        );
        self.bag.push(Sent::Reset(mark));
    }

    fn check(&self) {
        if let Some((mark, agent)) = self.held {
            assert!(
                self.owners[agent].owns(flow()),
                "an established flow was forgotten"
            );
            assert_eq!(self.connections[agent], mark);
        }
    }
}

fn run(path: &mut Path, views: &[View; 2], tokens: bool, bounds: Bounds) -> Seen {
    let mut fleet = Fleet::new(views, tokens, bounds);
    for _ in 0..bounds.steps {
        fleet.step(path);
    }
    fleet.seen
}

impl Seen {
    fn add(&mut self, other: Self) {
        self.rivals += other.rivals;
        self.passes += other.passes;
        self.yields += other.yields;
        self.yields_to_established += other.yields_to_established;
        self.established += other.established;
    }
}

fn take_steps(views: &[View; 2], tokens: bool) -> Seen {
    let mut seen = Seen::default();
    explore(|path| seen.add(run(path, views, tokens, SHORT)));
    sample(SAMPLES, |path| seen.add(run(path, views, tokens, LONG)));
    println!("{seen:?}");
    seen
}

/// The newer view drains target 0.
fn draining() -> [View; 2] {
    let mut world = World::new(AGENTS);
    let older = world.view();
    world.set_draining(0, true);
    [world.view(), older]
}

/// The older view lacks target 2.
fn joined() -> [View; 2] {
    let mut world = World::new(AGENTS);
    world.leave(2);
    let older = world.view();
    world.join(2, 0);
    [world.view(), older]
}

fn expect_all_steps(seen: Seen) {
    expect_that!(seen.rivals, gt(0), "two owners of one flow");
    expect_that!(seen.passes, gt(0), "passed on");
    expect_that!(seen.yields, gt(0), "given up by order");
    expect_that!(
        seen.yields_to_established,
        gt(0),
        "told to give up while established"
    );
    expect_that!(seen.established, gt(0), "established");
}

#[gtest]
fn flows_with_tokens_take_the_steps_of_the_model() {
    expect_all_steps(take_steps(&draining(), true));
    expect_all_steps(take_steps(&joined(), true));
}

#[gtest]
fn flows_without_tokens_take_the_steps_of_the_model() {
    expect_all_steps(take_steps(&draining(), false));
    expect_all_steps(take_steps(&joined(), false));
}

/// The target that has just joined holds the flow, and all others lag.
#[gtest]
fn agents_that_lag_reset_no_flow_without_token() {
    let bounds = Bounds {
        lagging: [true, true, false],
        ..LONG
    };
    let views = joined();
    sample(SAMPLES, |path| {
        run(path, &views, false, bounds);
    });
}
