//! The fabric's choice of balancers, its faults and counts.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use googletest::prelude::*;
use lavenderseam_bench::standins::fabric::{Balancer, Fault, State};

fn address(last: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 9, 9, last], port))
}

fn service() -> SocketAddr {
    address(100, 4433)
}

fn caller(port: u16) -> SocketAddr {
    address(200, port)
}

/// A fabric that has heard of all three balancers at 1,000 ms.
fn serving(seed: u64) -> State {
    let balancer = |last| Balancer {
        name: format!("balancer-{last}"),
        address: address(last, 6000),
    };
    let balancers: Vec<Balancer> = (1..=3).map(balancer).collect();
    let mut state = State::new(&balancers, seed);
    for last in 1..=3 {
        state.answered(address(last, 6000), true, 1_000);
    }
    state
}

fn route(state: &mut State, now_ms: u64) -> Option<SocketAddr> {
    state.route(caller(50_000), service(), 100, now_ms)
}

#[gtest]
fn sprays_one_flow_over_all_balancers() {
    let mut state = serving(7);
    let chosen: BTreeSet<SocketAddr> = (0..100).filter_map(|_| route(&mut state, 1_000)).collect();
    expect_that!(chosen, len(eq(3)));
    let (mut first, mut second) = (serving(7), serving(7));
    for _ in 0..50 {
        expect_that!(route(&mut first, 1_000), eq(route(&mut second, 1_000)));
    }
}

#[gtest]
fn leaves_out_the_silent_and_those_that_do_not_serve() {
    let mut state = serving(1);
    state.answered(address(2, 6000), false, 1_500);
    state.answered(address(3, 6000), true, 1_500);
    for _ in 0..20 {
        expect_that!(route(&mut state, 2_100), some(eq(address(3, 6000))));
    }
    expect_that!(route(&mut state, 2_500), none());
    expect_that!(state.report(2_500).unserved, eq(1));
}

#[gtest]
fn drops_what_a_fault_cuts() {
    let mut state = serving(1);
    let agent = address(61, 7000).ip();
    let cut = |on| Fault::CutPair {
        service: service(),
        process: agent,
        on,
    };
    let passes = |state: &mut State, now| state.passes(agent, caller(1), service(), 10, now);
    expect_that!(passes(&mut state, 1_000), eq(true));
    state.set(&cut(true));
    expect_that!(passes(&mut state, 1_100), eq(false));
    state.set(&cut(false));
    expect_that!(passes(&mut state, 1_200), eq(true));
    let report = state.report(1_200);
    expect_that!(report.from_agents[&agent].packets, eq(3));
    expect_that!(report.from_agents[&agent].last_ms, eq(1_200));
    expect_that!(report.cut, eq(1));
}

#[gtest]
fn forgets_the_oldest_flows_in_both_directions() {
    let mut state = serving(1);
    let (first, second) = (caller(50_000), caller(50_001));
    state.route(first, service(), 10, 1_000);
    state.route(second, service(), 10, 1_001);
    state.set(&Fault::ForgetOldest { count: 1 });
    expect_that!(state.route(first, service(), 10, 1_002), none());
    let other = state.route(second, service(), 10, 1_002);
    expect_that!(other, some(anything()));
    let agent = address(61, 7000).ip();
    expect_that!(state.passes(agent, first, service(), 10, 1_003), eq(false));
    expect_that!(state.report(1_003).forgotten, elements_are![eq(&first)]);
}

#[gtest]
fn forgets_only_flows_that_are_open() {
    let mut state = serving(1);
    let (ended, open) = (caller(50_000), caller(50_001));
    state.route(ended, service(), 10, 1_000);
    state.route(open, service(), 10, 1_001);
    state.route(open, service(), 10, 1_900 + 1_000);
    state.set(&Fault::ForgetOldest { count: 1 });
    expect_that!(state.report(3_000).forgotten, elements_are![eq(&open)]);
}

#[gtest]
fn knows_the_owner_by_what_it_sends() {
    let mut state = serving(1);
    let (owner, other) = (address(61, 7000).ip(), address(62, 7000).ip());
    for now in 0..3 {
        state.passes(owner, caller(50_000), service(), 10, now);
    }
    // Any agent may reset a flow whose owner is gone.
    state.passes(other, caller(50_000), service(), 10, 4);
    expect_that!(state.owners()[&caller(50_000)], eq(owner));
}
