//! How balancers and agents that start come to know the others.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod fixture;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use fixture::{BALANCER, agent, at_ms, balancer_hello};
use googletest::prelude::*;
use lavenderseam_core::catalog::Revision;
use lavenderseam_passthrough::agent;
use lavenderseam_passthrough::balancer::{Action, Balancer, Identity};
use lavenderseam_passthrough::desired::{RegisteredAgent, RegisteredBalancers};
use lavenderseam_passthrough::message::{
    Announcement, Message, RecordVersions, TargetSnapshot, TargetState,
};

fn peer(index: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 1, index), 7_000)
}

fn balancer() -> Balancer {
    Balancer::new(Identity {
        domain: "a".to_owned(),
        address: BALANCER,
        rpc_address: BALANCER,
    })
}

/// Returns the balancers that a tick sends gossip to.
fn gossip_recipients(balancer: &mut Balancer, milliseconds: u64) -> Vec<SocketAddrV4> {
    let actions = balancer.tick(at_ms(milliseconds)).into_iter();
    actions
        .filter_map(|action| match action {
            Action::Gossip { to, .. } => Some(to),
            _ => None,
        })
        .collect()
}

/// A balancer that starts among many others hears from those that it contacted in their next round,
/// not only when their rotation reaches it.
#[gtest]
fn a_balancer_that_has_become_known_gets_gossip_in_the_next_round() {
    let mut balancer = balancer();
    for index in 1..=60 {
        balancer.add_peer(peer(index), at_ms(0));
    }
    for round in 0..20 {
        gossip_recipients(&mut balancer, round * 500);
    }
    let newcomer = peer(200);
    let gossip = RecordVersions {
        balancers: vec![newcomer, peer(201)],
        ..RecordVersions::default()
    };
    balancer.on_gossip(&gossip, newcomer, at_ms(10_100));
    let recipients = gossip_recipients(&mut balancer, 10_500);
    expect_that!(recipients, contains(eq(&newcomer)));
    expect_that!(recipients, contains(eq(&peer(201))));
    expect_that!(recipients.len(), le(8));
}

/// Balancers that start together contact different peers in each round, so that each of them hears
/// from another one in nearly every round.
#[gtest]
fn gossip_of_balancers_that_start_together_is_spread_evenly() {
    const BALANCERS: u8 = 60;
    let new_balancer = |index| {
        let address = peer(index);
        let mut balancer = Balancer::new(Identity {
            domain: "a".to_owned(),
            address,
            rpc_address: address,
        });
        let others = (1..=BALANCERS).filter(|other| *other != index);
        others.for_each(|other| balancer.add_peer(peer(other), at_ms(0)));
        balancer
    };
    let mut balancers: Vec<Balancer> = (1..=BALANCERS).map(new_balancer).collect();
    for round in 0..40 {
        let mut received: BTreeMap<SocketAddrV4, usize> = BTreeMap::new();
        for balancer in &mut balancers {
            for to in gossip_recipients(balancer, 10_000 + round * 500) {
                *received.entry(to).or_default() += 1;
            }
        }
        // The first rounds also greet balancers that have just become known.
        if round >= 20 {
            expect_that!(received.len(), ge(usize::from(BALANCERS) - 8));
            expect_that!(received.values().max(), some(le(&8)));
        }
    }
}

/// Registrations are listed again only by a balancer that hears from no other one.
#[gtest]
fn a_balancer_without_gossip_is_isolated() {
    let mut balancer = balancer();
    expect_that!(balancer.is_isolated(at_ms(0)), eq(false));
    balancer.tick(at_ms(0));
    expect_that!(balancer.is_isolated(at_ms(4_900)), eq(false));
    expect_that!(balancer.is_isolated(at_ms(5_000)), eq(true));
    balancer.on_gossip(&RecordVersions::default(), peer(1), at_ms(5_100));
    expect_that!(balancer.is_isolated(at_ms(10_000)), eq(false));
    expect_that!(balancer.is_isolated(at_ms(10_100)), eq(true));
}

