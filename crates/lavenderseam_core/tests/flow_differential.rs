//! Differential test of the routers and flow owners against reference implementations, with random
//! events, different views and lost hints. Also checks invariants of each packet.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod flow_reference;
mod world;

use std::time::Duration;

use flow_reference::{EMBRYONIC_TIMEOUT, IDLE_TIMEOUT, ReferenceBalancer, ReferenceOwners};
use lavenderseam_core::flow::owner::{self, Action, ForwardedPacket};
use lavenderseam_core::flow::{
    Key, Kind, MAX_VISITED_TARGETS, Owner, Packet, Router, Token, router,
};
use lavenderseam_core::id::Tag;
use lavenderseam_core::time::Instant;
use lavenderseam_core::view::View;
use proptest::prelude::*;
use world::{Deployment, domain, flow_key, group, service_address, tag};

/// Number of targets in each of the two groups.
const TARGETS: usize = 3;
const AGENTS: usize = 2 * TARGETS;
const BALANCERS: usize = 2;
const FLOWS: u32 = 6;
/// Number of services; service 2 moves between the groups.
const SERVICES: usize = 3;

#[derive(Clone, Debug)]
enum Event {
    Join(usize),
    Leave(usize),
    Out(usize, bool),
    Drain(usize, bool),
    Down(usize, bool),
    Move(usize),
    /// A process advances to a later view.
    Update(usize, usize),
    Packet {
        balancer: usize,
        flow: u32,
        kind: Kind,
        token: Option<usize>,
        /// Whether admission control of each agent accepts a new flow.
        admits: [bool; AGENTS],
        delivers_hint: bool,
    },
    Established(usize, u32),
    Closed(usize, u32),
    Yielded(usize, u32),
    Wait(u64),
}

fn events() -> impl Strategy<Value = Event> {
    let agent = 0..AGENTS;
    let packet = (
        0..BALANCERS,
        0..FLOWS,
        prop_oneof![Just(Kind::Opener), Just(Kind::Continuing)],
        prop::option::weighted(0.3, 0..AGENTS),
        prop::array::uniform6(prop::bool::weighted(0.7)),
        prop::bool::weighted(0.8),
    )
        .prop_map(
            |(balancer, flow, kind, token, admits, delivers_hint)| Event::Packet {
                balancer,
                flow,
                kind,
                token,
                admits,
                delivers_hint,
            },
        );
    prop_oneof![
        1 => agent.clone().prop_map(Event::Join),
        1 => agent.clone().prop_map(Event::Leave),
        1 => (0..3usize, any::<bool>()).prop_map(|(domain, out)| Event::Out(domain, out)),
        1 => (agent.clone(), any::<bool>()).prop_map(|(of, drains)| Event::Drain(of, drains)),
        1 => (agent.clone(), any::<bool>()).prop_map(|(of, down)| Event::Down(of, down)),
        1 => (0..2usize).prop_map(Event::Move),
        6 => (0..AGENTS + BALANCERS, 1..4usize).prop_map(|(of, by)| Event::Update(of, by)),
        16 => packet,
        4 => (agent.clone(), 0..FLOWS).prop_map(|(of, flow)| Event::Established(of, flow)),
        1 => (agent.clone(), 0..FLOWS).prop_map(|(of, flow)| Event::Closed(of, flow)),
        1 => (agent, 0..FLOWS).prop_map(|(of, flow)| Event::Yielded(of, flow)),
        3 => (0..7_000u64).prop_map(Event::Wait),
    ]
}

/// Processes under test, with their reference implementations.
struct Cluster {
    world: Deployment,
    views: Vec<View>,
    /// Index of the view that each process uses; agents come first.
    view_index: Vec<usize>,
    routers: Vec<Router>,
    reference_balancers: Vec<ReferenceBalancer>,
    agents: Vec<Owner>,
    reference_owners: ReferenceOwners,
    now: Instant,
}

