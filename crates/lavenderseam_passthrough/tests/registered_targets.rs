//! Conclusions of balancers that have just started, from the registrations of agents.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod simulation;

use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_passthrough::desired::RegisteredAgent;
use simulation::{Outcome, Simulation};

const TARGETS: usize = 30;
const CALLERS: usize = 40;

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns a service with open flows whose callers wait for responses.
fn busy_service() -> Simulation {
    let mut sim = Simulation::new(&["a", "b"], &["a"; TARGETS], 2);
    for index in 0..CALLERS {
        sim.send_request_to(index % 2, milliseconds(2_500));
    }
    sim.run_for(milliseconds(20));
    sim
}

/// Starts all balancers again, with the registrations of these nodes.
fn restart_balancers(sim: &mut Simulation, registered: &[RegisteredAgent]) {
    for index in 0..sim.balancer_nodes.len() {
        sim.start_balancer(index);
        let balancer = sim.balancer_nodes[index].balancer.as_mut().unwrap();
        balancer.set_registered_agents(registered);
    }
}

/// Everything stops and starts again at the same time. Callers whose flows are lost are reset as
/// soon as all registered agents have been heard, not only when the balancers have run for a while.
#[gtest]
fn callers_are_reset_soon_after_a_stop_of_everything() {
    let mut sim = busy_service();
    for node in 0..TARGETS {
        sim.target_nodes[node].backend.stop();
        sim.target_nodes[node].agent = None;
    }
    let registered = sim.registrations();
    restart_balancers(&mut sim, &registered);
    for node in 0..TARGETS {
        sim.start_backend(node, Duration::ZERO);
        sim.join(node);
    }
    // The callers' first retransmission arrives within 200 ms.
    sim.run_for(milliseconds(400));
    let waiting = sim.callers.iter().filter(|caller| caller.attempts == 1);
    expect_that!(waiting.count(), eq(0));
    expect_that!(sim.resets_of_held_flows, is_empty());
}

/// A VM that failed before everything stopped was reported as silent, and isn't waited for.
#[gtest]
fn a_failed_agent_does_not_delay_resets() {
    let mut sim = busy_service();
    sim.target_nodes[0].backend.stop();
    sim.target_nodes[0].agent = None;
    sim.run_for(milliseconds(7_000));
    let failed = sim.target_nodes[0].address;
    expect_that!(sim.silent_agents, elements_are![eq(&failed)]);
    for index in 0..CALLERS {
        sim.send_request_to(index % 2, milliseconds(2_500));
    }
    sim.run_for(milliseconds(20));
    let from = sim.callers.len() - CALLERS;
    for node in 1..TARGETS {
        sim.target_nodes[node].backend.stop();
        sim.target_nodes[node].agent = None;
    }
    let mut registered = sim.registrations();
    registered[0].is_silent = true;
    restart_balancers(&mut sim, &registered);
    for node in 1..TARGETS {
        sim.start_backend(node, Duration::ZERO);
        sim.join(node);
    }
    sim.run_for(milliseconds(900));
    let mut callers = sim.callers[from..].iter();
    expect_that!(callers.all(|caller| caller.attempts > 1), eq(true));
}

/// An agent that was cut off for some time is no longer reported as silent once it is heard again.
#[gtest]
fn an_agent_that_is_heard_again_is_not_reported_any_more() {
    let mut sim = busy_service();
    let cut = sim.target_nodes[0].address;
    for index in 0..2 {
        let balancer = sim.balancer_nodes[index].address;
        sim.cuts.insert((balancer, cut));
    }
    sim.run_for(milliseconds(6_000));
    expect_that!(sim.silent_agents, elements_are![eq(&cut)]);
    sim.cuts.clear();
    sim.run_for(milliseconds(4_000));
    expect_that!(sim.silent_agents, is_empty());
}

/// A balancer that is cut off from many agents reports none of them.
#[gtest]
fn a_balancer_that_is_cut_off_reports_no_silence() {
    let mut sim = busy_service();
    for index in 0..2 {
        let balancer = sim.balancer_nodes[index].address;
        for node in 0..TARGETS / 2 {
            let agent = sim.target_nodes[node].address;
            sim.cuts.insert((balancer, agent));
        }
    }
    sim.run_for(milliseconds(8_000));
    expect_that!(sim.silent_agents, is_empty());
}