/// After a power failure agents and balancers start at the same time. An announcement that is lost
/// because the balancer isn't listening yet is repeated soon.
#[gtest]
fn an_agent_repeats_its_introduction_until_the_balancer_replies() {
    let mut agent = agent();
    agent.add_balancer(peer(1), at_ms(1_000));
    let mut announcements = |milliseconds: u64| {
        let actions = agent.tick(at_ms(milliseconds)).into_iter();
        let to_peer = |action: &agent::Action| matches!(action, agent::Action::Announce { to, .. } if *to == peer(1));
        let count = actions.filter(to_peer).count();
        if milliseconds == 1_500 {
            agent.on_balancer_hello(&balancer_hello(), peer(1), at_ms(milliseconds));
        }
        count
    };
    let before_reply: usize = (10..=15).map(|tick| announcements(tick * 100)).sum();
    expect_that!(before_reply, eq(6));
    let after_reply: usize = (16..=25).map(|tick| announcements(tick * 100)).sum();
    expect_that!(after_reply, le(4));
}

/// Guards against watches that last longer with each balancer that was replaced, because the duration
/// rests on the number of balancers and registrations outlive them.
#[gtest]
fn replaced_balancers_are_not_counted() {
    let mut balancer = beside_replaced(12);
    expect_that!(balancer.running_balancers(at_ms(100)), eq(15));
    run_beside_two(&mut balancer, 1..41);
    expect_that!(balancer.running_balancers(at_ms(20_100)), eq(3));
    // Those that have gone silent come last.
    expect_that!(balancer.running_balancers(at_ms(60_000)), eq(1));
}

/// Returns a balancer beside two that run, with the registrations of others that were replaced.
fn beside_replaced(replaced: u8) -> Balancer {
    let mut balancer = balancer();
    let registered = RegisteredBalancers {
        balancers: (1..=replaced + 2).map(peer).collect(),
        ..RegisteredBalancers::default()
    };
    balancer.set_registered_balancers(&registered, at_ms(0));
    balancer
}

/// Runs a balancer beside those with the numbers 1 and 2; returns the recipients of its gossip by round.
fn run_beside_two(balancer: &mut Balancer, rounds: std::ops::Range<u64>) -> Vec<Vec<SocketAddrV4>> {
    let round = |round: u64| {
        for running in [1, 2] {
            balancer.on_gossip(
                &RecordVersions::default(),
                peer(running),
                at_ms(round * 500),
            );
        }
        gossip_recipients(balancer, round * 500)
    };
    rounds.map(round).collect()
}

/// Guards against a change that gossip spreads too late, because most of it goes to balancers that were
/// replaced.
#[gtest]
fn gossip_reaches_running_balancers_in_each_round_beside_many_replaced_ones() {
    let mut balancer = beside_replaced(200);
    run_beside_two(&mut balancer, 1..125);
    let rounds = run_beside_two(&mut balancer, 125..325);
    let mut others = BTreeSet::new();
    for recipients in &rounds {
        expect_that!(recipients, superset_of([&peer(1), &peer(2)]));
        expect_that!(recipients.len(), le(4));
        others.extend(recipients.iter().copied());
    }
    // A balancer that was cut off for long is told of as well.
    expect_that!(others.len(), eq(202));
}

/// Guards against agents and balancers that are sent to balancers which were replaced.
#[gtest]
fn replaced_balancers_are_not_named() {
    let mut balancer = beside_replaced(30);
    run_beside_two(&mut balancer, 1..40);
    let announcement = Announcement {
        wants_balancers: true,
        ..Announcement::default()
    };
    let agent = SocketAddrV4::new(Ipv4Addr::new(10, 2, 1, 1), 7_000);
    let outcome = balancer.on_announcement(&announcement, agent, at_ms(20_000));
    let named: BTreeSet<SocketAddrV4> = outcome.reply.balancers.into_iter().collect();
    expect_that!(named, eq(&BTreeSet::from([BALANCER, peer(1), peer(2)])));
}

