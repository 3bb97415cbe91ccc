//! Flows that ended while their callers were idle, as after a loss of power, and flows that must not be
//! taken for such.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod fixture;

use std::time::Duration;

use fixture::pool::{Pool, Question, agent_address};
use fixture::{BACKEND_ISN, at_ms, flow, request};
use googletest::prelude::*;
use lavenderseam_passthrough::balancer::{Action, DiscardReason, SearchAction, Verdict};
use lavenderseam_passthrough::message::TargetState;

const NEXT_RUN: u64 = 2;

/// A VM loses power while callers keep idle flows there: they would lose their next request.
#[gtest]
fn idle_flows_are_reset_once_the_restarted_agent_denies_them() {
    let mut pool = Pool::with_flows(&[1, 2, 3]);
    let questions = pool.announce(1, NEXT_RUN, TargetState::Ready, 3_000);
    assert_that!(questions.len(), eq(1));
    expect_that!(questions[0].agent, eq(agent_address(1)));
    let (resets, _) = pool.answer(&questions[0], &[], &[], 3_005);
    expect_that!(resets, container_eq([flow(1), flow(2), flow(3)]));
}

/// Guards against idle callers that lose their next request after a loss of power of everything: the agent can't
/// tell that the flows are lost until all balancers have told that they know no agent before it.
#[gtest]
fn idle_flows_are_asked_about_again_once_the_agent_can_tell() {
    let mut pool = Pool::with_flows(&[1, 2]);
    let questions = pool.announce(1, NEXT_RUN, TargetState::Ready, 3_000);
    let (resets, _) = pool.answer(&questions[0], &[], &[0, 1], 3_005);
    expect_that!(resets, is_empty());
    let actions = pool.balancer.on_flows_known(agent_address(1), at_ms(3_200));
    let mut queries = actions.into_iter().filter_map(|action| match action {
        SearchAction::Query { agent, query } => Some(Question { agent, query }),
        _ => None,
    });
    let (resets, _) = pool.answer(&queries.next().unwrap(), &[], &[], 3_205);
    expect_that!(resets, container_eq([flow(1), flow(2)]));
}

/// An agent that restarts beside a running backend server, whose flows go on, can't tell at first.
#[gtest]
fn flows_of_a_backend_server_that_runs_on_are_kept() {
    let mut pool = Pool::with_flows(&[1, 2]);
    let unknown = pool.announce(1, NEXT_RUN, TargetState::Unknown, 3_000);
    expect_that!(unknown.len(), eq(0));
    let questions = pool.announce(1, NEXT_RUN, TargetState::Ready, 3_400);
    assert_that!(questions.len(), eq(1));
    let (resets, _) = pool.answer(&questions[0], &[0], &[1], 3_405);
    expect_that!(resets, is_empty());
}

/// The other target has restarted, and knows nothing of the flows.
#[gtest]
fn only_the_owner_is_asked() {
    let mut pool = Pool::with_flows(&[1]);
    let questions = pool.announce(2, NEXT_RUN, TargetState::Ready, 3_000);
    expect_that!(questions.len(), eq(0));
}

/// The caller may have opened the flow at another target, because of a retransmitted SYN.
#[gtest]
fn flows_that_the_agent_never_confirmed_are_left_to_the_search() {
    let mut pool = Pool::with_flows(&[]);
    pool.open(1, 1_000);
    expect_that!(
        pool.announce(1, NEXT_RUN, TargetState::Ready, 1_200).len(),
        eq(0)
    );
    expect_that!(
        pool.announce(2, NEXT_RUN, TargetState::Ready, 1_200).len(),
        eq(0)
    );
    let sent = pool.send(1, 1_300);
    // While agents are restarted, a search asks all of them at once.
    expect_that!(pool.deny(1, &sent, 1_301), eq(&Verdict::Hold));
    let actions = pool.balancer.poll_searches(at_ms(1_310));
    let is_query = |action: &&SearchAction| matches!(action, SearchAction::Query { .. });
    expect_that!(actions.iter().filter(is_query).count(), eq(2));
}

