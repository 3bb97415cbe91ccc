//! Checks the routers and the flow owners against the model `model/ownership.pml`, with different
//! views: takes all event sequences up to a bound, and long random ones from fixed seeds.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod explorer;
mod world;

use explorer::{Path, explore, sample};
use googletest::prelude::*;
use lavenderseam_core::catalog::Revision;
use lavenderseam_core::flow::owner::{Action, ForwardedPacket};
use lavenderseam_core::flow::router::{Action as Routed, Settings};
use lavenderseam_core::flow::{Hint, Key, Kind, Owner, Packet, Router, Token};
use lavenderseam_core::id::Tag;
use lavenderseam_core::time::Instant;
use lavenderseam_core::view::View;
use world::{
    Deployment, continuing_packet, domain, flow_key, group, opener_packet, service_address, tag,
};

const AGENTS: usize = 3;
const BALANCERS: usize = 2;
/// Limits of the exhaustive exploration.
const EXHAUSTIVE: Limits = Limits {
    uses_older_view: [false, true, false],
    openers: 2,
    continuing: 2,
    steps: 9,
};
/// Limits of the randomly sampled sequences.
const SAMPLED: Limits = Limits {
    uses_older_view: [false, true, false],
    openers: 6,
    continuing: 8,
    steps: 60,
};
const SAMPLES: u64 = 20_000;
const NOW: Instant = Instant(1_000);

/// Packet or message in transit.
#[derive(Clone)]
enum InTransit {
    Forward {
        agent: usize,
        balancer: usize,
        packet: Packet,
        connection: u32,
        visited: Vec<Tag>,
        revision: Revision,
    },
    Hint(usize, Hint),
    Yield(usize),
    Answer(u32),
    Reset(u32),
}

#[derive(Clone, Copy)]
struct Limits {
    /// Agents that use the older view, as balancer 1 does.
    uses_older_view: [bool; AGENTS],
    openers: u32,
    continuing: u32,
    steps: usize,
}

/// Counts of the relevant events, to check that the limits don't exclude any of them.
#[derive(Clone, Copy, Debug, Default)]
struct Coverage {
    concurrent_owners: u64,
    forwards: u64,
    releases: u64,
    releases_of_established: u64,
    established: u64,
}

struct Simulation<'a> {
    limits: Limits,
    coverage: Coverage,
    tokens: bool,
    views: &'a [View; 2],
    routers: [Router; BALANCERS],
    owners: Vec<Owner>,
    /// Connection of each agent's transport; 0 if none.
    connections: [u32; AGENTS],
    connection_count: u32,
    owner_of: Vec<usize>,
    in_transit: Vec<InTransit>,
    /// Connection that the caller uses; 0 if none.
    current: u32,
    openers: u32,
    sent: u32,
    /// Established connection and its agent.
    established: Option<(u32, usize)>,
}

fn flow() -> Key {
    flow_key(1)
}

fn agent_of(found: Tag) -> usize {
    (0..AGENTS).find(|index| tag(*index) == found).unwrap()
}

impl<'a> Simulation<'a> {
    /// Creates a simulation with a newer and an older view, in this order; if `tokens` is set, each
    /// continuing packet carries a token with the owner of its connection.
    fn new(views: &'a [View; 2], tokens: bool, limits: Limits) -> Self {
        let settings = Settings {
            shard_count: 1,
            capacity: 8,
            ..Settings::default()
        };
        let owner = |index| Owner::new(tag(index), group(0), domain(index));
        Self {
            limits,
            coverage: Coverage::default(),
            tokens,
            views,
            routers: [Router::new(settings), Router::new(settings)],
            owners: (0..AGENTS).map(owner).collect(),
            connections: [0; AGENTS],
            connection_count: 0,
            owner_of: vec![0],
            in_transit: Vec::new(),
            current: 0,
            openers: 0,
            sent: 0,
            established: None,
        }
    }