/// Guards against balancers that name a replaced one to each other for ever, each as news.
#[gtest]
fn balancers_forget_a_replaced_one_that_each_of_them_knew() {
    let identity = |index: u8| Identity {
        domain: "a".to_owned(),
        address: peer(index),
        rpc_address: peer(index),
    };
    let mut balancers = [1, 2, 3].map(|index| Balancer::new(identity(index)));
    let replaced = peer(9);
    let mut last_contact = 0;
    for tick in 0..4_000 {
        let now = at_ms(tick * 100);
        // Each of them has heard it until another moment.
        for (index, balancer) in balancers.iter_mut().enumerate() {
            if tick <= 20 + 60 * index as u64 {
                balancer.on_gossip(&RecordVersions::default(), replaced, now);
            }
        }
        for sender in 0..balancers.len() {
            for action in balancers[sender].tick(now) {
                let Action::Gossip { to, gossip } = action else {
                    continue;
                };
                if to == replaced {
                    last_contact = tick;
                }
                let from = peer(sender as u8 + 1);
                let receiver = (1..=3).position(|index| peer(index) == to);
                if let Some(receiver) = receiver {
                    balancers[receiver].on_gossip(&gossip, from, now);
                }
            }
        }
        if tick == 0 {
            balancers[0].add_peer(peer(2), now);
            balancers[1].add_peer(peer(3), now);
        }
    }
    expect_that!(balancers[0].running_balancers(at_ms(400_000)), eq(3));
    expect_that!(last_contact, le(140 + 2 * 600));
}

/// Guards against a failed agent that no balancer reports as silent: those that rank first for it were
/// replaced, and their registrations remain. A balancer that starts would wait for the agent.
#[gtest]
fn a_silent_agent_is_reported_although_replaced_balancers_rank_first_for_it() {
    for index in 0..30 {
        let mut balancer = beside_replaced(100);
        let agents: Vec<SocketAddrV4> = (0..=10)
            .map(|number| SocketAddrV4::new(Ipv4Addr::new(10, 2, index, number), 7_000))
            .collect();
        let mut reported = Vec::new();
        for tick in 0..200 {
            let now = at_ms(tick * 100);
            for agent in &agents {
                let has_failed = *agent == agents[0] && tick > 100;
                if !has_failed {
                    let announcement = Announcement {
                        sequence: tick,
                        run: 1,
                        state: TargetState::Ready,
                        hears_recipient: true,
                        ..Announcement::default()
                    };
                    balancer.on_announcement(&announcement, *agent, now);
                }
            }
            balancer.on_gossip(&RecordVersions::default(), peer(1), now);
            reported.extend(
                balancer
                    .tick(now)
                    .into_iter()
                    .filter_map(|action| match action {
                        Action::ReportSilence { agent, is_silent } => Some((agent, is_silent)),
                        _ => None,
                    }),
            );
        }
        // Beside one other balancer that runs, this one is among the first two.
        expect_that!(reported, eq(&vec![(agents[0], true)]));
    }
}

