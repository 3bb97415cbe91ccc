//! What an agent makes of its backend server: its runs, its bounces and its silence.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod fixture;

use fixture::{
    BALANCER, accepted, agent, answer, at, beat, carry, fresh, is_delivered, open, opener, reason,
    request,
};
use googletest::prelude::*;
use lavenderseam_passthrough::agent::{Action, Beat, Outbound, Rejection, Verdict};
use lavenderseam_passthrough::message::{Reason, Standing};

#[gtest]
fn a_restarted_agent_asks_its_backend_server() {
    let mut agent = fresh();
    // No heartbeat yet, and then one that isn't the first.
    for step in 0..2 {
        let verdict = agent.carried(&request(1, 1), carry(), BALANCER, at(step));
        let Verdict::Deliver { mark, .. } = verdict else {
            panic!("not tried: {verdict:?}");
        };
        expect_that!(mark, ne(0));
        let bounced = agent.outbound(&request(1, 1), Some(mark), at(step));
        let Outbound::Return { balancer, returned } = bounced else {
            panic!("not returned: {bounced:?}");
        };
        expect_that!(balancer, eq(BALANCER));
        expect_that!(returned.reason, eq(Reason::NotHeld));
        agent.heartbeat(&beat(7 + step), at(step)).unwrap();
    }
    // What the backend server sends is its own, so the flow is held from then on.
    agent.outbound(&answer(2), None, at(5));
    let mut asks = carry();
    asks.asks = true;
    let verdict = agent.carried(&request(2, 1), asks, BALANCER, at(6));
    expect_that!(
        verdict,
        matches_pattern!(Verdict::Deliver {
            held: some(anything()),
            ..
        })
    );
}

#[gtest]
fn an_agent_that_saw_its_backend_server_start_knows_all_flows() {
    let mut agent = agent();
    let verdict = agent.carried(&request(1, 1), carry(), BALANCER, at(1));
    expect_that!(reason(&verdict), some(eq(Reason::NotHeld)));
}

#[gtest]
fn flows_of_an_ended_backend_server_are_said_to_have_ended() {
    let mut agent = agent();
    open(&mut agent, 1, at(0));
    expect_that!(agent.refused(at(10)), eq(true));
    expect_that!(agent.standing(), eq(Standing::Ended));
    let verdict = agent.carried(&request(1, 1), carry(), BALANCER, at(200));
    expect_that!(reason(&verdict), some(eq(Reason::Ended)));
    // A flow that it never held is another matter.
    let verdict = agent.carried(&request(2, 1), carry(), BALANCER, at(200));
    expect_that!(reason(&verdict), some(eq(Reason::NotHeld)));
}

#[gtest]
fn a_new_run_of_the_backend_server_ends_the_flows_of_the_old_one() {
    let mut agent = agent();
    open(&mut agent, 1, at(0));
    let mut next = beat(1);
    next.born = Some(2_000);
    let taken = agent.heartbeat(&next, at(900));
    expect_that!(taken, ok(eq(&Beat::New { replaces: true })));
    let verdict = agent.carried(&request(1, 1), carry(), BALANCER, at(901));
    expect_that!(reason(&verdict), some(eq(Reason::Ended)));
    expect_that!(agent.load(at(901)).busy, eq(0));
}

#[gtest]
fn late_and_foreign_heartbeats_change_nothing() {
    let mut agent = agent();
    let mut old = beat(9);
    old.id = "b-0".to_owned();
    old.born = Some(10);
    expect_that!(agent.heartbeat(&old, at(1)), err(eq(&Rejection::Late)));
    expect_that!(agent.heartbeat(&beat(1), at(1)), err(eq(&Rejection::Late)));
    let mut foreign = beat(2);
    foreign.service = "maps".to_owned();
    let refused = Rejection::OtherService("maps".to_owned());
    expect_that!(agent.heartbeat(&foreign, at(1)), err(eq(&refused)));
    expect_that!(agent.standing(), eq(Standing::Ready));
}

#[gtest]
fn an_ended_run_that_sends_heartbeats_again_lives() {
    let mut agent = agent();
    agent.refused(at(10));
    expect_that!(agent.heartbeat(&beat(2), at(800)), ok(eq(&Beat::Changed)));
    expect_that!(agent.standing(), eq(Standing::Ready));
}

#[gtest]
fn a_shed_opener_goes_to_another_target() {
    let mut agent = agent();
    let verdict = agent.carried(&opener(1), carry(), BALANCER, at(0));
    let Verdict::Deliver { mark, .. } = verdict else {
        panic!("not delivered: {verdict:?}");
    };
    let bounced = agent.outbound(&opener(1), Some(mark), at(1));
    let Outbound::Return { returned, .. } = bounced else {
        panic!("not returned: {bounced:?}");
    };
    expect_that!(returned.reason, eq(Reason::Shed));
    expect_that!(agent.load(at(1)).busy, eq(0));
}

#[gtest]
fn a_bounce_without_its_mark_is_dropped() {
    let mut agent = agent();
    expect_that!(
        agent.outbound(&opener(1), Some(99), at(1)),
        eq(&Outbound::Drop)
    );
}

#[gtest]
fn a_backend_server_that_leaves_packets_unanswered_is_probed() {
    let mut agent = agent();
    agent.carried(&opener(1), carry(), BALANCER, at(0));
    expect_that!(agent.tick(at(100)), not(contains(eq(&Action::Probe))));
    expect_that!(agent.tick(at(600)), contains(eq(&Action::Probe)));
    expect_that!(agent.tick(at(700)), not(contains(eq(&Action::Probe))));
    agent.outbound(&accepted(1), None, at(800));
    expect_that!(agent.tick(at(1_700)), not(contains(eq(&Action::Probe))));
}

#[gtest]
fn a_flow_that_its_backend_server_no_longer_holds_has_ended() {
    let mut agent = agent();
    open(&mut agent, 1, at(0));
    let verdict = agent.carried(&request(1, 1), carry(), BALANCER, at(200));
    let Verdict::Deliver { mark, .. } = verdict else {
        panic!("not delivered: {verdict:?}");
    };
    let bounced = agent.outbound(&request(1, 1), Some(mark), at(200));
    let Outbound::Return { returned, .. } = bounced else {
        panic!("not returned: {bounced:?}");
    };
    expect_that!(returned.reason, eq(Reason::Ended));
    // And so it is for the packets that follow.
    let verdict = agent.carried(&request(1, 1), carry(), BALANCER, at(600));
    expect_that!(reason(&verdict), some(eq(Reason::Ended)));
}

#[gtest]
fn a_backend_server_that_bounces_everything_is_spared_and_probed() {
    let mut agent = agent();
    for port in 1..=3 {
        let verdict = agent.carried(&opener(port), carry(), BALANCER, at(u64::from(port)));
        let Verdict::Deliver { mark, .. } = verdict else {
            panic!("not delivered: {verdict:?}");
        };
        agent.outbound(&opener(port), Some(mark), at(u64::from(port)));
    }
    let verdict = agent.carried(&opener(4), carry(), BALANCER, at(10));
    expect_that!(reason(&verdict), some(eq(Reason::Shed)));
    expect_that!(agent.tick(at(50)), contains(eq(&Action::Probe)));
    // It is tried again after a while, and one answer ends the pause.
    let verdict = agent.carried(&opener(5), carry(), BALANCER, at(300));
    expect_that!(is_delivered(&verdict), eq(true));
    agent.outbound(&accepted(5), None, at(301));
    let verdict = agent.carried(&opener(6), carry(), BALANCER, at(302));
    expect_that!(is_delivered(&verdict), eq(true));
}