    /// Returns the view of a balancer; balancer 1 uses the older one.
    fn balancer_view(&self, balancer: usize) -> &'a View {
        &self.views[balancer]
    }

    fn agent_view(&self, agent: usize) -> &'a View {
        &self.views[usize::from(self.limits.uses_older_view[agent])]
    }

    fn step(&mut self, path: &mut Path) {
        let may_open = self.current == 0 && self.openers < self.limits.openers;
        let may_send = self.current != 0 && self.sent < self.limits.continuing;
        let sources = usize::from(may_open || may_send) * BALANCERS;
        let count = sources + self.in_transit.len();
        if count == 0 {
            return;
        }
        let choice = path.choose(count);
        if choice >= sources {
            let sent = self.in_transit.remove(choice - sources);
            self.receive(&sent, path);
        } else if may_open {
            self.openers += 1;
            self.send(choice, opener_packet(flow(), service_address(0)), 0);
        } else {
            self.sent += 1;
            let owner = tag(self.owner_of[self.current as usize]);
            let nonce = self.current;
            let token = self.tokens.then_some(Token { owner, nonce });
            let packet = Packet {
                token,
                ..continuing_packet(flow(), service_address(0))
            };
            self.send(choice, packet, self.current);
        }
        self.check();
    }

    /// Routes a packet from the caller through a balancer.
    fn send(&mut self, balancer: usize, packet: Packet, connection: u32) {
        let view = self.balancer_view(balancer);
        let Routed::Forward { target, .. } = self.routers[balancer].route(&packet, view, NOW)
        else {
            return;
        };
        self.in_transit.push(InTransit::Forward {
            agent: agent_of(target),
            balancer,
            packet,
            connection,
            visited: Vec::new(),
            revision: view.revision(),
        });
    }

    fn receive(&mut self, sent: &InTransit, path: &mut Path) {
        match sent {
            InTransit::Forward { agent, packet, .. } if packet.kind == Kind::Opener => {
                let admits = self.connections[*agent] != 0 || path.choose(2) == 0;
                self.arrive(sent, admits);
            }
            InTransit::Forward { .. } => self.arrive(sent, false),
            InTransit::Hint(balancer, hint) => {
                let view = self.balancer_view(*balancer);
                if let Some(release) = self.routers[*balancer].apply_hint(hint, view, NOW) {
                    self.in_transit
                        .push(InTransit::Yield(agent_of(release.losing_owner)));
                }
            }
            InTransit::Yield(agent) => {
                self.coverage.releases += 1;
                let holds = self.established.is_some_and(|(_, holder)| holder == *agent);
                self.coverage.releases_of_established += u64::from(holds);
                if self.owners[*agent].release_embryonic(flow()) {
                    self.connections[*agent] = 0;
                }
            }
            InTransit::Answer(connection) if self.current == 0 => self.current = *connection,
            InTransit::Reset(connection) if self.current == *connection => self.current = 0,
            InTransit::Answer(_) | InTransit::Reset(_) => {}
        }
    }

    fn arrive(&mut self, sent: &InTransit, admits: bool) {
        let InTransit::Forward {
            agent,
            balancer,
            packet,
            connection,
            visited,
            revision,
        } = sent
        else {
            return;
        };
        let forwarded = ForwardedPacket {
            packet: *packet,
            visited,
            revision: *revision,
        };
        let view = self.agent_view(*agent);
        let decision = self.owners[*agent].handle_packet(&forwarded, view, NOW, admits);
        if let Some(hint) = decision.hint {
            self.in_transit.push(InTransit::Hint(*balancer, hint));
        }
        match decision.action {
            Action::Deliver { opened } => self.deliver(sent, opened),
            Action::Forward {
                next,
                visited,
                revision,
                ..
            } => {
                self.coverage.forwards += 1;
                assert_eq!(visited.len(), forwarded.visited.len() + 1);
                assert!(visited.len() <= AGENTS && !visited.contains(&next));
                self.in_transit.push(InTransit::Forward {
                    agent: agent_of(next),
                    balancer: *balancer,
                    packet: *packet,
                    connection: *connection,
                    visited,
                    revision,
                });
            }
            Action::Reset => self.reset(*connection),
            Action::Refuse | Action::Drop(_) => {}
        }
    }

    /// Delivers a packet to the transport of an agent.
    fn deliver(&mut self, sent: &InTransit, opened: bool) {
        let InTransit::Forward {
            agent,
            packet,
            connection,
            ..
        } = sent
        else {
            return;
        };
        let agent = *agent;
        if packet.kind == Kind::Opener {
            if opened {
                self.connection_count += 1;
                self.connections[agent] = self.connection_count;
                let owners = self
                    .connections
                    .iter()
                    .filter(|connection| **connection != 0);
                self.coverage.concurrent_owners += u64::from(owners.count() > 1);
                self.owner_of.push(agent);
            }
            self.in_transit
                .push(InTransit::Answer(self.connections[agent]));
        } else if self.connections[agent] == *connection {
            self.establish(agent, *connection);
        } else if self.tokens {
            self.reset(*connection);
        } else {
            self.handle_mismatch(sent, agent, *connection);
        }
    }

    /// Handles a packet that doesn't match the connection of the transport.
    ///
    /// An embryonic flow is released and the packet is forwarded. An established flow drops the
    /// packet, which may only happen to a delayed packet of a connection that the caller has
    /// abandoned.
    fn handle_mismatch(&mut self, sent: &InTransit, agent: usize, connection: u32) {
        if self.owners[agent].release_embryonic(flow()) {
            self.connections[agent] = 0;
            self.arrive(sent, false);
            return;
        }
        assert_ne!(
            self.current, connection,
            "an established owner dropped a packet of the caller's current connection"
        );
    }

    fn establish(&mut self, agent: usize, connection: u32) {
        assert_eq!(
            self.current, connection,
            "delivered to a connection that the caller doesn't use"
        );
        assert!(
            self.established
                .is_none_or(|(established, _)| established == connection),
            "two connections of one flow are established"
        );
        self.established = Some((connection, agent));
        self.coverage.established += 1;
        self.owners[agent].mark_established(flow(), NOW);
    }

    fn reset(&mut self, connection: u32) {
        assert!(
            self.established
                .is_none_or(|(established, _)| established != connection),
            "an established flow was reset"
        );
        self.in_transit.push(InTransit::Reset(connection));
    }

    fn check(&self) {
        if let Some((connection, agent)) = self.established {
            assert!(
                self.owners[agent].owns(flow()),
                "the owner of an established flow removed it"
            );
            assert_eq!(self.connections[agent], connection);
        }
    }
}