/// Guards against a running agent that is taken to have failed: its balancers were all replaced, and
/// the store's answer, by which it looks up new ones, is old.
#[gtest]
fn a_balancer_introduces_itself_to_registered_agents_that_it_has_not_heard() {
    let agent_address = |index: u8| SocketAddrV4::new(Ipv4Addr::new(10, 2, 1, index), 7_000);
    let mut balancer = balancer();
    let introduced = |balancer: &mut Balancer, milliseconds: u64| -> Vec<SocketAddrV4> {
        let actions = balancer.tick(at_ms(milliseconds)).into_iter();
        let agent = |action| match action {
            Action::SendHello { agent, hello } => {
                // An agent that knows more must not take over what this balancer doesn't know.
                assert!(!hello.service_known && hello.out_domains_revision == Revision::default());
                Some(agent)
            }
            _ => None,
        };
        actions.filter_map(agent).collect()
    };
    introduced(&mut balancer, 0);
    let registered: Vec<RegisteredAgent> = (1..=3)
        .map(|index| RegisteredAgent {
            address: agent_address(index),
            is_silent: index == 3,
        })
        .collect();
    balancer.set_registered_agents(&registered);
    let announcement = Announcement::default();
    balancer.on_announcement(&announcement, agent_address(1), at_ms(200));
    // Agents that know the balancer announce themselves first.
    expect_that!(introduced(&mut balancer, 400), is_empty());
    let unheard = [agent_address(2), agent_address(3)];
    expect_that!(
        introduced(&mut balancer, 600),
        unordered_elements_are![eq(&unheard[0]), eq(&unheard[1])]
    );
    balancer.on_announcement(&announcement, agent_address(2), at_ms(700));
    expect_that!(
        introduced(&mut balancer, 1_200),
        container_eq([agent_address(3)])
    );
    for milliseconds in (1_300..5_000).step_by(100) {
        introduced(&mut balancer, milliseconds);
    }
    expect_that!(introduced(&mut balancer, 5_500), is_empty());
}

/// Guards against an agent that is ignored after its restart: another balancer told of its new run, whose
/// announcements count from 1 again.
#[gtest]
fn announcements_of_a_run_that_another_balancer_told_of_count() {
    let agent_address = SocketAddrV4::new(Ipv4Addr::new(10, 2, 1, 1), 7_000);
    let announcement = |run, sequence, state| Announcement {
        run,
        sequence,
        state,
        ..Announcement::default()
    };
    let mut balancer = balancer();
    let before = announcement(1, 900, TargetState::Ready);
    balancer.on_announcement(&before, agent_address, at_ms(0));
    let snapshot = TargetSnapshot {
        agent: agent_address,
        age_ms: 0,
        announcement: announcement(2, 3, TargetState::Unknown),
    };
    balancer.merge_targets(&[snapshot], at_ms(1_000));
    let after = announcement(2, 4, TargetState::Ready);
    let outcome = balancer.on_announcement(&after, agent_address, at_ms(1_100));
    expect_that!(outcome.target_changed, eq(true));
}

/// Guards against messages that no process receives, because they name more balancers than a datagram
/// holds.
#[gtest]
fn gossip_fits_into_a_datagram_in_a_large_fleet() {
    const MAX_DATAGRAM_BYTES: usize = 2_048;
    const BALANCERS: u32 = 1_000;
    let address = |index: u32| SocketAddrV4::new(Ipv4Addr::from_bits(0x0a02_0000 + index), 7_000);
    let mut balancer = balancer();
    for index in 0..BALANCERS {
        balancer.add_peer(address(index), at_ms(0));
    }
    let mut named = BTreeSet::new();
    for round in 0..250 {
        let now = at_ms(round * 500);
        if round % 100 == 0 {
            for index in 0..BALANCERS {
                balancer.on_gossip(&RecordVersions::default(), address(index), now);
            }
        }
        for action in balancer.tick(now) {
            let Action::Gossip { gossip, .. } = action else {
                continue;
            };
            named.extend(gossip.balancers.iter().copied());
            let mut encoded = Vec::new();
            Message::Gossip(gossip).encode(&[], &mut encoded).unwrap();
            expect_that!(encoded.len(), le(MAX_DATAGRAM_BYTES));
        }
    }
    expect_that!(named.len(), eq(1 + BALANCERS as usize));
    let asks = Announcement {
        wants_balancers: true,
        ..Announcement::default()
    };
    let outcome = balancer.on_announcement(&asks, address(5_000), at_ms(125_000));
    let mut encoded = Vec::new();
    Message::Hello(outcome.reply)
        .encode(&[], &mut encoded)
        .unwrap();
    expect_that!(encoded.len(), le(MAX_DATAGRAM_BYTES));
}