impl Cluster {
    fn new() -> Self {
        let mut world = Deployment::new(TARGETS);
        world.set_service(2, 0);
        let settings = owner::Settings {
            embryonic_timeout: EMBRYONIC_TIMEOUT,
            idle_timeout: Some(IDLE_TIMEOUT),
            max_flows: 100,
        };
        let agent = |index: usize| {
            let (group, domain) = (group(index / TARGETS), domain(index % 3));
            Owner::with_settings(tag(index), group, domain, settings)
        };
        let router = |_| {
            Router::new(router::Settings {
                shard_count: 2,
                capacity: 4_096,
                answer_timeout: Duration::from_millis(300),
                hints_per_second: 3,
            })
        };
        Self {
            views: vec![world.view()],
            world,
            view_index: vec![0; AGENTS + BALANCERS],
            routers: (0..BALANCERS).map(router).collect(),
            reference_balancers: (0..BALANCERS)
                .map(|_| ReferenceBalancer::default())
                .collect(),
            agents: (0..AGENTS).map(agent).collect(),
            reference_owners: ReferenceOwners::default(),
            now: world::instant_ms(1),
        }
    }

    fn view(&self, process: usize) -> View {
        self.views[self.view_index[process]].clone()
    }

    fn apply(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match *event {
            Event::Join(index) => self.world.add_target(index, index / TARGETS),
            Event::Leave(index) => self.world.remove_target(index),
            Event::Out(index, out) => self.world.set_domain_out(index, out),
            Event::Drain(index, draining) => self.world.set_draining(index, draining),
            Event::Down(index, down) => self.world.set_down(index, down),
            Event::Move(of) => self.world.set_service(2, of),
            Event::Update(process, by) => {
                let latest = self.views.len() - 1;
                self.view_index[process] = (self.view_index[process] + by).min(latest);
                return Ok(());
            }
            Event::Packet {
                balancer,
                flow,
                kind,
                token,
                admits,
                delivers_hint,
            } => {
                let token = token.map(|owner| Token {
                    owner: tag(owner),
                    nonce: 1,
                });
                let packet = Packet {
                    flow: flow_key(flow),
                    service: service_address(flow as usize % SERVICES),
                    kind,
                    token,
                };
                return self.packet(balancer, packet, admits, delivers_hint);
            }
            Event::Established(agent, flow) => {
                self.agents[agent].mark_established(flow_key(flow), self.now);
                self.reference_owners
                    .mark_established(tag(agent), flow_key(flow), self.now);
                return Ok(());
            }
            Event::Closed(agent, flow) => {
                self.agents[agent].remove(flow_key(flow));
                self.reference_owners.remove(tag(agent), flow_key(flow));
                return Ok(());
            }
            Event::Yielded(agent, flow) => {
                self.agents[agent].release_embryonic(flow_key(flow));
                self.reference_owners
                    .release_embryonic(tag(agent), flow_key(flow));
                return Ok(());
            }
            Event::Wait(milliseconds) => {
                self.now = self.now + Duration::from_millis(milliseconds);
                return Ok(());
            }
        }
        self.views.push(self.world.view());
        Ok(())
    }

    fn packet(
        &mut self,
        balancer: usize,
        packet: Packet,
        admits: [bool; AGENTS],
        delivers_hint: bool,
    ) -> Result<(), TestCaseError> {
        let view = self.view(AGENTS + balancer);
        let action = self.routers[balancer].route(&packet, &view, self.now);
        let expected = self.reference_balancers[balancer].packet(&packet, &view);
        let first = match (action, expected) {
            (router::Action::Drop(reason), Err(expected)) => {
                prop_assert_eq!(reason, expected);
                return Ok(());
            }
            (router::Action::Forward { target, .. }, Ok(choices)) => {
                prop_assert!(
                    choices.contains(&target),
                    "target {target} is not among the expected {choices:?}"
                );
                target
            }
            (action, expected) => {
                return Err(TestCaseError::fail(format!(
                    "routed as {action:?}, expected {expected:?}"
                )));
            }
        };
        let group = &view.service_at(packet.service).unwrap().group;
        prop_assert_eq!(&view.target_by_tag(first).unwrap().group, group);
        if packet.kind == Kind::Opener && packet.token.is_none() {
            self.reference_balancers[balancer].sent(packet.flow, first, self.now);
        }
        let (last, end, hint) = self.deliver(packet, first, &view, admits)?;
        self.check_end(packet, last, &end)?;
        if let Some(hint) = hint.filter(|_| delivers_hint) {
            let release = self.routers[balancer].apply_hint(&hint, &view, self.now);
            let expected = self.reference_balancers[balancer].hint(&hint);
            let expected =
                expected.filter(|losing_owner| view.target_by_tag(*losing_owner).is_some());
            prop_assert_eq!(release.map(|release| release.losing_owner), expected);
        }
        Ok(())
    }