fn run(path: &mut Path, views: &[View; 2], tokens: bool, limits: Limits) -> Coverage {
    let mut simulation = Simulation::new(views, tokens, limits);
    for _ in 0..limits.steps {
        simulation.step(path);
    }
    simulation.coverage
}

impl Coverage {
    fn add(&mut self, other: Self) {
        self.concurrent_owners += other.concurrent_owners;
        self.forwards += other.forwards;
        self.releases += other.releases;
        self.releases_of_established += other.releases_of_established;
        self.established += other.established;
    }
}

fn run_all(views: &[View; 2], tokens: bool) -> Coverage {
    let mut seen = Coverage::default();
    explore(|path| seen.add(run(path, views, tokens, EXHAUSTIVE)));
    sample(SAMPLES, |path| seen.add(run(path, views, tokens, SAMPLED)));
    println!("{seen:?}");
    seen
}

/// Returns the newer and the older view; target 0 drains in the newer one.
fn views_with_draining_target() -> [View; 2] {
    let mut world = Deployment::new(AGENTS);
    let older = world.view();
    world.set_draining(0, true);
    [world.view(), older]
}

/// Returns the newer and the older view; target 2 is missing from the older one.
fn views_with_joined_target() -> [View; 2] {
    let mut world = Deployment::new(AGENTS);
    world.remove_target(2);
    let older = world.view();
    world.add_target(2, 0);
    [world.view(), older]
}

fn expect_full_coverage(coverage: Coverage) {
    expect_that!(
        coverage.concurrent_owners,
        gt(0),
        "no flow had two owners at a time"
    );
    expect_that!(coverage.forwards, gt(0), "no packet was forwarded");
    expect_that!(coverage.releases, gt(0), "no release was requested");
    expect_that!(
        coverage.releases_of_established,
        gt(0),
        "no release of an established flow was requested"
    );
    expect_that!(coverage.established, gt(0), "established");
}

#[gtest]
fn flows_with_tokens_conform_to_the_model() {
    expect_full_coverage(run_all(&views_with_draining_target(), true));
    expect_full_coverage(run_all(&views_with_joined_target(), true));
}

#[gtest]
fn flows_without_tokens_conform_to_the_model() {
    expect_full_coverage(run_all(&views_with_draining_target(), false));
    expect_full_coverage(run_all(&views_with_joined_target(), false));
}

/// The flow is owned by a target that has just joined, and all other agents use the older view.
#[gtest]
fn agents_with_older_views_reset_no_flow_without_token() {
    let limits = Limits {
        uses_older_view: [true, true, false],
        ..SAMPLED
    };
    let views = views_with_joined_target();
    sample(SAMPLES, |path| {
        run(path, &views, false, limits);
    });
}
