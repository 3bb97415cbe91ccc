//! Balancers and agents when the store is restored from a copy that lacks recent writes.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod fixture;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use fixture::{BALANCER, agent, at_ms, balancer_hello, heartbeat_after_serving, next_announcement};
use googletest::prelude::*;
use lavenderseam_core::catalog::{Epoch, Revision};
use lavenderseam_core::time::Instant;
use lavenderseam_passthrough::agent::Agent;
use lavenderseam_passthrough::balancer::{Action, Balancer, Identity};
use lavenderseam_passthrough::desired::{CarriedOverDomains, DesiredState, OutOfServiceDomains};
use lavenderseam_passthrough::message::{Announcement, Hello};

const AGENT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 9), 7_000);

fn revision(epoch: u64, number: u64) -> Revision {
    Revision::new(Epoch(epoch), number).unwrap()
}

fn balancer() -> Balancer {
    Balancer::new(Identity {
        domain: "a".to_owned(),
        address: BALANCER,
        rpc_address: BALANCER,
    })
}

fn desired(version: u64, revision: Revision) -> DesiredState {
    DesiredState {
        revision,
        version,
        ..DesiredState::default()
    }
}

fn out(revision: Revision, domains: &[&str]) -> OutOfServiceDomains {
    OutOfServiceDomains {
        revision,
        domains: domains.iter().map(|domain| (*domain).to_owned()).collect(),
    }
}

fn carried_over(domains: &[&str]) -> CarriedOverDomains {
    CarriedOverDomains {
        domains: domains.iter().map(|domain| (*domain).to_owned()).collect(),
        rest: Duration::from_secs(10),
    }
}

fn version(balancer: &Balancer) -> Option<u64> {
    balancer
        .desired_state()
        .map(|desired_state| desired_state.version)
}

/// Returns what a balancer tells an agent in failure domain `a`.
fn hello(balancer: &mut Balancer, now: Instant) -> Hello {
    let announcement = Announcement {
        domain: "a".to_owned(),
        ..next_announcement(&mut agent(), now)
    };
    balancer.on_announcement(&announcement, AGENT, now).reply
}

/// Guards against a change that is ignored since the restored store gave it a lower number than an
/// earlier one.
#[gtest]
fn a_desired_state_of_a_newer_epoch_takes_effect() {
    let mut balancer = balancer();
    balancer.set_desired_state(desired(15, revision(1, 9)));
    expect_that!(
        balancer.set_desired_state(desired(18, revision(2, 7))),
        eq(true)
    );
    expect_that!(version(&balancer), some(eq(18)));
}

/// Guards against an older desired state that comes back with the copy, from the store or from a
/// balancer that has started since.
#[gtest]
fn an_older_version_of_a_newer_epoch_is_ignored() {
    let mut balancer = balancer();
    balancer.set_desired_state(desired(15, revision(1, 9)));
    expect_that!(
        balancer.set_desired_state(desired(12, revision(2, 8))),
        eq(false)
    );
    expect_that!(version(&balancer), some(eq(15)));
    // The operators write the lost version again.
    expect_that!(
        balancer.set_desired_state(desired(15, revision(2, 9))),
        eq(true)
    );
    expect_that!(
        balancer.set_desired_state(desired(15, revision(2, 9))),
        eq(false)
    );
}

/// Guards against an order that is ignored, or kept forever, since numbers repeat.
#[gtest]
fn orders_of_a_newer_epoch_take_effect() {
    let mut balancer = balancer();
    balancer.set_out_of_service_domains(out(revision(1, 9), &["a"]));
    balancer.set_out_of_service_domains(out(revision(2, 7), &[]));
    expect_that!(hello(&mut balancer, at_ms(0)).domain_out, eq(false));
    balancer.set_out_of_service_domains(out(revision(2, 8), &["a"]));
    expect_that!(hello(&mut balancer, at_ms(0)).domain_out, eq(true));
}

/// Guards against a failure domain that gets flows again because the restored store lacks the order,
/// whatever a balancer tells that has no memory of it.
#[gtest]
fn a_lost_order_stays_in_force_until_the_grace_period_ends() {
    let mut balancer = balancer();
    balancer.set_out_of_service_domains(out(revision(1, 9), &["a"]));
    balancer.set_out_of_service_domains(out(revision(2, 7), &[]));
    balancer.carry_over_domains(carried_over(&["a"]), at_ms(0));
    balancer.set_out_of_service_domains(out(revision(2, 8), &[]));
    balancer.tick(at_ms(9_900));
    expect_that!(hello(&mut balancer, at_ms(9_900)).domain_out, eq(true));
    balancer.tick(at_ms(10_000));
    expect_that!(hello(&mut balancer, at_ms(10_000)).domain_out, eq(false));
}

