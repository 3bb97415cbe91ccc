//! Reaction of an agent to restarts, bounces and silence of its backend server.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod fixture;

use fixture::{
    BALANCER, agent, agent_without_heartbeat, at_ms, header, heartbeat, is_delivered,
    open_with_request, request, response, return_reason, syn, syn_ack,
};
use googletest::prelude::*;
use lavenderseam_passthrough::agent::{Action, Beat, Outbound, Rejection, Verdict};
use lavenderseam_passthrough::message::{Reason, Standing};

#[gtest]
fn restarted_agent_delivers_unknown_flows_to_backend() {
    let mut agent = agent_without_heartbeat();
    // In the first pass no heartbeat has arrived; in the second, one that isn't the first of its
    // run.
    for step in 0..2 {
        let verdict = agent.carried(&request(1, 1), header(), BALANCER, at_ms(step));
        let Verdict::Deliver { mark, .. } = verdict else {
            panic!("not delivered: {verdict:?}");
        };
        expect_that!(mark, ne(0));
        let bounced = agent.outbound(&request(1, 1), Some(mark), at_ms(step));
        let Outbound::Return { balancer, returned } = bounced else {
            panic!("not returned: {bounced:?}");
        };
        expect_that!(balancer, eq(BALANCER));
        expect_that!(returned.reason, eq(Reason::NotHeld));
        agent.heartbeat(&heartbeat(7 + step), at_ms(step)).unwrap();
    }
    // The backend server sends a segment of the flow itself, so the agent tracks the flow from now
    // on.
    agent.outbound(&response(2), None, at_ms(5));
    let mut requesting_header = header();
    requesting_header.wants_confirmation = true;
    let verdict = agent.carried(&request(2, 1), requesting_header, BALANCER, at_ms(6));
    expect_that!(
        verdict,
        matches_pattern!(Verdict::Deliver {
            held: some(anything()),
            ..
        })
    );
}

#[gtest]
fn agent_that_saw_backend_start_rejects_unknown_flows() {
    let mut agent = agent();
    let verdict = agent.carried(&request(1, 1), header(), BALANCER, at_ms(1));
    expect_that!(return_reason(&verdict), some(eq(Reason::NotHeld)));
}

#[gtest]
fn flows_of_terminated_backend_are_returned_as_ended() {
    let mut agent = agent();
    open_with_request(&mut agent, 1, at_ms(0));
    expect_that!(agent.refused(at_ms(10)), eq(true));
    expect_that!(agent.standing(), eq(Standing::Ended));
    let verdict = agent.carried(&request(1, 1), header(), BALANCER, at_ms(200));
    expect_that!(return_reason(&verdict), some(eq(Reason::Ended)));
    // A flow that was never held here gets another reason.
    let verdict = agent.carried(&request(2, 1), header(), BALANCER, at_ms(200));
    expect_that!(return_reason(&verdict), some(eq(Reason::NotHeld)));
}

#[gtest]
fn new_backend_run_ends_flows_of_previous_run() {
    let mut agent = agent();
    open_with_request(&mut agent, 1, at_ms(0));
    let mut next_run = heartbeat(1);
    next_run.born = Some(2_000);
    let outcome = agent.heartbeat(&next_run, at_ms(900));
    expect_that!(outcome, ok(eq(&Beat::New { replaces: true })));
    let verdict = agent.carried(&request(1, 1), header(), BALANCER, at_ms(901));
    expect_that!(return_reason(&verdict), some(eq(Reason::Ended)));
    expect_that!(agent.load(at_ms(901)).busy, eq(0));
}

#[gtest]
fn heartbeats_of_earlier_runs_and_other_services_are_rejected() {
    let mut agent = agent();
    let mut earlier_run = heartbeat(9);
    earlier_run.id = "b-0".to_owned();
    earlier_run.born = Some(10);
    expect_that!(
        agent.heartbeat(&earlier_run, at_ms(1)),
        err(eq(&Rejection::Stale))
    );
    expect_that!(
        agent.heartbeat(&heartbeat(1), at_ms(1)),
        err(eq(&Rejection::Stale))
    );
    let mut other_service = heartbeat(2);
    other_service.service = "maps".to_owned();
    let rejection = Rejection::OtherService("maps".to_owned());
    expect_that!(
        agent.heartbeat(&other_service, at_ms(1)),
        err(eq(&rejection))
    );
    expect_that!(agent.standing(), eq(Standing::Ready));
}