/// A port that is used again belongs to a flow that another target may hold.
#[gtest]
fn a_later_flow_of_the_same_port_must_be_confirmed_again() {
    let mut pool = Pool::with_flows(&[1]);
    pool.announce(2, 1, TargetState::Ready, 1_900);
    let mut later = request(1, 1);
    later.acknowledgment = BACKEND_ISN.wrapping_add(1 << 30);
    let sent = pool.balancer.on_caller_packet(&later, at_ms(2_000));
    expect_that!(
        pool.deny(1, &sent, 2_001),
        matches_pattern!(Verdict::Forward { .. })
    );
    expect_that!(
        pool.announce(1, NEXT_RUN, TargetState::Ready, 3_000).len(),
        eq(0)
    );
}

/// A failure domain is still without power, so that a search of all targets couldn't end.
#[gtest]
fn a_packet_that_the_owner_denies_is_reset_at_once() {
    let mut pool = Pool::with_flows(&[1]);
    let sent = pool.send(1, 3_000);
    expect_that!(
        pool.deny(1, &sent, 3_001),
        eq(&Verdict::Reset(DiscardReason::DeniedByOwner))
    );
}

/// Thousands of idle flows must not be asked about, or reset, at the same time.
#[gtest]
fn many_flows_are_asked_about_one_query_at_a_time() {
    let ports: Vec<u16> = (1..=70).collect();
    let mut pool = Pool::with_flows(&ports);
    let mut questions = pool.announce(1, NEXT_RUN, TargetState::Ready, 3_000);
    let mut asked = Vec::new();
    while let Some(question) = questions.pop() {
        assert_that!(questions.len(), eq(0));
        asked.extend(question.flows());
        let (resets, next) = pool.answer(&question, &[], &[], 3_005);
        expect_that!(resets.len(), eq(question.flows().len()));
        questions = next;
    }
    asked.sort();
    let all: Vec<_> = ports.into_iter().map(flow).collect();
    expect_that!(asked, container_eq(all));
}

/// The network loses a query, or the agent is busy with its start.
#[gtest]
fn a_query_without_an_answer_is_repeated_a_few_times() {
    let mut pool = Pool::with_flows(&[1]);
    pool.announce(1, NEXT_RUN, TargetState::Ready, 3_000);
    let mut repetitions = 0;
    while let Some(at) = pool.balancer.next_search_at() {
        repetitions += pool.balancer.poll_searches(at).len();
    }
    expect_that!(repetitions, eq(3));
}

/// The caller closes its flow and uses the port again while the answer of the former owner is late.
#[gtest]
fn a_denial_of_a_flow_that_was_used_since_resets_nothing() {
    let mut pool = Pool::with_flows(&[1]);
    let questions = pool.announce(1, NEXT_RUN, TargetState::Ready, 3_000);
    let mut later = request(1, 1);
    later.acknowledgment = BACKEND_ISN.wrapping_add(1 << 30);
    pool.balancer.on_caller_packet(&later, at_ms(3_002));
    pool.confirm_later(&later, 3_003);
    let (resets, _) = pool.answer(&questions[0], &[], &[], 3_005);
    expect_that!(resets, is_empty());
}

/// An answer that was delayed belongs to an earlier query.
#[gtest]
fn a_late_answer_to_another_query_resets_nothing() {
    let mut pool = Pool::with_flows(&[1]);
    let questions = pool.announce(1, NEXT_RUN, TargetState::Ready, 3_000);
    let mut late = questions.first().unwrap().clone();
    late.query.number -= 1;
    expect_that!(pool.answer(&late, &[], &[], 3_005).0, is_empty());
}

/// Guards against a balancer that forgets a silent agent while flows at its target may still be
/// open, and then takes them for unowned.
#[gtest]
fn a_silent_agent_is_remembered_for_the_maximum_age_of_a_flow() {
    let forgets = |max_flow_age_s: u64, at_s: u64| {
        let mut pool = Pool::with_flows(&[]);
        pool.balancer
            .set_max_flow_age(Duration::from_secs(max_flow_age_s));
        let actions = pool.tick(at_s * 1_000);
        let is_expiry = |action: &Action| matches!(action, Action::AgentExpired { .. });
        actions.iter().any(is_expiry)
    };
    expect_that!(forgets(90, 89), eq(false));
    expect_that!(forgets(90, 91), eq(true));
    // A shorter one doesn't let a balancer forget agents sooner than by default.
    expect_that!(forgets(20, 59), eq(false));
}
