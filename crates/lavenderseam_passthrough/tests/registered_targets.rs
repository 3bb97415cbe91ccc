//! Conclusions of balancers that have just started, from the registrations of agents.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod simulation;

use std::net::SocketAddrV4;
use std::time::Duration;

use googletest::prelude::*;
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
fn restart_balancers(sim: &mut Simulation, registered: &[SocketAddrV4]) {
    for index in 0..sim.balancer_nodes.len() {
        sim.start_balancer(index);
        let balancer = sim.balancer_nodes[index].balancer.as_mut().unwrap();
        balancer.set_registered_agents(registered);
    }
}

fn addresses(sim: &Simulation) -> Vec<SocketAddrV4> {
    sim.target_nodes.iter().map(|node| node.address).collect()
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
    let registered = addresses(&sim);
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

/// A registered agent that starts later than the balancers may hold flows, so that the balancers
/// conclude nothing before they have heard from it.
#[gtest]
fn flows_of_an_agent_that_starts_late_are_not_reset() {
    let mut sim = busy_service();
    for node in 0..TARGETS {
        sim.target_nodes[node].agent = None;
    }
    let registered = addresses(&sim);
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

/// Agents of an earlier version don't register. A list without them proves nothing.
#[gtest]
fn agents_without_registration_are_waited_for() {
    let mut sim = busy_service();
    for node in 0..TARGETS {
        sim.target_nodes[node].agent = None;
    }
    let registered = addresses(&sim)[..5].to_vec();
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
