//! What an agent admits, and what it tells balancers.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod fixture;

use std::time::Duration;

use fixture::{
    BALANCER, NUMBER, SERVICE, accepted, agent, announcement, answer, at, beat, carry, fresh,
    is_delivered, open, opener, queueing, reason, request, welcome,
};
use googletest::prelude::*;
use lavenderseam_core::catalog::Revision;
use lavenderseam_passthrough::agent::{Action, Agent, Outbound, Place, Reply, Verdict};
use lavenderseam_passthrough::message::{Reason, ServiceTag};
use lavenderseam_passthrough::segment::{Flags, Segment};

#[gtest]
fn a_request_sent_again_after_its_answer_is_no_work() {
    let mut agent = agent();
    open(&mut agent, 1, at(0));
    expect_that!(agent.load(at(1)).busy, eq(1));
    let answered = agent.outbound(&answer(1), None, at(300));
    let reply = Some(Reply::Answered(Duration::from_millis(300)));
    expect_that!(answered, eq(&Outbound::Caller { reply }));
    expect_that!(agent.load(at(300)).busy, eq(0));
    // The copy was on its way when the answer came.
    agent.carried(&request(1, 1), carry(), BALANCER, at(301));
    expect_that!(agent.load(at(301)).busy, eq(0));
    // The next request on the same flow is.
    agent.carried(&request(1, 901), carry(), BALANCER, at(400));
    expect_that!(agent.load(at(400)).busy, eq(1));
}

#[gtest]
fn an_opened_flow_without_request_is_work_for_a_round_trip_only() {
    let mut agent = agent();
    agent.carried(&opener(1), carry(), BALANCER, at(0));
    expect_that!(agent.load(at(1)).busy, eq(1));
    agent.tick(at(400));
    expect_that!(agent.load(at(400)).busy, eq(0));
}

#[gtest]
fn openers_wait_only_if_they_must_and_only_so_many() {
    let mut agent = agent();
    for port in 1..=2 {
        open(&mut agent, port, at(0));
    }
    let verdict = agent.carried(&opener(3), carry(), BALANCER, at(1));
    expect_that!(reason(&verdict), some(eq(Reason::Busy)));
    for port in 3..=6 {
        open(&mut agent, port, at(1));
    }
    let verdict = agent.carried(&opener(7), queueing(), BALANCER, at(1));
    expect_that!(reason(&verdict), some(eq(Reason::Busy)));
}

#[gtest]
fn a_caller_that_follows_another_target_is_sent_on() {
    let mut agent = agent();
    agent.carried(&opener(1), carry(), BALANCER, at(0));
    agent.outbound(&accepted(1), None, at(0));
    let mut other = request(1, 1);
    other.acknowledgment = NUMBER.wrapping_add(1 << 30);
    let verdict = agent.carried(&other, carry(), BALANCER, at(2));
    expect_that!(reason(&verdict), some(eq(Reason::NotHeld)));
    // The one that fits opens the flow here.
    let verdict = agent.carried(&request(1, 1), carry(), BALANCER, at(3));
    expect_that!(is_delivered(&verdict), eq(true));
}

#[gtest]
fn a_draining_backend_server_keeps_flows_and_takes_none() {
    let mut agent = agent();
    open(&mut agent, 1, at(0));
    let mut draining = beat(2);
    draining.draining = true;
    agent.heartbeat(&draining, at(100)).unwrap();
    let verdict = agent.carried(&opener(2), carry(), BALANCER, at(101));
    expect_that!(reason(&verdict), some(eq(Reason::Draining)));
    let verdict = agent.carried(&request(1, 901), carry(), BALANCER, at(101));
    expect_that!(is_delivered(&verdict), eq(true));
    // A copy of an opener that was taken before is still the same flow.
    let verdict = agent.carried(&opener(1), carry(), BALANCER, at(102));
    expect_that!(verdict, eq(&Verdict::Drop));
}

#[gtest]
fn openers_for_another_service_go_back() {
    let mut agent = agent();
    let mut other = carry();
    other.service = ServiceTag::new("maps");
    let verdict = agent.carried(&opener(1), other, BALANCER, at(1));
    expect_that!(reason(&verdict), some(eq(Reason::OtherService)));
}

#[gtest]
fn answers_of_backend_servers_never_reach_one() {
    let mut agent = agent();
    let verdict = agent.carried(&accepted(1), carry(), BALANCER, at(1));
    expect_that!(verdict, eq(&Verdict::Drop));
}