#[gtest]
fn heartbeat_revives_run_considered_terminated() {
    let mut agent = agent();
    agent.refused(at_ms(10));
    expect_that!(
        agent.heartbeat(&heartbeat(2), at_ms(800)),
        ok(eq(&Beat::Changed))
    );
    expect_that!(agent.standing(), eq(Standing::Ready));
}

#[gtest]
fn bounced_syn_is_returned_to_balancer() {
    let mut agent = agent();
    let verdict = agent.carried(&syn(1), header(), BALANCER, at_ms(0));
    let Verdict::Deliver { mark, .. } = verdict else {
        panic!("not delivered: {verdict:?}");
    };
    let bounced = agent.outbound(&syn(1), Some(mark), at_ms(1));
    let Outbound::Return { returned, .. } = bounced else {
        panic!("not returned: {bounced:?}");
    };
    expect_that!(returned.reason, eq(Reason::Shed));
    expect_that!(agent.load(at_ms(1)).busy, eq(0));
}

#[gtest]
fn bounce_with_unknown_mark_is_dropped() {
    let mut agent = agent();
    expect_that!(
        agent.outbound(&syn(1), Some(99), at_ms(1)),
        eq(&Outbound::Drop)
    );
}

#[gtest]
fn unresponsive_backend_is_probed() {
    let mut agent = agent();
    agent.carried(&syn(1), header(), BALANCER, at_ms(0));
    expect_that!(agent.tick(at_ms(100)), not(contains(eq(&Action::Probe))));
    expect_that!(agent.tick(at_ms(600)), contains(eq(&Action::Probe)));
    expect_that!(agent.tick(at_ms(700)), not(contains(eq(&Action::Probe))));
    agent.outbound(&syn_ack(1), None, at_ms(800));
    expect_that!(agent.tick(at_ms(1_700)), not(contains(eq(&Action::Probe))));
}

#[gtest]
fn bounced_segment_of_open_flow_ends_the_flow() {
    let mut agent = agent();
    open_with_request(&mut agent, 1, at_ms(0));
    let verdict = agent.carried(&request(1, 1), header(), BALANCER, at_ms(200));
    let Verdict::Deliver { mark, .. } = verdict else {
        panic!("not delivered: {verdict:?}");
    };
    let bounced = agent.outbound(&request(1, 1), Some(mark), at_ms(200));
    let Outbound::Return { returned, .. } = bounced else {
        panic!("not returned: {bounced:?}");
    };
    expect_that!(returned.reason, eq(Reason::Ended));
    // Further packets of the flow get the same reason.
    let verdict = agent.carried(&request(1, 1), header(), BALANCER, at_ms(600));
    expect_that!(return_reason(&verdict), some(eq(Reason::Ended)));
}

#[gtest]
fn backend_that_bounces_syns_gets_cooldown_and_probe() {
    let mut agent = agent();
    for port in 1..=3 {
        let verdict = agent.carried(&syn(port), header(), BALANCER, at_ms(u64::from(port)));
        let Verdict::Deliver { mark, .. } = verdict else {
            panic!("not delivered: {verdict:?}");
        };
        agent.outbound(&syn(port), Some(mark), at_ms(u64::from(port)));
    }
    let verdict = agent.carried(&syn(4), header(), BALANCER, at_ms(10));
    expect_that!(return_reason(&verdict), some(eq(Reason::Shed)));
    expect_that!(agent.tick(at_ms(50)), contains(eq(&Action::Probe)));
    // New flows are admitted again after the cooldown, and one response clears the signs of
    // failure.
    let verdict = agent.carried(&syn(5), header(), BALANCER, at_ms(300));
    expect_that!(is_delivered(&verdict), eq(true));
    agent.outbound(&syn_ack(5), None, at_ms(301));
    let verdict = agent.carried(&syn(6), header(), BALANCER, at_ms(302));
    expect_that!(is_delivered(&verdict), eq(true));
}
