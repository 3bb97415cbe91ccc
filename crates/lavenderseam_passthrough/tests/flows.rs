//! Behaviour of open flows during maintenance and failures, with real balancers and agents in
//! simulated time.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod simulation;

use std::time::Duration;

use googletest::prelude::*;
use simulation::{Outcome, Simulation};

const REQUEST_DURATION: Duration = Duration::from_millis(20);

fn three_domains() -> Simulation {
    Simulation::new(&["a", "b", "c"], &["a", "a", "b", "b", "c", "c"], 4)
}

/// Cuts the network between a balancer and the node whose backend server holds a caller's flow.
fn disconnect_from_holder(sim: &mut Simulation, caller: usize, balancer: usize) {
    let flow = sim.callers[caller].flow.unwrap();
    let holds = |node: &&simulation::TargetNode| node.backend.holds_open(flow);
    let holder = sim.target_nodes.iter().find(holds).unwrap().address;
    let cut = (sim.balancer_nodes[balancer].address, holder);
    sim.cuts.insert(cut);
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[gtest]
fn lightly_loaded_service_answers_all_requests_quickly() {
    let mut sim = three_domains();
    for balancer in 0..3 {
        sim.add_load(balancer, 50, seconds(5), REQUEST_DURATION);
    }
    let from = sim.instant();
    sim.run_for(seconds(8));
    expect_that!(sim.answered_fraction(from), eq(1.0));
    expect_that!(sim.resets, eq(0));
    let slowest = (0..sim.callers.len())
        .map(|caller| sim.latency(caller).unwrap())
        .max();
    expect_that!(slowest.unwrap(), le(milliseconds(60)));
}

#[gtest]
fn flow_survives_balancer_failure() {
    let mut sim = three_domains();
    let caller = sim.send_request_to(0, milliseconds(600));
    sim.run_for(milliseconds(50));
    sim.balancer_nodes[0].balancer = None;
    // The network now routes the caller's packets to another balancer.
    sim.callers[caller].balancer = 1;
    sim.run_for(seconds(2));
    expect_that!(sim.callers[caller].outcome, eq(Outcome::Answered));
    expect_that!(sim.callers[caller].attempts, eq(1));
    expect_that!(sim.resets_of_held_flows, is_empty());
}

#[gtest]
fn flow_survives_agent_restart() {
    let mut sim = three_domains();
    let mut callers = Vec::new();
    for _ in 0..12 {
        callers.push(sim.send_request_to(0, milliseconds(900)));
    }
    sim.run_for(milliseconds(50));
    for node in 0..sim.target_nodes.len() {
        sim.target_nodes[node].agent = None;
    }
    sim.run_for(milliseconds(200));
    for node in 0..sim.target_nodes.len() {
        sim.start_agent(node);
    }
    sim.run_for(seconds(3));
    for caller in callers {
        expect_that!(sim.callers[caller].outcome, eq(Outcome::Answered));
        expect_that!(sim.callers[caller].attempts, eq(1));
    }
    expect_that!(sim.resets_of_held_flows, is_empty());
}

#[gtest]
fn flows_survive_restart_of_all_balancers_and_agents() {
    let mut sim = three_domains();
    let mut callers = Vec::new();
    for balancer in [0, 1, 2, 0, 1, 2] {
        callers.push(sim.send_request_to(balancer, milliseconds(1_200)));
    }
    sim.run_for(milliseconds(50));
    for balancer in 0..sim.balancer_nodes.len() {
        sim.start_balancer(balancer);
    }
    for node in 0..sim.target_nodes.len() {
        sim.start_agent(node);
    }
    sim.run_for(seconds(4));
    for caller in callers {
        expect_that!(sim.callers[caller].outcome, eq(Outcome::Answered));
    }
    expect_that!(sim.resets_of_held_flows, is_empty());
}

#[gtest]
fn callers_of_crashed_backend_are_reset_quickly() {
    let mut sim = three_domains();
    let mut callers = Vec::new();
    for _ in 0..24 {
        callers.push(sim.send_request_to(0, milliseconds(300)));
    }
    sim.run_for(milliseconds(20));
    sim.crash_backend(0);
    sim.crash_backend(1);
    sim.run_for(seconds(3));
    for caller in callers {
        expect_that!(sim.callers[caller].outcome, eq(Outcome::Answered));
        // The reset answers the retransmission of the request, which is sent after 200 ms.
        expect_that!(sim.latency(caller).unwrap(), le(milliseconds(900)));
    }
    expect_that!(sim.resets, ge(1));
    expect_that!(sim.resets_of_held_flows, is_empty());
}

#[gtest]
fn callers_are_reset_and_served_after_all_backends_restart() {
    let mut sim = three_domains();
    for _ in 0..12 {
        sim.send_request_to(0, seconds(2));
    }
    sim.run_for(milliseconds(20));
    for node in 0..sim.target_nodes.len() {
        sim.target_nodes[node].backend.stop();
        sim.target_nodes[node].agent = None;
        sim.start_backend(node, Duration::ZERO);
        sim.start_agent(node);
    }
    let from = sim.instant();
    sim.run_for(seconds(1));
    expect_that!(sim.resets, ge(12));
    expect_that!(sim.resets_of_held_flows, is_empty());
    sim.add_load(0, 20, seconds(1), REQUEST_DURATION);
    sim.run_for(seconds(4));
    expect_that!(sim.answered_fraction(from), eq(1.0));
}

#[gtest]
fn flow_is_not_reset_while_its_agent_is_unreachable() {
    let mut sim = three_domains();
    let caller = sim.send_request_to(0, milliseconds(2_500));
    sim.run_for(milliseconds(50));
    // The caller's packets now arrive at a balancer that can't reach the holder of the flow.
    disconnect_from_holder(&mut sim, caller, 1);
    sim.callers[caller].balancer = 1;
    sim.run_for(seconds(2));
    expect_that!(sim.resets_of_held_flows, is_empty());
    expect_that!(sim.resets, eq(0));
}

#[gtest]
fn newly_started_balancer_resets_no_held_flow() {
    let mut sim = three_domains();
    let caller = sim.send_request_to(0, milliseconds(2_500));
    sim.run_for(milliseconds(50));
    // The restarted balancer receives no message from the holder before it receives packets of the
    // flow.
    disconnect_from_holder(&mut sim, caller, 1);
    sim.start_balancer(1);
    sim.run_for(milliseconds(1_300));
    sim.callers[caller].balancer = 1;
    sim.run_for(seconds(1));
    expect_that!(sim.resets_of_held_flows, is_empty());
}

#[gtest]
fn resumed_balancer_resets_no_held_flow() {
    let mut sim = three_domains();
    let node = sim.add_node("a", 4);
    // The balancer is suspended while a target joins and accepts a flow.
    let suspended = sim.balancer_nodes[1].balancer.take();
    sim.join(node);
    sim.run_for(seconds(3));
    for other in 0..node {
        sim.target_nodes[other].backend.draining = true;
    }
    sim.run_for(seconds(1));
    let caller = sim.send_request_to(0, milliseconds(2_500));
    sim.run_for(milliseconds(50));
    let (cut, peer) = (
        sim.balancer_nodes[1].address,
        sim.target_nodes[node].address,
    );
    sim.cuts.insert((cut, peer));
    sim.balancer_nodes[1].balancer = suspended;
    sim.callers[caller].balancer = 1;
    sim.run_for(milliseconds(1_500));
    expect_that!(sim.resets_of_held_flows, is_empty());
}

#[gtest]
fn draining_backend_gets_no_new_flows_and_keeps_open_ones() {
    let mut sim = three_domains();
    let mut callers = Vec::new();
    for _ in 0..12 {
        callers.push(sim.send_request_to(0, milliseconds(1_500)));
    }
    sim.run_for(milliseconds(50));
    sim.target_nodes[0].backend.draining = true;
    sim.run_for(milliseconds(900));
    let syns_before = sim.target_nodes[0].backend.syn_times.len();
    sim.add_load(0, 100, seconds(2), REQUEST_DURATION);
    sim.run_for(seconds(4));
    expect_that!(sim.target_nodes[0].backend.syn_times.len(), eq(syns_before));
    for caller in callers {
        expect_that!(sim.callers[caller].attempts, eq(1));
        expect_that!(sim.callers[caller].outcome, eq(Outcome::Answered));
    }
}

#[gtest]
fn restarted_agent_admits_no_flow_before_heartbeat() {
    let mut sim = Simulation::new(&["a"], &["a"], 4);
    sim.target_nodes[0].backend.draining = true;
    sim.run_for(seconds(1));
    let syns_before = sim.target_nodes[0].backend.syn_times.len();
    sim.start_agent(0);
    sim.add_load(0, 50, seconds(2), REQUEST_DURATION);
    sim.run_for(seconds(3));
    expect_that!(sim.target_nodes[0].backend.syn_times.len(), eq(syns_before));
}

#[gtest]
fn domain_out_of_service_gets_no_new_flows() {
    let mut sim = three_domains();
    sim.out_of_service.revision = lavenderseam_core::catalog::Revision(9);
    sim.out_of_service.domains.insert("a".to_owned());
    for balancer in 0..2 {
        let out_of_service = sim.out_of_service.clone();
        sim.balancer_nodes[balancer]
            .balancer
            .as_mut()
            .unwrap()
            .set_out_of_service_domains(out_of_service);
    }
    sim.run_for(seconds(1));
    let syns_before: usize = (0..2)
        .map(|node| sim.target_nodes[node].backend.syn_times.len())
        .sum();
    // Balancer 2 doesn't know that the domain is out of service; the agents know it from the
    // others.
    for balancer in 0..3 {
        sim.add_load(balancer, 50, seconds(2), REQUEST_DURATION);
    }
    let from = sim.instant();
    sim.run_for(seconds(4));
    let syns_after: usize = (0..2)
        .map(|node| sim.target_nodes[node].backend.syn_times.len())
        .sum();
    expect_that!(syns_after, eq(syns_before));
    expect_that!(sim.answered_fraction(from), eq(1.0));
}

#[gtest]
fn balancer_without_reachable_agents_is_not_ready() {
    let mut sim = three_domains();
    let balancer = sim.balancer_nodes[0].address;
    let ready = |sim: &Simulation| {
        let now = sim.instant();
        sim.balancer_nodes[0]
            .balancer
            .as_ref()
            .unwrap()
            .is_ready(now)
    };
    expect_that!(ready(&sim), eq(true));
    for node in 0..sim.target_nodes.len() {
        let address = sim.target_nodes[node].address;
        sim.cuts.insert((balancer, address));
    }
    sim.run_for(milliseconds(1_000));
    expect_that!(ready(&sim), eq(false));
    sim.cuts.clear();
    sim.run_for(milliseconds(600));
    expect_that!(ready(&sim), eq(true));
}

#[gtest]
fn syns_avoid_targets_behind_one_way_network_failure() {
    let mut sim = three_domains();
    let balancer = sim.balancer_nodes[0].address;
    // Messages from the balancer to the other failure domains are lost.
    for node in 2..6 {
        let address = sim.target_nodes[node].address;
        sim.one_way_cuts.insert((balancer, address));
    }
    sim.run_for(seconds(2));
    sim.add_load(0, 100, seconds(2), REQUEST_DURATION);
    let from = sim.instant();
    sim.run_for(seconds(4));
    expect_that!(sim.answered_fraction(from), eq(1.0));
    let slowest = (0..sim.callers.len())
        .map(|caller| sim.latency(caller).unwrap())
        .max();
    expect_that!(slowest.unwrap(), le(milliseconds(150)));
}

#[gtest]
fn search_retries_target_that_became_responsive() {
    let mut sim = Simulation::new(&["a", "b"], &["a", "b"], 4);
    let caller = sim.send_request_to(0, seconds(2));
    sim.run_for(milliseconds(50));
    let flow = sim.callers[caller].flow.unwrap();
    let holder = (0..2)
        .find(|node| sim.target_nodes[*node].backend.holds_open(flow))
        .unwrap();
    // The node loses power and restarts, while another balancer receives the caller's packets.
    sim.target_nodes[holder].backend.stop();
    sim.target_nodes[holder].agent = None;
    sim.callers[caller].balancer = 1;
    sim.run_for(milliseconds(350));
    sim.start_backend(holder, Duration::ZERO);
    sim.start_agent(holder);
    sim.run_for(milliseconds(500));
    expect_that!(sim.callers[caller].attempts, eq(2));
    expect_that!(sim.resets_of_held_flows, is_empty());
}

#[gtest]
fn agents_learn_of_new_balancer_quickly() {
    // Agents request the list of balancers every 5 s; the result must not depend on the time since
    // the last request.
    for phase in 0..8 {
        let mut sim = Simulation::new(&["a", "b", "c"], &["a", "b", "c"], 4);
        sim.balancer_nodes[2].balancer = None;
        sim.run_for(seconds(130) + milliseconds(phase * 700));
        // The agents have removed the balancer; it knows the other balancers, and these know the
        // agents.
        sim.start_balancer(2);
        sim.run_for(milliseconds(2_000));
        let now = sim.instant();
        let balancer = sim.balancer_nodes[2].balancer.as_ref().unwrap();
        expect_that!(balancer.is_ready(now), eq(true));
    }
}

/// Backend servers restart unnoticed and accept flows before their first heartbeats; their agents restart
/// before the second ones. The flows are open and must not be reset.
#[gtest]
fn flows_of_unnoticed_restarts_survive_restarts_of_the_agents() {
    for targets in [2, 10, 109] {
        let mut sim = Simulation::new(&["a", "a"], &vec!["a"; targets], 4);
        for node in 0..targets {
            sim.target_nodes[node].backend.stop();
            let first_heartbeat_after = Duration::from_millis(100);
            sim.start_backend_unheard(node, Duration::ZERO, first_heartbeat_after);
        }
        for _ in 0..2 * targets {
            sim.send_request_to(0, Duration::from_millis(2_500));
        }
        sim.run_for(Duration::from_millis(120));
        for node in 0..targets {
            sim.start_agent(node);
        }
        sim.run_for(Duration::from_millis(500));
        for caller in &mut sim.callers {
            caller.balancer = 1;
        }
        sim.run_for(Duration::from_millis(4_000));
        expect_that!(sim.resets_of_held_flows, is_empty(), "{targets} targets");
        for caller in &sim.callers {
            expect_that!(caller.outcome, eq(Outcome::Answered), "{targets} targets");
        }
    }
}
