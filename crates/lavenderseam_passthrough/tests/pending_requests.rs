//! The number of requests that an agent counts as work of its backend server.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod fixture;

use std::time::Duration;

use fixture::{
    BALANCER, agent, agent_without_heartbeat, at_ms, header, hear_twice, heartbeat, is_delivered,
    open_with_request, queueing_header, request, response, syn,
};
use googletest::prelude::*;
use lavenderseam_passthrough::agent::Agent;

const FLOWS: u16 = 12;

/// Returns an agent that has restarted beside a running backend server.
fn restarted_agent() -> Agent {
    let mut agent = agent_without_heartbeat();
    hear_twice(&mut agent, &heartbeat(40), at_ms(0)).unwrap();
    agent
}

/// All agents stop and start again while callers wait. Each backend server retransmits the responses
/// that nobody delivered, and each caller retransmits its request: whichever arrives first, the
/// request has been answered, and isn't work that keeps new flows away.
#[gtest]
fn requests_answered_before_a_restart_of_the_agent_are_no_work() {
    let mut agent = restarted_agent();
    for port in 1..=FLOWS {
        agent.on_backend_packet(&response(port), None, at_ms(10));
        agent.on_forwarded_packet(&request(port, 1), header(), BALANCER, at_ms(20));
    }
    expect_that!(agent.target_load(at_ms(30)).busy_slots, eq(0));
    let verdict = agent.on_forwarded_packet(&syn(100), header(), BALANCER, at_ms(30));
    expect_that!(is_delivered(&verdict), eq(true));
}

/// The next request on such a flow is work until it is answered.
#[gtest]
fn the_next_request_of_a_flow_found_after_a_restart_is_work() {
    let mut agent = restarted_agent();
    agent.on_backend_packet(&response(1), None, at_ms(10));
    agent.on_forwarded_packet(&request(1, 901), header(), BALANCER, at_ms(20));
    expect_that!(agent.target_load(at_ms(21)).busy_slots, eq(1));
    let mut answer = response(1);
    answer.sequence += 600;
    answer.acknowledgment = 1_801;
    agent.on_backend_packet(&answer, None, at_ms(40));
    expect_that!(agent.target_load(at_ms(41)).busy_slots, eq(0));
    // A late copy of the request.
    agent.on_forwarded_packet(&request(1, 901), header(), BALANCER, at_ms(50));
    expect_that!(agent.target_load(at_ms(51)).busy_slots, eq(0));
}

/// A slow request is work for as long as the backend server hasn't answered, even if its caller
/// retransmits it and the backend server acknowledges it.
#[gtest]
fn a_slow_request_is_work_until_it_is_answered() {
    let mut agent = agent();
    open_with_request(&mut agent, 1, at_ms(0));
    for ms in [200, 600, 1_400] {
        agent.on_forwarded_packet(&request(1, 1), header(), BALANCER, at_ms(ms));
        let mut acknowledgment = response(1);
        acknowledgment.payload_length = 0;
        agent.on_backend_packet(&acknowledgment, None, at_ms(ms + 1));
        expect_that!(agent.target_load(at_ms(ms + 2)).busy_slots, eq(1));
    }
    agent.on_backend_packet(&response(1), None, at_ms(2_000));
    expect_that!(agent.target_load(at_ms(2_001)).busy_slots, eq(0));
}

/// Under a steady load both means agree, so that a difference between them shows a wrong count.
#[gtest]
fn the_count_agrees_with_littles_law() {
    let mut agent = agent();
    // One request of 50 ms each 100 ms for 10 s.
    for round in 0..100 {
        let port = round + 1;
        let sent = u64::from(round) * 100;
        let verdict =
            agent.on_forwarded_packet(&syn(port), queueing_header(), BALANCER, at_ms(sent));
        expect_that!(is_delivered(&verdict), eq(true));
        agent.on_backend_packet(&fixture::syn_ack(port), None, at_ms(sent));
        agent.on_forwarded_packet(&request(port, 1), header(), BALANCER, at_ms(sent));
        agent.on_backend_packet(&response(port), None, at_ms(sent + 50));
        agent.tick(at_ms(sent + 50));
    }
    let now = at_ms(10_000);
    let counted = agent.mean_pending_requests(now);
    let answered = agent.mean_answered_requests(now);
    expect_that!(counted, near(0.5, 0.1));
    expect_that!(answered, near(0.5, 0.1));
    // Without further requests, both fall to zero.
    let later = now + Duration::from_secs(10);
    expect_that!(agent.mean_answered_requests(later), near(0.0, 0.01));
    expect_that!(agent.mean_pending_requests(later), near(0.0, 0.01));
}