/// Guards against a balancer that starts after the restore and has no memory of the lost order.
#[gtest]
fn a_new_balancer_takes_lost_orders_over_from_its_peers() {
    let mut observer = balancer();
    observer.set_out_of_service_domains(out(revision(2, 7), &[]));
    observer.carry_over_domains(carried_over(&["a"]), at_ms(0));
    let mut started = balancer();
    started.set_out_of_service_domains(out(revision(2, 8), &[]));
    let lost = observer.carried_over_domains(at_ms(4_000));
    started.carry_over_domains_of_peer(lost, at_ms(4_000));
    started.tick(at_ms(9_900));
    expect_that!(hello(&mut started, at_ms(9_900)).domain_out, eq(true));
    started.tick(at_ms(10_000));
    expect_that!(hello(&mut started, at_ms(10_000)).domain_out, eq(false));
}

/// Guards against an order that its operator has withdrawn after the restore, but that another
/// balancer still carries over.
#[gtest]
fn an_observer_of_the_restore_takes_no_lost_orders_over() {
    let mut balancer = balancer();
    balancer.set_out_of_service_domains(out(revision(2, 7), &[]));
    balancer.carry_over_domains(carried_over(&["a"]), at_ms(0));
    balancer.carry_over_domains(CarriedOverDomains::default(), at_ms(1_000));
    balancer.carry_over_domains_of_peer(carried_over(&["a"]), at_ms(1_100));
    expect_that!(hello(&mut balancer, at_ms(1_200)).domain_out, eq(false));
}

fn cold_rate_after(agent: &mut Agent, hello: &Hello, now: Instant) -> Option<u16> {
    agent.on_balancer_hello(hello, BALANCER, now);
    agent.target_load(now).cold_flows_left
}

/// Guards against an agent that keeps the limits and orders of before the restore.
#[gtest]
fn an_agent_takes_limits_of_a_newer_epoch() {
    let mut agent = agent();
    let mut cold = heartbeat_after_serving(1);
    cold.cold_remaining = Duration::from_secs(60);
    agent.on_heartbeat(&cold, at_ms(10)).unwrap();
    let told = |epoch, number, rate| Hello {
        desired_revision: revision(epoch, number),
        out_domains_revision: revision(epoch, number),
        cold_rate: Some(rate),
        ..balancer_hello()
    };
    expect_that!(
        cold_rate_after(&mut agent, &told(1, 9, 4.0), at_ms(20)),
        some(eq(4))
    );
    expect_that!(
        cold_rate_after(&mut agent, &told(2, 7, 9.0), at_ms(30)),
        some(eq(9))
    );
    expect_that!(
        cold_rate_after(&mut agent, &told(1, 10, 4.0), at_ms(40)),
        some(eq(9))
    );
}

/// Returns `true` if a balancer with a desired state fetches the records of a peer with another one.
fn fetches_from_peer(own: DesiredState, other: DesiredState) -> bool {
    let mut balancer = balancer();
    balancer.set_desired_state(own);
    let mut peer = Balancer::new(Identity {
        domain: "b".to_owned(),
        address: AGENT,
        rpc_address: AGENT,
    });
    peer.set_desired_state(other);
    peer.add_peer(BALANCER, at_ms(0));
    let actions = peer.tick(at_ms(0));
    let gossip = actions.into_iter().find_map(|action| match action {
        Action::Gossip { gossip, .. } => Some(gossip),
        _ => None,
    });
    balancer.on_gossip(&gossip.unwrap(), AGENT, at_ms(100));
    let is_fetch =
        |action: &Action| matches!(action, Action::FetchRecords { rpc } if *rpc == AGENT);
    balancer.tick(at_ms(600)).iter().any(is_fetch)
}

/// Guards against balancers that don't fetch each other's records because numbers repeat.
#[gtest]
fn a_peer_with_a_newer_epoch_is_asked_for_its_records() {
    let (older, newer) = (desired(15, revision(1, 9)), desired(18, revision(2, 7)));
    expect_that!(fetches_from_peer(older, newer), eq(true));
}

/// Guards against a balancer that started after a restore, read an older version from the copy, and
/// never learns the lost one from peers whose epoch is older.
#[gtest]
fn a_peer_with_an_older_epoch_is_asked_for_its_records() {
    let (copied, lost) = (desired(12, revision(2, 7)), desired(15, revision(1, 9)));
    expect_that!(fetches_from_peer(copied, lost), eq(true));
    let (older, newer) = (desired(12, revision(1, 8)), desired(15, revision(1, 9)));
    expect_that!(fetches_from_peer(newer, older), eq(false));
}
