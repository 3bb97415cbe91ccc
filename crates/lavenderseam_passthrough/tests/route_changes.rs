//! Flows whose route has changed since they were opened.
//!
//! The owner of such a flow may belong to a service that the route doesn't name any more. A balancer
//! that doesn't know the flow must neither reset it nor lose it.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod simulation;

use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_core::catalog::Revision;
use lavenderseam_passthrough::desired::{DesiredState, WeightedService};
use simulation::{Outcome, SERVICE, Simulation, desired_state};

const OTHER_SERVICE: &str = "archive";
/// Long enough that the caller retransmits its request several times.
const REQUEST_DURATION: Duration = Duration::from_millis(2_700);

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns two balancers, six targets of the first service and four of another one.
fn two_services() -> Simulation {
    let mut sim = Simulation::new(&["a", "b"], &["a", "a", "a", "b", "b", "b"], 2);
    for domain in ["a", "a", "b", "b"] {
        sim.add_node_of(OTHER_SERVICE, domain, 2);
    }
    sim.run_for(Duration::from_secs(2));
    sim
}

/// Returns a desired state whose route names these services.
fn state_with(version: u64, services: &[(&str, u32)]) -> DesiredState {
    let mut state = desired_state(None);
    state.version = version;
    state.revision = Revision(version);
    let limits = state.services[SERVICE].clone();
    state.services.insert(OTHER_SERVICE.to_owned(), limits);
    let weighted = services.iter().map(|(service, weight)| WeightedService {
        service: (*service).to_owned(),
        weight: *weight,
    });
    state.routes[0].services = weighted.collect();
    state
}

/// Opens flows, applies desired states, and moves all flows to a balancer that started since.
fn flows_after(states: &[DesiredState]) -> Simulation {
    let mut sim = two_services();
    let callers: Vec<usize> = (0..8)
        .map(|_| sim.send_request_to(0, REQUEST_DURATION))
        .collect();
    sim.run_for(milliseconds(50));
    for state in states {
        sim.apply_desired_state(state.clone());
        sim.run_for(milliseconds(50));
    }
    sim.start_balancer(1);
    sim.run_for(milliseconds(1_400));
    for caller in callers {
        sim.callers[caller].balancer = 1;
    }
    sim.run_for(Duration::from_secs(2));
    sim
}

fn expect_all_answered(sim: &Simulation) {
    expect_that!(sim.resets_of_held_flows, is_empty());
    for caller in &sim.callers {
        expect_that!(caller.outcome, eq(Outcome::Answered));
        expect_that!(caller.attempts, eq(1));
    }
}

#[gtest]
fn flows_survive_the_move_of_their_route_to_another_service() {
    let sim = flows_after(&[state_with(2, &[(OTHER_SERVICE, 1)])]);
    expect_all_answered(&sim);
}

#[gtest]
fn flows_survive_a_service_that_is_removed() {
    let mut state = state_with(2, &[(OTHER_SERVICE, 1)]);
    state.services.remove(SERVICE);
    expect_all_answered(&flows_after(&[state]));
}

#[gtest]
fn flows_survive_a_weight_of_zero() {
    let sim = flows_after(&[state_with(2, &[(SERVICE, 0), (OTHER_SERVICE, 1)])]);
    expect_all_answered(&sim);
}

#[gtest]
fn flows_survive_a_route_that_is_removed_and_added_for_another_service() {
    let mut without_route = state_with(2, &[]);
    without_route.routes.clear();
    let sim = flows_after(&[without_route, state_with(3, &[(OTHER_SERVICE, 1)])]);
    expect_all_answered(&sim);
}

/// Flows whose backend server restarted are reset although the route has moved since.
#[gtest]
fn ended_flows_of_a_moved_route_are_reset() {
    let mut sim = two_services();
    for _ in 0..8 {
        sim.send_request_to(0, REQUEST_DURATION);
    }
    sim.run_for(milliseconds(50));
    sim.apply_desired_state(state_with(2, &[(OTHER_SERVICE, 1)]));
    for node in 0..6 {
        sim.target_nodes[node].backend.stop();
        sim.target_nodes[node].agent = None;
        sim.start_backend(node, Duration::ZERO);
        sim.start_agent(node);
    }
    for caller in &mut sim.callers {
        caller.balancer = 1;
    }
    sim.run_for(milliseconds(700));
    expect_that!(sim.resets, eq(8));
    for caller in &sim.callers {
        expect_that!(caller.attempts, eq(2));
    }
}