#[gtest]
fn a_cold_backend_server_without_a_named_rate_takes_what_its_slots_bear() {
    let mut agent = fresh();
    let mut cold = beat(1);
    cold.cold = Duration::from_secs(2);
    agent.heartbeat(&cold, at(0)).unwrap();
    for port in 1..=40 {
        let now = at(u64::from(port));
        open(&mut agent, port, now);
        agent.outbound(&answer(port), None, now);
    }
    expect_that!(agent.load(at(50)).cold, some(eq(u16::MAX)));
}

#[gtest]
fn a_cold_backend_server_with_an_unknown_service_gets_little() {
    let mut agent = Agent::new(Place {
        service: SERVICE.to_owned(),
        domain: "a".to_owned(),
        run: 1,
    });
    let mut cold = beat(1);
    cold.cold = Duration::from_secs(2);
    agent.heartbeat(&cold, at(0)).unwrap();
    for port in 1..=5 {
        let now = at(u64::from(port));
        open(&mut agent, port, now);
        agent.outbound(&answer(port), None, now);
    }
    let verdict = agent.carried(&opener(6), queueing(), BALANCER, at(10));
    expect_that!(reason(&verdict), some(eq(Reason::Cold)));
    let verdict = agent.carried(&opener(7), queueing(), BALANCER, at(1_010));
    expect_that!(is_delivered(&verdict), eq(true));
}

#[gtest]
fn a_failure_domain_that_is_out_takes_no_opener_whoever_sends_it() {
    let mut agent = agent();
    let mut out = welcome();
    out.outs = Revision(9);
    out.out = true;
    agent.welcomed(&out, BALANCER, at(1));
    // An older balancer doesn't know it yet.
    agent.welcomed(&welcome(), BALANCER, at(2));
    let verdict = agent.carried(&opener(1), carry(), BALANCER, at(3));
    expect_that!(reason(&verdict), some(eq(Reason::DomainOut)));
}

#[gtest]
fn an_agent_says_whether_it_hears_a_balancer() {
    let mut agent = agent();
    expect_that!(announcement(&mut agent, at(400)).hears, eq(true));
    expect_that!(announcement(&mut agent, at(2_000)).hears, eq(false));
    agent.welcomed(&welcome(), BALANCER, at(2_100));
    // It says so at once, not at the next turn.
    expect_that!(announcement(&mut agent, at(2_101)).hears, eq(true));
}

#[gtest]
fn an_agent_without_balancers_looks_them_up() {
    let mut agent = agent();
    expect_that!(
        agent.tick(at(500)),
        not(contains(eq(&Action::FindBalancers)))
    );
    expect_that!(agent.tick(at(1_600)), contains(eq(&Action::FindBalancers)));
    expect_that!(
        agent.tick(at(1_700)),
        not(contains(eq(&Action::FindBalancers)))
    );
}

#[gtest]
fn an_end_that_overtakes_its_answer_breaks_nothing_off() {
    let mut agent = agent();
    open(&mut agent, 1, at(0));
    let end = Segment {
        flags: Flags {
            ack: true,
            fin: true,
            ..Flags::default()
        },
        sequence: NUMBER + 1_489,
        length: 0,
        ..answer(1)
    };
    let overtaking = agent.outbound(&end, None, at(20));
    expect_that!(overtaking, eq(&Outbound::Caller { reply: None }));
    expect_that!(agent.load(at(20)).busy, eq(1));
    let answered = agent.outbound(&answer(1), None, at(20));
    let reply = Some(Reply::Answered(Duration::from_millis(20)));
    expect_that!(answered, eq(&Outbound::Caller { reply }));
}

#[gtest]
fn a_request_that_is_broken_off_keeps_its_slot_for_a_while() {
    let mut agent = agent();
    open(&mut agent, 1, at(0));
    let reset = Segment {
        flags: Flags {
            rst: true,
            ..Flags::default()
        },
        length: 0,
        ..answer(1)
    };
    let broken = agent.outbound(&reset, None, at(5));
    let reply = Some(Reply::Broken(Duration::from_millis(5)));
    expect_that!(broken, eq(&Outbound::Caller { reply }));
    expect_that!(agent.load(at(100)).busy, eq(1));
    expect_that!(agent.load(at(300)).busy, eq(0));
}
