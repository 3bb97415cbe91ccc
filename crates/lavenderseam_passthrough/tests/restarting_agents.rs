//! Searches for the owners of flows while agents are restarted one after the other.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod fixture;

use std::net::SocketAddrV4;

use fixture::pool::{Pool, agent_address};
use fixture::{BALANCER, SERVICE, at_ms, flow};
use googletest::prelude::*;
use lavenderseam_passthrough::balancer::{Resolution, SearchAction, Verdict};
use lavenderseam_passthrough::desired::Repeatability;
use lavenderseam_passthrough::message::{Announcement, LocationReply, TargetState};

const PORT: u16 = 5;

/// Returns a balancer that knows agents 1 and 2, and has heard agent 2 after a restart at 700 ms.
fn balancer_after_a_restart() -> Pool {
    let mut pool = Pool::without_targets(BALANCER, Repeatability::AtMostOnce);
    for index in [1, 2] {
        pool.announce(index, 1, TargetState::Ready, 10);
        pool.announce(index, 1, TargetState::Ready, 690);
    }
    let announcement = Announcement {
        run: 2,
        sequence: 1,
        service: SERVICE.to_owned(),
        domain: "a".to_owned(),
        state: TargetState::Ready,
        hears_recipient: true,
        ..Announcement::default()
    };
    let agent = agent_address(2);
    pool.balancer
        .on_announcement(&announcement, agent, at_ms(700));
    pool
}

/// Answers the queries that are due, for agent 1, which doesn't hold the flow; returns the agents that are
/// asked, and whether a packet of the flow goes on to a target.
fn deny_due_queries(pool: &mut Pool, ms: u64) -> (Vec<SocketAddrV4>, u32, bool) {
    let mut actions = pool.balancer.poll_searches(at_ms(ms));
    let mut asked = Vec::new();
    let mut number = 0;
    for action in actions.clone() {
        if let SearchAction::Query { agent, query } = action {
            asked.push(agent);
            number = query.number;
        }
    }
    if asked.contains(&agent_address(1)) {
        let reply = LocationReply {
            number,
            ..LocationReply::default()
        };
        let answered = pool
            .balancer
            .on_location_reply(&reply, agent_address(1), at_ms(ms + 1));
        actions.extend(answered);
    }
    (asked, number, actions.iter().any(resumes))
}

fn resumes(action: &SearchAction) -> bool {
    let resolution = Resolution::Resume;
    let flow = flow(PORT);
    *action == SearchAction::Resolve { flow, resolution }
}

/// Guards against packets that are lost at targets without an agent: the caller sends the next one up to 1.6 s
/// later.
#[gtest]
fn no_target_is_visited_while_agents_are_restarted() {
    let mut pool = balancer_after_a_restart();
    expect_that!(pool.send(PORT, 720), eq(&Verdict::Hold));
    // The restarts have ended.
    for (index, run) in [(1, 1), (2, 2)] {
        pool.announce(index, run, TargetState::Ready, 5_800);
    }
    let verdict = pool.send(PORT + 1, 5_801);
    expect_that!(verdict, matches_pattern!(Verdict::Forward { .. }));
}

/// Guards against a flow whose packets reach other targets and none its own for seconds, because the search
/// gives up the owner's agent while that restarts.
#[gtest]
fn an_agent_that_may_be_restarting_is_asked_again() {
    let mut pool = balancer_after_a_restart();
    pool.send(PORT, 720);
    // Agent 2 is silent until 1,050 ms.
    let mut rounds = Vec::new();
    for ms in (725..1_050).step_by(5) {
        let (_, number, goes_on) = deny_due_queries(&mut pool, ms);
        expect_that!(goes_on, eq(false), "{ms} ms");
        if number != 0 && !rounds.contains(&number) {
            rounds.push(number);
        }
    }
    expect_that!(rounds.len(), eq(2));
    let reply = LocationReply {
        number: rounds.last().copied().unwrap_or_default(),
        held: vec![0],
        ..LocationReply::default()
    };
    let agent = agent_address(2);
    let actions = pool.balancer.on_location_reply(&reply, agent, at_ms(1_050));
    expect_that!(actions.iter().any(resumes), eq(true));
    let verdict = pool.send(PORT, 1_051);
    expect_that!(
        verdict,
        matches_pattern!(Verdict::Forward {
            agent: eq(&agent),
            ..
        })
    );
}

/// Guards against callers that wait for an agent that has failed: packets go on to its target after 800 ms.
#[gtest]
fn an_agent_that_stays_silent_is_given_up() {
    let mut pool = balancer_after_a_restart();
    pool.send(PORT, 720);
    let went_on = (725..2_000).step_by(5).find(|ms| {
        let (_, _, goes_on) = deny_due_queries(&mut pool, *ms);
        goes_on
    });
    expect_that!(went_on, some(all![ge(1_400), le(1_520 + 240)]));
    let verdict = pool.send(PORT, 1_800);
    let agent = agent_address(2);
    expect_that!(
        verdict,
        matches_pattern!(Verdict::Forward {
            agent: eq(&agent),
            ..
        })
    );
}