/// A registered agent that starts later than the balancers may hold flows, so that the balancers
/// conclude nothing before they have heard from it.
#[gtest]
fn flows_of_an_agent_that_starts_late_are_not_reset() {
    let mut sim = busy_service();
    for node in 0..TARGETS {
        sim.target_nodes[node].agent = None;
    }
    let registered = sim.registrations();
    restart_balancers(&mut sim, &registered);
    for node in 0..TARGETS - 10 {
        sim.start_agent(node);
    }
    sim.run_for(milliseconds(2_000));
    for node in TARGETS - 10..TARGETS {
        sim.start_agent(node);
    }
    sim.run_for(milliseconds(2_000));
    expect_that!(sim.resets_of_held_flows, is_empty());
    for caller in &sim.callers {
        expect_that!(caller.outcome, eq(Outcome::Answered));
    }
}

/// While a fleet starts, a list may have few of the agents. Another balancer knows more of them, so
/// that their flows are not taken for unowned.
#[gtest]
fn flows_of_agents_that_registered_later_are_not_reset() {
    let mut sim = busy_service();
    let registered = sim.registrations()[..5].to_vec();
    let balancer = sim.balancer_nodes[1].address;
    for node in 5..TARGETS {
        let agent = sim.target_nodes[node].address;
        sim.cuts.insert((balancer, agent));
    }
    sim.start_balancer(1);
    let restarted = sim.balancer_nodes[1].balancer.as_mut().unwrap();
    restarted.set_registered_agents(&registered);
    for caller in &mut sim.callers {
        caller.balancer = 1;
    }
    sim.run_for(milliseconds(1_000));
    expect_that!(sim.resets_of_held_flows, is_empty());
}

/// Agents of an earlier version don't register. A list without them proves nothing.
#[gtest]
fn agents_without_registration_are_waited_for() {
    let mut sim = busy_service();
    for node in 0..TARGETS {
        sim.target_nodes[node].agent = None;
    }
    let registered = sim.registrations()[..5].to_vec();
    restart_balancers(&mut sim, &registered);
    for node in 0..10 {
        sim.start_agent(node);
    }
    sim.run_for(milliseconds(900));
    expect_that!(sim.resets, eq(0));
    for node in 10..TARGETS {
        sim.start_agent(node);
    }
    sim.run_for(milliseconds(3_000));
    expect_that!(sim.resets_of_held_flows, is_empty());
}

/// Balancers are added just before a target starts whose agent doesn't know them. They agree with each
/// other, but a balancer of before has opened flows at that target, which must not be reset.
#[gtest]
fn flows_of_a_target_that_starts_beside_added_balancers_are_not_reset() {
    for targets in [2, 10, 109] {
        let mut sim = Simulation::new(&["a"], &vec!["a"; targets], 2);
        let registered = sim.registrations();
        let new = sim.add_node("a", 2);
        sim.start_agent(new);
        // The agent has asked for the known balancers by then.
        sim.run_for(milliseconds(800));
        for _ in 0..3 {
            let added = sim.add_balancer("a");
            sim.start_balancer(added);
            let balancer = sim.balancer_nodes[added].balancer.as_mut().unwrap();
            balancer.set_registered_agents(&registered);
        }
        sim.run_for(milliseconds(200));
        sim.start_backend(new, Duration::ZERO);
        sim.run_for(milliseconds(250));
        let first = sim.callers.len();
        for _ in 0..2 * targets + 2 {
            sim.send_request_to(0, milliseconds(2_500));
        }
        sim.run_for(milliseconds(50));
        let is_used = sim.target_nodes[new].backend.flows() > 0;
        expect_that!(is_used, eq(true), "{targets} targets");
        for (index, caller) in sim.callers[first..].iter_mut().enumerate() {
            caller.balancer = 1 + index % 3;
        }
        sim.run_for(milliseconds(4_000));
        expect_that!(sim.resets_of_held_flows, is_empty(), "{targets} targets");
        for caller in &sim.callers[first..] {
            expect_that!(caller.outcome, eq(Outcome::Answered), "{targets} targets");
        }
    }
}
