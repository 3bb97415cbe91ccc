//! Choice of balancers, faults and counts of the simulated fabric.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use googletest::prelude::*;
use lavenderseam_bench::stand_ins::fabric::{Balancer, FabricState, Fault};

fn address(last: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 9, 9, last], port))
}

fn service() -> SocketAddr {
    address(100, 4433)
}

fn caller(port: u16) -> SocketAddr {
    address(200, port)
}

/// Returns a fabric to which all three balancers replied at 1,000 ms.
fn serving_fabric(seed: u64) -> FabricState {
    let balancer = |last| Balancer {
        name: format!("balancer-{last}"),
        address: address(last, 6000),
    };
    let balancers: Vec<Balancer> = (1..=3).map(balancer).collect();
    let mut state = FabricState::new(&balancers, seed);
    for last in 1..=3 {
        state.record_health_reply(address(last, 6000), true, 1_000);
    }
    state
}

fn choose(state: &mut FabricState, now_ms: u64) -> Option<SocketAddr> {
    state.choose_balancer(caller(50_000), service(), 100, now_ms)
}

#[gtest]
fn spreads_one_flow_over_all_balancers() {
    let mut state = serving_fabric(7);
    let chosen: BTreeSet<SocketAddr> = (0..100).filter_map(|_| choose(&mut state, 1_000)).collect();
    expect_that!(chosen, len(eq(3)));
    let (mut first, mut second) = (serving_fabric(7), serving_fabric(7));
    for _ in 0..50 {
        expect_that!(choose(&mut first, 1_000), eq(choose(&mut second, 1_000)));
    }
}

#[gtest]
fn skips_balancers_that_are_silent_or_do_not_serve() {
    let mut state = serving_fabric(1);
    state.record_health_reply(address(2, 6000), false, 1_500);
    state.record_health_reply(address(3, 6000), true, 1_500);
    for _ in 0..20 {
        expect_that!(choose(&mut state, 2_100), some(eq(address(3, 6000))));
    }
    expect_that!(choose(&mut state, 2_500), none());
    expect_that!(state.report(2_500).unserved, eq(1));
}

#[gtest]
fn drops_packets_of_a_cut_pair() {
    let mut state = serving_fabric(1);
    let agent = address(61, 7000).ip();
    let cut = |on| Fault::CutPair {
        service: service(),
        process: agent,
        on,
    };
    let admits =
        |state: &mut FabricState, now| state.admit_reply(agent, caller(1), service(), 10, now);
    expect_that!(admits(&mut state, 1_000), eq(true));
    state.apply_fault(&cut(true));
    expect_that!(admits(&mut state, 1_100), eq(false));
    state.apply_fault(&cut(false));
    expect_that!(admits(&mut state, 1_200), eq(true));
    let report = state.report(1_200);
    expect_that!(report.from_agents[&agent].packets, eq(3));
    expect_that!(report.from_agents[&agent].last_ms, eq(1_200));
    expect_that!(report.cut, eq(1));
}

#[gtest]
fn forgotten_flow_is_dropped_in_both_directions() {
    let mut state = serving_fabric(1);
    let (first, second) = (caller(50_000), caller(50_001));
    state.choose_balancer(first, service(), 10, 1_000);
    state.choose_balancer(second, service(), 10, 1_001);
    state.apply_fault(&Fault::ForgetOldest { count: 1 });
    expect_that!(state.choose_balancer(first, service(), 10, 1_002), none());
    let other = state.choose_balancer(second, service(), 10, 1_002);
    expect_that!(other, some(anything()));
    let agent = address(61, 7000).ip();
    expect_that!(
        state.admit_reply(agent, first, service(), 10, 1_003),
        eq(false)
    );
    expect_that!(state.report(1_003).forgotten, elements_are![eq(&first)]);
}

#[gtest]
fn forget_oldest_skips_closed_flows() {
    let mut state = serving_fabric(1);
    let (ended, open) = (caller(50_000), caller(50_001));
    state.choose_balancer(ended, service(), 10, 1_000);
    state.choose_balancer(open, service(), 10, 1_001);
    state.choose_balancer(open, service(), 10, 1_900 + 1_000);
    state.apply_fault(&Fault::ForgetOldest { count: 1 });
    expect_that!(state.report(3_000).forgotten, elements_are![eq(&open)]);
}

#[gtest]
fn owner_is_the_agent_that_sent_most_packets() {
    let mut state = serving_fabric(1);
    let (owner, other) = (address(61, 7000).ip(), address(62, 7000).ip());
    for now in 0..3 {
        state.admit_reply(owner, caller(50_000), service(), 10, now);
    }
    // Any agent may reset a flow that has lost its owner, so a few packets don't make an owner.
    state.admit_reply(other, caller(50_000), service(), 10, 4);
    expect_that!(state.owners()[&caller(50_000)], eq(owner));
}
