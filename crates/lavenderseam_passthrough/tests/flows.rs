//! Flows under planned and unplanned change, through real balancers and agents in virtual time.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod world;

use std::time::Duration;

use googletest::prelude::*;
use world::{Outcome, World};

const WORK: Duration = Duration::from_millis(20);

fn domains() -> World {
    World::new(&["a", "b", "c"], &["a", "a", "b", "b", "c", "c"], 4)
}

/// Cuts a balancer off from the machine whose backend server holds a caller's flow.
fn cut_from_holder(world: &mut World, caller: usize, balancer: usize) {
    let flow = world.callers[caller].flow.unwrap();
    let holds = |node: &&world::Node| node.backend.holds_open(flow);
    let holder = world.nodes.iter().find(holds).unwrap().address;
    let cut = (world.entries[balancer].address, holder);
    world.cuts.insert(cut);
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[gtest]
fn a_calm_service_answers_everything_at_once() {
    let mut world = domains();
    for balancer in 0..3 {
        world.load(balancer, 50, seconds(5), WORK);
    }
    let from = world.instant();
    world.run_for(seconds(8));
    expect_that!(world.served(from), eq(1.0));
    expect_that!(world.resets, eq(0));
    let slowest = (0..world.callers.len())
        .map(|caller| world.latency(caller).unwrap())
        .max();
    expect_that!(slowest.unwrap(), le(milliseconds(60)));
}

#[gtest]
fn a_flow_survives_its_balancer() {
    let mut world = domains();
    let caller = world.request(0, milliseconds(600));
    world.run_for(milliseconds(50));
    world.entries[0].balancer = None;
    // The fabric sends the caller's packets elsewhere.
    world.callers[caller].balancer = 1;
    world.run_for(seconds(2));
    expect_that!(world.callers[caller].outcome, eq(Outcome::Answered));
    expect_that!(world.callers[caller].attempts, eq(1));
    expect_that!(world.wrong_resets, is_empty());
}

#[gtest]
fn a_flow_survives_its_agent() {
    let mut world = domains();
    let mut callers = Vec::new();
    for _ in 0..12 {
        callers.push(world.request(0, milliseconds(900)));
    }
    world.run_for(milliseconds(50));
    for node in 0..world.nodes.len() {
        world.nodes[node].agent = None;
    }
    world.run_for(milliseconds(200));
    for node in 0..world.nodes.len() {
        world.start_agent(node);
    }
    world.run_for(seconds(3));
    for caller in callers {
        expect_that!(world.callers[caller].outcome, eq(Outcome::Answered));
        expect_that!(world.callers[caller].attempts, eq(1));
    }
    expect_that!(world.wrong_resets, is_empty());
}

#[gtest]
fn balancers_and_agents_that_all_restart_find_the_flows_again() {
    let mut world = domains();
    let mut callers = Vec::new();
    for balancer in [0, 1, 2, 0, 1, 2] {
        callers.push(world.request(balancer, milliseconds(1_200)));
    }
    world.run_for(milliseconds(50));
    for entry in 0..world.entries.len() {
        world.start_balancer(entry);
    }
    for node in 0..world.nodes.len() {
        world.start_agent(node);
    }
    world.run_for(seconds(4));
    for caller in callers {
        expect_that!(world.callers[caller].outcome, eq(Outcome::Answered));
    }
    expect_that!(world.wrong_resets, is_empty());
}

#[gtest]
fn callers_of_a_crashed_backend_server_are_told_at_once() {
    let mut world = domains();
    let mut callers = Vec::new();
    for _ in 0..24 {
        callers.push(world.request(0, milliseconds(300)));
    }
    world.run_for(milliseconds(20));
    world.crash_backend(0);
    world.crash_backend(1);
    world.run_for(seconds(3));
    for caller in callers {
        expect_that!(world.callers[caller].outcome, eq(Outcome::Answered));
        // A retransmission of the request after 200 ms is what the reset answers.
        expect_that!(world.latency(caller).unwrap(), le(milliseconds(900)));
    }
    expect_that!(world.resets, ge(1));
    expect_that!(world.wrong_resets, is_empty());
}

#[gtest]
fn callers_whose_backend_servers_all_restarted_are_reset_and_served_again() {
    let mut world = domains();
    for _ in 0..12 {
        world.request(0, seconds(2));
    }
    world.run_for(milliseconds(20));
    for node in 0..world.nodes.len() {
        world.nodes[node].backend.stop();
        world.nodes[node].agent = None;
        world.start_backend(node, Duration::ZERO);
        world.start_agent(node);
    }
    let from = world.instant();
    world.run_for(seconds(1));
    expect_that!(world.resets, ge(12));
    expect_that!(world.wrong_resets, is_empty());
    world.load(0, 20, seconds(1), WORK);
    world.run_for(seconds(4));
    expect_that!(world.served(from), eq(1.0));
}

#[gtest]
fn a_flow_is_not_reset_while_an_agent_is_out_of_reach() {
    let mut world = domains();
    let caller = world.request(0, milliseconds(2_500));
    world.run_for(milliseconds(50));
    // Another balancer, which can't reach the holder, gets the flow.
    cut_from_holder(&mut world, caller, 1);
    world.callers[caller].balancer = 1;
    world.run_for(seconds(2));
    expect_that!(world.wrong_resets, is_empty());
    expect_that!(world.resets, eq(0));
}

#[gtest]
fn a_balancer_that_has_just_started_resets_no_flow() {
    let mut world = domains();
    let caller = world.request(0, milliseconds(2_500));
    world.run_for(milliseconds(50));
    // It never hears of the holder before it gets the flow.
    cut_from_holder(&mut world, caller, 1);
    world.start_balancer(1);
    world.run_for(milliseconds(1_300));
    world.callers[caller].balancer = 1;
    world.run_for(seconds(1));
    expect_that!(world.wrong_resets, is_empty());
}

#[gtest]
fn a_balancer_that_stood_still_resets_no_flow_at_once() {
    let mut world = domains();
    let node = world.add_node("a", 4);
    // The balancer sleeps while a target joins and takes a flow.
    let asleep = world.entries[1].balancer.take();
    world.join(node);
    world.run_for(seconds(3));
    for other in 0..node {
        world.nodes[other].backend.draining = true;
    }
    world.run_for(seconds(1));
    let caller = world.request(0, milliseconds(2_500));
    world.run_for(milliseconds(50));
    let (cut, peer) = (world.entries[1].address, world.nodes[node].address);
    world.cuts.insert((cut, peer));
    world.entries[1].balancer = asleep;
    world.callers[caller].balancer = 1;
    world.run_for(milliseconds(1_500));
    expect_that!(world.wrong_resets, is_empty());
}

#[gtest]
fn a_draining_backend_server_gets_no_new_flow_and_keeps_its_own() {
    let mut world = domains();
    let mut callers = Vec::new();
    for _ in 0..12 {
        callers.push(world.request(0, milliseconds(1_500)));
    }
    world.run_for(milliseconds(50));
    world.nodes[0].backend.draining = true;
    world.run_for(milliseconds(900));
    let taken = world.nodes[0].backend.openers.len();
    world.load(0, 100, seconds(2), WORK);
    world.run_for(seconds(4));
    expect_that!(world.nodes[0].backend.openers.len(), eq(taken));
    for caller in callers {
        expect_that!(world.callers[caller].attempts, eq(1));
        expect_that!(world.callers[caller].outcome, eq(Outcome::Answered));
    }
}

#[gtest]
fn an_agent_that_restarted_admits_nothing_before_a_heartbeat() {
    let mut world = World::new(&["a"], &["a"], 4);
    world.nodes[0].backend.draining = true;
    world.run_for(seconds(1));
    let taken = world.nodes[0].backend.openers.len();
    world.start_agent(0);
    world.load(0, 50, seconds(2), WORK);
    world.run_for(seconds(3));
    expect_that!(world.nodes[0].backend.openers.len(), eq(taken));
}

#[gtest]
fn a_failure_domain_that_is_out_gets_no_new_flow() {
    let mut world = domains();
    world.outs.revision = lavenderseam_core::catalog::Revision(9);
    world.outs.domains.insert("a".to_owned());
    for entry in 0..2 {
        let outs = world.outs.clone();
        world.entries[entry]
            .balancer
            .as_mut()
            .unwrap()
            .take_outs(outs);
    }
    world.run_for(seconds(1));
    let taken: usize = (0..2)
        .map(|node| world.nodes[node].backend.openers.len())
        .sum();
    // Balancer 2 hasn't heard of it; the agents have, from the others.
    for balancer in 0..3 {
        world.load(balancer, 50, seconds(2), WORK);
    }
    let from = world.instant();
    world.run_for(seconds(4));
    let after: usize = (0..2)
        .map(|node| world.nodes[node].backend.openers.len())
        .sum();
    expect_that!(after, eq(taken));
    expect_that!(world.served(from), eq(1.0));
}

#[gtest]
fn a_balancer_that_reaches_no_agent_is_not_ready() {
    let mut world = domains();
    let balancer = world.entries[0].address;
    let ready = |world: &World| {
        let now = world.instant();
        world.entries[0].balancer.as_ref().unwrap().is_ready(now)
    };
    expect_that!(ready(&world), eq(true));
    for node in 0..world.nodes.len() {
        let address = world.nodes[node].address;
        world.cuts.insert((balancer, address));
    }
    world.run_for(milliseconds(1_000));
    expect_that!(ready(&world), eq(false));
    world.cuts.clear();
    world.run_for(milliseconds(600));
    expect_that!(ready(&world), eq(true));
}

#[gtest]
fn openers_go_where_packets_arrive_though_all_are_heard() {
    let mut world = domains();
    let balancer = world.entries[0].address;
    // Nothing gets out of the balancer's failure domain.
    for node in 2..6 {
        let address = world.nodes[node].address;
        world.one_way.insert((balancer, address));
    }
    world.run_for(seconds(2));
    world.load(0, 100, seconds(2), WORK);
    let from = world.instant();
    world.run_for(seconds(4));
    expect_that!(world.served(from), eq(1.0));
    let slowest = (0..world.callers.len())
        .map(|caller| world.latency(caller).unwrap())
        .max();
    expect_that!(slowest.unwrap(), le(milliseconds(150)));
}

#[gtest]
fn a_search_comes_back_to_the_target_that_was_silent() {
    let mut world = World::new(&["a", "b"], &["a", "b"], 4);
    let caller = world.request(0, seconds(2));
    world.run_for(milliseconds(50));
    let flow = world.callers[caller].flow.unwrap();
    let holder = (0..2)
        .find(|node| world.nodes[*node].backend.holds_open(flow))
        .unwrap();
    // The machine loses power and comes back, and another balancer gets the flow.
    world.nodes[holder].backend.stop();
    world.nodes[holder].agent = None;
    world.callers[caller].balancer = 1;
    world.run_for(milliseconds(350));
    world.start_backend(holder, Duration::ZERO);
    world.start_agent(holder);
    world.run_for(milliseconds(500));
    expect_that!(world.callers[caller].attempts, eq(2));
    expect_that!(world.wrong_resets, is_empty());
}

#[gtest]
fn agents_learn_of_a_new_balancer_at_once() {
    // Agents ask for balancers every 5 s; the phase of that must not matter.
    for phase in 0..8 {
        let mut world = World::new(&["a", "b", "c"], &["a", "b", "c"], 4);
        world.entries[2].balancer = None;
        world.run_for(seconds(130) + milliseconds(phase * 700));
        // The agents have forgotten it; it knows its peers, and they know the agents.
        world.start_balancer(2);
        world.run_for(milliseconds(2_000));
        let now = world.instant();
        let balancer = world.entries[2].balancer.as_ref().unwrap();
        expect_that!(balancer.is_ready(now), eq(true));
    }
}