    /// Forwards a packet from agent to agent until it is delivered, refused, reset or dropped.
    fn deliver(
        &mut self,
        packet: Packet,
        first: Tag,
        view: &View,
        admits: [bool; AGENTS],
    ) -> Result<(usize, Action, Option<lavenderseam_core::flow::Hint>), TestCaseError> {
        let mut at = first;
        let mut visited_targets = Vec::new();
        let mut revision = view.revision();
        loop {
            prop_assert!(visited_targets.len() < MAX_VISITED_TARGETS);
            prop_assert!(
                !visited_targets.contains(&at),
                "target {at} was visited twice"
            );
            let index = (0..AGENTS).find(|index| tag(*index) == at).unwrap();
            let view = self.view(index);
            let forwarded = ForwardedPacket {
                packet,
                visited: &visited_targets,
                revision,
            };
            let admits = admits[index];
            let decision = self.agents[index].handle_packet(&forwarded, &view, self.now, admits);
            let place = (at, &group(index / TARGETS), &domain(index % 3));
            let expected = self
                .reference_owners
                .handle_packet(place, &forwarded, &view, self.now, admits);
            prop_assert_eq!((decision.action.clone(), decision.hint), expected);
            match decision.action {
                Action::Forward {
                    next,
                    visited,
                    revision: newest,
                    ..
                } => {
                    at = next;
                    visited_targets = visited;
                    revision = newest;
                }
                end => return Ok((index, end, decision.hint)),
            }
        }
    }

    fn check_end(&self, packet: Packet, last: usize, end: &Action) -> Result<(), TestCaseError> {
        if matches!(end, Action::Deliver { .. }) {
            let view = self.view(last);
            let service = view.service_at(packet.service).unwrap();
            prop_assert_eq!(
                &service.group,
                &group(last / TARGETS),
                "delivered to another service"
            );
            prop_assert!(
                !view.is_domain_out(&domain(last % 3)),
                "delivered in a failure domain that is out of service"
            );
        }
        let newest = self.views.len() - 1;
        if self.view_index.iter().all(|index| *index == newest) {
            self.check_equal_views(packet, last, end)?;
        }
        Ok(())
    }

    /// Checks that packets of an established flow are delivered if all processes use the same view
    /// and an owner of the flow may hold flows.
    fn check_equal_views(
        &self,
        packet: Packet,
        last: usize,
        end: &Action,
    ) -> Result<(), TestCaseError> {
        let view = self.views.last().unwrap();
        let service = view.service_at(packet.service).unwrap();
        let alive = |owner: &Tag| {
            let mut candidates = service.candidates.iter();
            candidates.any(|c| c.tag == *owner && c.accepts_established_flows())
        };
        let owners = match packet.token {
            Some(token) => vec![token.owner],
            None => self.reference_owners.established_owners(packet.flow),
        };
        if packet.kind == Kind::Continuing && owners.iter().any(alive) {
            prop_assert!(
                matches!(end, Action::Deliver { .. }),
                "packet of an established flow ended at agent {last} with {end:?}"
            );
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: prop::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn routers_and_owners_match_the_reference(events in prop::collection::vec(events(), 1..120)) {
        let mut cluster = Cluster::new();
        for event in &events {
            cluster.apply(event)?;
        }
    }
}

/// Each flow key must be used with one service only.
#[googletest::gtest]
fn flow_keys_are_distinct() {
    let mut keys: Vec<Key> = (0..FLOWS).map(flow_key).collect();
    keys.sort_unstable();
    keys.dedup();
    googletest::expect_that!(keys.len(), googletest::prelude::eq(FLOWS as usize));
}
