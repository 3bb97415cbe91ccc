//! Reaction of an agent when its backend server restarts, bounces packets or stops responding.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod fixture;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use fixture::{
    BALANCER, agent, agent_without_heartbeat, at_ms, balancer_hello, header, hear_twice, heartbeat,
    heartbeat_after_serving, is_delivered, open_with_request, request, response, return_reason,
    start_backend, syn, syn_ack,
};
use googletest::prelude::*;
use lavenderseam_core::time::Instant;
use lavenderseam_passthrough::agent::{
    Action, Agent, Heartbeat, HeartbeatEffect, OutboundVerdict, Rejection,
    SERVING_HEARTBEAT_SEQUENCE, Verdict,
};
use lavenderseam_passthrough::message::{Reason, RunReply, TargetState};

/// The answer of a balancer that knows no earlier run of the agent.
fn no_predecessor() -> RunReply {
    RunReply {
        run: 1,
        has_predecessor: false,
    }
}

#[gtest]
fn restarted_agent_delivers_unknown_flows_to_backend() {
    let mut agent = agent_without_heartbeat();
    // In the first pass no heartbeat has arrived; in the second, one that isn't the first of its
    // run.
    for step in 0..2 {
        let verdict = agent.on_forwarded_packet(&request(1, 1), header(), BALANCER, at_ms(step));
        let Verdict::Deliver { mark, .. } = verdict else {
            panic!("not delivered: {verdict:?}");
        };
        expect_that!(mark, ne(0));
        let bounced = agent.on_backend_packet(&request(1, 1), Some(mark), at_ms(step));
        let OutboundVerdict::Return { balancer, returned } = bounced else {
            panic!("not returned: {bounced:?}");
        };
        expect_that!(balancer, eq(BALANCER));
        expect_that!(returned.reason, eq(Reason::NotHeld));
        agent
            .on_heartbeat(&heartbeat(7 + step), at_ms(step))
            .unwrap();
    }
    // The backend server sends a segment of the flow itself, so the agent tracks the flow from now
    // on.
    agent.on_backend_packet(&response(2), None, at_ms(5));
    let mut requesting_header = header();
    requesting_header.wants_confirmation = true;
    let verdict = agent.on_forwarded_packet(&request(2, 1), requesting_header, BALANCER, at_ms(6));
    expect_that!(
        verdict,
        matches_pattern!(Verdict::Deliver {
            confirmation: some(anything()),
            ..
        })
    );
}

#[gtest]
fn agent_that_saw_backend_start_rejects_unknown_flows() {
    let mut agent = agent();
    let verdict = agent.on_forwarded_packet(&request(1, 1), header(), BALANCER, at_ms(1));
    expect_that!(return_reason(&verdict), some(eq(Reason::NotHeld)));
}

#[gtest]
fn flows_of_terminated_backend_are_returned_as_ended() {
    let mut agent = agent();
    open_with_request(&mut agent, 1, at_ms(0));
    expect_that!(agent.on_connection_refused(at_ms(10)), eq(true));
    expect_that!(agent.target_state(), eq(TargetState::Ended));
    let verdict = agent.on_forwarded_packet(&request(1, 1), header(), BALANCER, at_ms(200));
    expect_that!(return_reason(&verdict), some(eq(Reason::Ended)));
    // A flow that was never held here gets another reason.
    let verdict = agent.on_forwarded_packet(&request(2, 1), header(), BALANCER, at_ms(200));
    expect_that!(return_reason(&verdict), some(eq(Reason::NotHeld)));
}

/// Guards against a probe that is refused while the agent is paused, and ends the flows that the next run of the
/// backend server has accepted since.
#[gtest]
fn an_outdated_probe_ends_no_flow_of_the_next_run() {
    let mut agent = agent();
    let probed_at = at_ms(10);
    open_with_request(&mut agent, 1, at_ms(20));
    expect_that!(agent.on_probe_refused(probed_at, at_ms(30)), eq(false));
    let verdict = agent.on_forwarded_packet(&request(1, 901), header(), BALANCER, at_ms(40));
    expect_that!(is_delivered(&verdict), eq(true));
    // The port is probed again, and only a refusal that is newer than the last packet counts.
    expect_that!(agent.tick(at_ms(50)), contains(eq(&Action::ProbeBackend)));
    expect_that!(
        agent.tick(at_ms(60)),
        not(contains(eq(&Action::ProbeBackend)))
    );
    expect_that!(agent.on_probe_refused(at_ms(50), at_ms(60)), eq(true));
    let verdict = agent.on_forwarded_packet(&request(1, 901), header(), BALANCER, at_ms(70));
    expect_that!(return_reason(&verdict), some(eq(Reason::Ended)));
}

#[gtest]
fn new_backend_run_ends_flows_of_previous_run() {
    let mut agent = agent();
    open_with_request(&mut agent, 1, at_ms(0));
    let mut next_run = heartbeat(1);
    next_run.started_at_ms = 2_000;
    let outcome = start_backend(&mut agent, &next_run, at_ms(2_000));
    expect_that!(
        outcome,
        ok(eq(&HeartbeatEffect::NewRun {
            replaces_running: true,
            all_flows_seen: true,
        }))
    );
    expect_that!(agent.target_load(at_ms(2_001)).busy_slots, eq(0));
    // The new run shows by a bounce that it doesn't hold the flow.
    let verdict = agent.on_forwarded_packet(&request(1, 1), header(), BALANCER, at_ms(2_001));
    let Verdict::Deliver { mark, .. } = verdict else {
        panic!("not delivered: {verdict:?}");
    };
    let bounced = agent.on_backend_packet(&request(1, 1), Some(mark), at_ms(2_002));
    let OutboundVerdict::Return { returned, .. } = bounced else {
        panic!("not returned: {bounced:?}");
    };
    expect_that!(returned.reason, eq(Reason::Ended));
    let verdict = agent.on_forwarded_packet(&request(1, 1), header(), BALANCER, at_ms(2_003));
    expect_that!(return_reason(&verdict), some(eq(Reason::Ended)));
    expect_that!(agent.target_load(at_ms(2_003)).busy_slots, eq(0));
    // A flow that was never held here isn't one of the new run.
    let verdict = agent.on_forwarded_packet(&request(2, 1), header(), BALANCER, at_ms(2_003));
    expect_that!(return_reason(&verdict), some(eq(Reason::NotHeld)));
}

/// Guards against open flows that are reset because the backend server had crashed and was back before the
/// agent noticed: the new run accepts flows before its first heartbeat.
#[gtest]
fn flows_opened_before_the_first_heartbeat_of_a_run_are_not_denied() {
    let mut agent = agent();
    open_with_request(&mut agent, 1, at_ms(100));
    // The backend server is back as another run; these flows are its own.
    open_with_request(&mut agent, 2, at_ms(300));
    agent.on_backend_packet(&response(2), None, at_ms(310));
    agent.on_forwarded_packet(&syn(3), header(), BALANCER, at_ms(320));
    agent.on_backend_packet(&syn_ack(3), None, at_ms(320));
    let mut next_run = heartbeat(1);
    next_run.started_at_ms = 2_000;
    start_backend(&mut agent, &next_run, at_ms(2_000)).unwrap();
    for port in [2, 3] {
        let verdict =
            agent.on_forwarded_packet(&request(port, 901), header(), BALANCER, at_ms(2_001));
        expect_that!(is_delivered(&verdict), eq(true), "{port}");
        agent.on_backend_packet(&response(port), None, at_ms(2_002));
    }
}

/// Guards against a new run that gets no flows because it bounces packets of the flows that the run before
/// it has lost.
#[gtest]
fn bounces_of_flows_lost_with_the_earlier_run_are_no_failures() {
    let mut agent = agent();
    for port in 1..=4 {
        open_with_request(&mut agent, port, at_ms(100));
        agent.on_backend_packet(&response(port), None, at_ms(110));
    }
    let mut next_run = heartbeat(1);
    next_run.started_at_ms = 2_000;
    start_backend(&mut agent, &next_run, at_ms(2_000)).unwrap();
    for port in 1..=4 {
        let verdict =
            agent.on_forwarded_packet(&request(port, 901), header(), BALANCER, at_ms(2_010));
        let Verdict::Deliver { mark, .. } = verdict else {
            panic!("not delivered: {verdict:?}");
        };
        agent.on_backend_packet(&request(port, 901), Some(mark), at_ms(2_011));
    }
    let verdict = agent.on_forwarded_packet(&syn(5), header(), BALANCER, at_ms(2_012));
    expect_that!(is_delivered(&verdict), eq(true));
}

#[gtest]
fn heartbeats_of_earlier_runs_and_other_services_are_rejected() {
    let mut agent = agent();
    let mut earlier_run = heartbeat(9);
    earlier_run.id = "b-0".to_owned();
    earlier_run.started_at_ms = 10;
    // A late heartbeat isn't acknowledged, and the known run goes on.
    let effect = agent.on_heartbeat(&earlier_run, at_ms(1));
    expect_that!(effect, ok(eq(&HeartbeatEffect::Starting { is_new: true })));
    hear_twice(&mut agent, &heartbeat_after_serving(2), at_ms(1)).unwrap();
    expect_that!(agent.target_state(), eq(TargetState::Ready));
    // Heartbeats of a run that was replaced may be late; they aren't acknowledged and change nothing.
    let mut next_run = heartbeat(1);
    next_run.id = "b-2".to_owned();
    start_backend(&mut agent, &next_run, at_ms(2_000)).unwrap();
    for (number, is_new) in [(3, true), (4, false), (5, false)] {
        let effect = agent.on_heartbeat(&heartbeat_after_serving(number), at_ms(2_001));
        expect_that!(effect, ok(eq(&HeartbeatEffect::Starting { is_new })));
        expect_that!(agent.target_state(), eq(TargetState::Ready));
    }
    next_run.sequence = 1;
    expect_that!(
        agent.on_heartbeat(&next_run, at_ms(2_001)),
        err(eq(&Rejection::OutOfOrder(SERVING_HEARTBEAT_SEQUENCE)))
    );
    let mut other_service = heartbeat_after_serving(1);
    other_service.service = "maps".to_owned();
    let rejection = Rejection::OtherService("maps".to_owned());
    expect_that!(
        agent.on_heartbeat(&other_service, at_ms(1)),
        err(eq(&rejection))
    );
    expect_that!(agent.target_state(), eq(TargetState::Ready));
}

/// Guards against heartbeats of another writer that replace the running backend server: each differs from
/// those of the backend server in one value that the agent knows.
#[gtest]
fn heartbeats_of_another_writer_replace_no_run() {
    let named = |number: u64| Heartbeat {
        id: "b-other".to_owned(),
        started_at_ms: 10,
        draining: true,
        ..heartbeat(7 + number)
    };
    let address = "10.9.0.9:8000".parse().unwrap();
    let at_other_address = |number| Heartbeat {
        address,
        ..named(number)
    };
    let in_other_domain = |number| Heartbeat {
        domain: "b".to_owned(),
        ..named(number)
    };
    let of_other_service = |number| Heartbeat {
        service: "maps".to_owned(),
        ..named(number)
    };
    let before_the_first = |_| Heartbeat {
        sequence: 0,
        ..named(1)
    };
    let writers: [(&dyn Fn(u64) -> Heartbeat, Rejection); 4] = [
        (&at_other_address, Rejection::OtherAddress(address)),
        (&in_other_domain, Rejection::OtherDomain("b".to_owned())),
        (
            &of_other_service,
            Rejection::OtherService("maps".to_owned()),
        ),
        (&before_the_first, Rejection::ImplausibleSequence(0)),
    ];
    for (heartbeat_of_writer, rejection) in writers {
        let mut agents = [agent_without_heartbeat(), agent()];
        for agent in &mut agents {
            let state = agent.target_state();
            for number in 1..=20 {
                let heartbeat = heartbeat_of_writer(number);
                let outcome = agent.on_heartbeat(&heartbeat, at_ms(10 + 50 * number));
                expect_that!(outcome, err(eq(&rejection)));
                expect_that!(agent.target_state(), eq(state));
            }
            // The backend server is heard as before.
            hear_twice(
                agent,
                &heartbeat(SERVING_HEARTBEAT_SEQUENCE + 2),
                at_ms(1_100),
            )
            .unwrap();
            expect_that!(agent.target_state(), eq(TargetState::Ready));
        }
    }
}

/// Returns a heartbeat of a writer that passes for a backend server, with an id of its own.
fn heartbeat_of_other_writer(sequence: u64) -> Heartbeat {
    Heartbeat {
        id: "b-other".to_owned(),
        started_at_ms: 10,
        draining: true,
        ..heartbeat(sequence)
    }
}

/// Returns whether the agent lets a new flow through to the backend server.
fn admits(agent: &Agent, now: Instant) -> bool {
    let verdict = agent
        .clone()
        .on_forwarded_packet(&syn(99), header(), BALANCER, now);
    is_delivered(&verdict)
}

/// Guards against a running backend server that another writer replaces, though it sends heartbeats as well.
#[gtest]
fn a_run_that_is_heard_is_not_replaced() {
    // Numbers of the other writer, and whether they may be those of a run that starts.
    for (first, may_be_starting) in [(8, false), (1, true)] {
        let mut agent = agent();
        open_with_request(&mut agent, 1, at_ms(10));
        agent
            .on_heartbeat(&heartbeat_after_serving(1), at_ms(770))
            .unwrap();
        for number in 0..8 {
            let now = at_ms(800 + 50 * number);
            let effect = agent.on_heartbeat(&heartbeat_of_other_writer(first + number), now);
            let is_new = number == 0;
            expect_that!(effect, ok(eq(&HeartbeatEffect::Starting { is_new })));
            expect_that!(admits(&agent, now), eq(!may_be_starting));
        }
        let effect = hear_twice(&mut agent, &heartbeat_after_serving(3), at_ms(1_540));
        expect_that!(effect, ok(anything()));
        expect_that!(agent.target_state(), eq(TargetState::Ready));
        expect_that!(admits(&agent, at_ms(1_541)), eq(true));
        let verdict = agent.on_forwarded_packet(&request(1, 901), header(), BALANCER, at_ms(1_542));
        expect_that!(is_delivered(&verdict), eq(true));
    }
}

/// Sends the heartbeats of the running backend server, every 50 ms, until one is acknowledged; returns the
/// time of that and its number.
fn hear_until_acknowledged(agent: &mut Agent, first: u64, from_ms: u64) -> (u64, u64) {
    for number in 0..200 {
        let now_ms = from_ms + 50 * number;
        let effect = agent.on_heartbeat(&heartbeat(first + number), at_ms(now_ms));
        if effect.is_ok_and(|effect| !matches!(effect, HeartbeatEffect::Starting { .. })) {
            return (now_ms, first + number);
        }
    }
    panic!("the running backend server is locked out");
}

/// Guards against a backend server that is locked out because the first heartbeats which its agent received
/// after a restart were late ones, or came from another writer.
#[gtest]
fn a_run_that_was_taken_for_replaced_comes_back() {
    let mut agent = agent_without_heartbeat();
    hear_twice(&mut agent, &heartbeat_of_other_writer(9), at_ms(0)).unwrap();
    expect_that!(agent.target_state(), eq(TargetState::Draining));
    agent.on_backend_packet(&response(1), None, at_ms(5));
    let (known_at, _) = hear_until_acknowledged(&mut agent, 57, 100);
    expect_that!(known_at, le(300));
    expect_that!(agent.target_state(), eq(TargetState::Ready));
    expect_that!(admits(&agent, at_ms(known_at)), eq(true));
    for port in [1, 2] {
        let verdict =
            agent.on_forwarded_packet(&request(port, 901), header(), BALANCER, at_ms(known_at));
        expect_that!(is_delivered(&verdict), eq(true), "{port}");
    }
    // It can leave.
    let (_, last) = hear_until_acknowledged(&mut agent, 200, known_at + 770);
    let mut draining = heartbeat(last + 1);
    draining.draining = true;
    let effect = agent.on_heartbeat(&draining, at_ms(known_at + 1_540));
    expect_that!(effect, ok(eq(&HeartbeatEffect::StateChanged)));
}

/// Guards against a backend server that is locked out for as long as another writer sends heartbeats.
#[gtest]
fn a_run_beside_a_writer_that_goes_on_is_not_locked_out() {
    let mut agent = agent_without_heartbeat();
    hear_twice(&mut agent, &heartbeat_of_other_writer(9), at_ms(0)).unwrap();
    let mut acknowledged_at = None;
    for step in 1..=40 {
        let now = at_ms(50 * step);
        if step % 15 == 0 {
            let heartbeat = heartbeat_of_other_writer(9 + step / 15);
            agent.on_heartbeat(&heartbeat, now).unwrap();
        }
        let effect = agent.on_heartbeat(&heartbeat(56 + step), now).unwrap();
        if !matches!(effect, HeartbeatEffect::Starting { .. }) {
            acknowledged_at = acknowledged_at.or(Some(step));
        }
    }
    expect_that!(acknowledged_at, some(le(4)));
    expect_that!(agent.target_state(), eq(TargetState::Ready));
}

/// Guards against a backend server whose heartbeats never count as two in a row, because others arrive
/// between them.
#[gtest]
fn heartbeats_of_other_writers_do_not_interrupt_a_row() {
    let mut agent = agent_without_heartbeat();
    let other = |number: u64, started_at_ms| Heartbeat {
        started_at_ms,
        ..heartbeat_of_other_writer(number)
    };
    agent.on_heartbeat(&heartbeat(57), at_ms(0)).unwrap();
    for start in 1..=3 {
        agent.on_heartbeat(&other(9, start), at_ms(10)).unwrap();
    }
    // One under the identity of the backend server.
    agent.on_heartbeat(&heartbeat(900), at_ms(20)).unwrap();
    expect_that!(agent.target_state(), eq(TargetState::Unknown));
    agent.on_heartbeat(&heartbeat(58), at_ms(50)).unwrap();
    expect_that!(agent.target_state(), eq(TargetState::Ready));
}

/// Guards against an agent that admits no flows while the store is away, because heartbeats of other writers
/// let it wait for its registration again and again.
#[gtest]
fn heartbeats_of_other_writers_do_not_prolong_the_wait_for_the_registration() {
    let mut agent = agent();
    agent.replace_registered(false);
    for number in 0..20 {
        let now = at_ms(20 * number);
        let other = Heartbeat {
            started_at_ms: 100 + number,
            ..heartbeat_of_other_writer(9)
        };
        agent.on_heartbeat(&other, now).unwrap();
        expect_that!(admits(&agent, now), eq(true));
    }
}

/// Guards against heartbeats of another writer under the identity of the running backend server, whose numbers
/// let all that follow look late: it couldn't drain any more.
#[gtest]
fn a_far_higher_sequence_number_locks_no_run_out() {
    // The next numbers, near and far ones; a single heartbeat, and several in a row.
    for (distance, count) in [(0, 1), (0, 6), (10, 1), (10, 6), (900, 1), (900, 6)] {
        let mut agent = agent();
        open_with_request(&mut agent, 1, at_ms(10));
        for number in 0..count {
            let mut other = heartbeat_after_serving(1 + distance + number);
            other.draining = true;
            let outcome = agent.on_heartbeat(&other, at_ms(20 + number));
            // The fifth is one more than the agent has heard of the run.
            let is_plausible = distance == 0 || number >= SERVING_HEARTBEAT_SEQUENCE;
            expect_that!(outcome.is_ok(), eq(is_plausible), "{distance}, {number}");
        }
        let (known_at, last) =
            hear_until_acknowledged(&mut agent, SERVING_HEARTBEAT_SEQUENCE + 1, 770);
        expect_that!(known_at, le(770 + 3 * 50), "{distance}, {count}");
        expect_that!(agent.target_state(), eq(TargetState::Ready));
        let verdict =
            agent.on_forwarded_packet(&request(1, 901), header(), BALANCER, at_ms(known_at));
        expect_that!(is_delivered(&verdict), eq(true));
        let mut draining = heartbeat(last + 1);
        draining.draining = true;
        let effect = agent.on_heartbeat(&draining, at_ms(known_at + 770));
        expect_that!(effect, ok(eq(&HeartbeatEffect::StateChanged)));
    }
}

/// Guards against late heartbeats of a run that let a draining backend server look ready again.
#[gtest]
fn late_heartbeats_of_a_run_change_nothing() {
    let mut agent = agent();
    let mut draining = heartbeat_after_serving(4);
    draining.draining = true;
    agent.on_heartbeat(&draining, at_ms(770)).unwrap();
    for number in 1..=3 {
        let outcome = agent.on_heartbeat(&heartbeat_after_serving(number), at_ms(5_000));
        let last = SERVING_HEARTBEAT_SEQUENCE + 4;
        expect_that!(outcome, err(eq(&Rejection::OutOfOrder(last))));
        expect_that!(agent.target_state(), eq(TargetState::Draining));
    }
}

/// Guards against a heartbeat of another writer whose number lets all further heartbeats look stale.
#[gtest]
fn an_implausible_sequence_number_is_rejected() {
    let mut agent = agent();
    let odd = 1 << 53;
    expect_that!(
        agent.on_heartbeat(&heartbeat(odd), at_ms(1)),
        err(eq(&Rejection::ImplausibleSequence(odd)))
    );
    let next = heartbeat_after_serving(1);
    expect_that!(agent.on_heartbeat(&next, at_ms(2)), ok(anything()));
    let mut agent = agent_without_heartbeat();
    expect_that!(
        agent.on_heartbeat(&heartbeat(odd), at_ms(1)),
        err(anything())
    );
    expect_that!(agent.target_state(), eq(TargetState::Unknown));
}

#[gtest]
fn heartbeat_revives_run_considered_terminated() {
    let mut agent = agent();
    agent.on_connection_refused(at_ms(10));
    expect_that!(
        agent.on_heartbeat(&heartbeat_after_serving(1), at_ms(800)),
        ok(eq(&HeartbeatEffect::Resumed))
    );
    expect_that!(agent.target_state(), eq(TargetState::Ready));
}

/// The evidence that a backend server has exited may be wrong, such as a late error of a socket. Its
/// flows are still open then, so that the agent may neither deny them nor report them as ended.
#[gtest]
fn a_revived_run_may_hold_the_flows_that_it_held_before() {
    let mut agent = agent();
    open_with_request(&mut agent, 1, at_ms(5));
    agent.on_connection_refused(at_ms(10));
    agent
        .on_heartbeat(&heartbeat_after_serving(1), at_ms(800))
        .unwrap();
    let verdict = agent.on_forwarded_packet(&request(1, 901), header(), BALANCER, at_ms(810));
    expect_that!(is_delivered(&verdict), eq(true));
}

#[gtest]
fn bounced_syn_is_returned_to_balancer() {
    let mut agent = agent();
    let verdict = agent.on_forwarded_packet(&syn(1), header(), BALANCER, at_ms(0));
    let Verdict::Deliver { mark, .. } = verdict else {
        panic!("not delivered: {verdict:?}");
    };
    let bounced = agent.on_backend_packet(&syn(1), Some(mark), at_ms(1));
    let OutboundVerdict::Return { returned, .. } = bounced else {
        panic!("not returned: {bounced:?}");
    };
    expect_that!(returned.reason, eq(Reason::Shed));
    expect_that!(agent.target_load(at_ms(1)).busy_slots, eq(0));
}

#[gtest]
fn bounce_with_unknown_mark_is_dropped() {
    let mut agent = agent();
    expect_that!(
        agent.on_backend_packet(&syn(1), Some(99), at_ms(1)),
        eq(&OutboundVerdict::Drop)
    );
}

#[gtest]
fn unresponsive_backend_is_probed() {
    let mut agent = agent();
    agent.on_forwarded_packet(&syn(1), header(), BALANCER, at_ms(0));
    expect_that!(
        agent.tick(at_ms(100)),
        not(contains(eq(&Action::ProbeBackend)))
    );
    expect_that!(agent.tick(at_ms(600)), contains(eq(&Action::ProbeBackend)));
    expect_that!(
        agent.tick(at_ms(700)),
        not(contains(eq(&Action::ProbeBackend)))
    );
    agent.on_backend_packet(&syn_ack(1), None, at_ms(800));
    expect_that!(
        agent.tick(at_ms(1_700)),
        not(contains(eq(&Action::ProbeBackend)))
    );
}

/// Guards against an agent that restarts beside a running backend server and denies its open flows,
/// because a clock that was set back lets the backend server look new.
#[gtest]
fn agent_denies_flows_only_if_it_has_heard_the_run_before_its_serving_heartbeat() {
    let denies = |first_heard: u64| {
        let mut agent = agent_without_heartbeat();
        agent.on_run_reply(no_predecessor(), BALANCER, at_ms(0));
        for sequence in first_heard..=SERVING_HEARTBEAT_SEQUENCE.max(first_heard + 1) {
            agent.on_heartbeat(&heartbeat(sequence), at_ms(0)).unwrap();
        }
        expect_that!(agent.target_state(), eq(TargetState::Ready));
        let verdict = agent.on_forwarded_packet(&request(1, 1), header(), BALANCER, at_ms(1));
        return_reason(&verdict) == Some(Reason::NotHeld)
    };
    for early in 2..SERVING_HEARTBEAT_SEQUENCE {
        expect_that!(denies(early), eq(true), "{early}");
    }
    expect_that!(denies(1), eq(false));
    expect_that!(denies(SERVING_HEARTBEAT_SEQUENCE), eq(false));
    expect_that!(denies(57), eq(false));
}

/// Guards against an agent that restarts beside a run which has sent its first heartbeat, and denies the flows
/// that the agent before it let through in the belief that the run before was still running. Only the
/// balancers can tell that there was no such agent.
#[gtest]
fn an_agent_denies_flows_of_a_run_that_it_heard_early_only_if_no_agent_was_known_before_it() {
    let other_balancer = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 9), 7_000);
    let known = RunReply {
        has_predecessor: true,
        ..no_predecessor()
    };
    let denies = |agent: &Agent, ms| {
        let mut agent = agent.clone();
        let verdict = agent.on_forwarded_packet(&request(1, 1), header(), BALANCER, at_ms(ms));
        return_reason(&verdict) == Some(Reason::NotHeld)
    };
    for early in 2..SERVING_HEARTBEAT_SEQUENCE {
        let mut agent = agent_without_heartbeat();
        agent.add_balancer(other_balancer, at_ms(0));
        for sequence in early..=SERVING_HEARTBEAT_SEQUENCE {
            agent.on_heartbeat(&heartbeat(sequence), at_ms(0)).unwrap();
        }
        expect_that!(denies(&agent, 1), eq(false), "no answer");
        let asked: Vec<_> = agent
            .tick(at_ms(10))
            .into_iter()
            .filter_map(|action| match action {
                Action::AskBalancer { to, .. } => Some(to),
                _ => None,
            })
            .collect();
        expect_that!(
            asked,
            unordered_elements_are![eq(&BALANCER), eq(&other_balancer)]
        );
        agent.on_run_reply(no_predecessor(), BALANCER, at_ms(20));
        agent.tick(at_ms(20));
        expect_that!(denies(&agent, 21), eq(false), "one of two answers");
        let mut contradicted = agent.clone();
        contradicted.on_run_reply(known, other_balancer, at_ms(30));
        contradicted.tick(at_ms(30));
        expect_that!(denies(&contradicted, 31), eq(false), "an agent was known");
        let reply_to_another_run = RunReply {
            run: no_predecessor().run + 1,
            ..no_predecessor()
        };
        let mut misled = agent.clone();
        misled.on_run_reply(reply_to_another_run, other_balancer, at_ms(30));
        misled.tick(at_ms(30));
        expect_that!(denies(&misled, 31), eq(false), "an answer to another run");
        let actions = agent.on_run_reply(no_predecessor(), other_balancer, at_ms(30));
        let told = Action::PredecessorKnown {
            has_predecessor: false,
        };
        expect_that!(actions, contains(eq(&told)));
        // The balancers ask about idle flows again, which the agent can deny from now on.
        for to in [BALANCER, other_balancer] {
            expect_that!(actions, contains(eq(&Action::TellFlowsKnown { to })));
        }
        expect_that!(denies(&agent, 31), eq(true), "no agent was known");
        // A balancer that was out of reach knows more.
        agent.on_run_reply(known, other_balancer, at_ms(40));
        agent.tick(at_ms(40));
        expect_that!(
            denies(&agent, 41),
            eq(false),
            "an agent was known after all"
        );
    }
}

/// Guards against backend servers that get no flow for a second after a loss of power of everything, because the
/// balancers tell only after their start that there was no agent before, whose flows would count.
#[gtest]
fn a_cold_backend_server_gets_flows_once_no_agent_is_known_before_its_agent() {
    let mut agent = agent_without_heartbeat();
    for sequence in 2..=SERVING_HEARTBEAT_SEQUENCE {
        let mut cold = heartbeat(sequence);
        cold.cold_remaining = Duration::from_secs(3);
        agent.on_heartbeat(&cold, at_ms(0)).unwrap();
    }
    let mut limits = balancer_hello();
    limits.cold_rate = Some(10.0);
    agent.on_balancer_hello(&limits, BALANCER, at_ms(1));
    let admits = |agent: &Agent, ms| {
        let mut agent = agent.clone();
        is_delivered(&agent.on_forwarded_packet(&syn(1), header(), BALANCER, at_ms(ms)))
    };
    expect_that!(admits(&agent, 10), eq(false));
    let mut known = agent.clone();
    let reply = RunReply {
        has_predecessor: true,
        ..no_predecessor()
    };
    known.on_run_reply(reply, BALANCER, at_ms(20));
    known.tick(at_ms(20));
    expect_that!(admits(&known, 30), eq(false));
    agent.on_run_reply(no_predecessor(), BALANCER, at_ms(20));
    agent.tick(at_ms(20));
    expect_that!(admits(&agent, 30), eq(true));
}

/// A registered balancer need not run. One that never replies is waited for only while it may be starting.
#[gtest]
fn a_balancer_that_does_not_run_is_not_asked_for_ever() {
    let mut agent = agent_without_heartbeat();
    agent.add_balancer(
        SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 9), 7_000),
        at_ms(0),
    );
    agent.on_run_reply(no_predecessor(), BALANCER, at_ms(0));
    for sequence in 2..=SERVING_HEARTBEAT_SEQUENCE {
        agent.on_heartbeat(&heartbeat(sequence), at_ms(0)).unwrap();
    }
    agent.tick(at_ms(1_900));
    expect_that!(agent.has_seen_all_flows(), eq(false));
    agent.tick(at_ms(2_000));
    expect_that!(agent.has_seen_all_flows(), eq(true));
}

/// Guards against an agent that restarts beside a run which hasn't sent a heartbeat yet, and denies the flows
/// that the agent before it let through in the belief that the run before was still running.
#[gtest]
fn flows_let_through_before_the_first_heartbeat_are_not_denied_by_the_next_agent() {
    let heard = |numbers: &[u64]| {
        let mut agent = agent_without_heartbeat();
        for (number, at) in numbers.iter().zip(0..) {
            agent.on_heartbeat(&heartbeat(*number), at_ms(at)).unwrap();
        }
        expect_that!(agent.target_state(), eq(TargetState::Ready));
        let now = at_ms(100);
        let verdict = agent.on_forwarded_packet(&request(1, 1), header(), BALANCER, now);
        is_delivered(&verdict)
    };
    expect_that!(heard(&[1, 2, 3, 4]), eq(true));
    // The second heartbeat is lost.
    expect_that!(heard(&[1, 3, 4]), eq(true));
    let mut agent = agent_without_heartbeat();
    agent.on_connection_refused(at_ms(0));
    start_backend(&mut agent, &heartbeat(1), at_ms(10)).unwrap();
    let verdict = agent.on_forwarded_packet(&request(1, 1), header(), BALANCER, at_ms(100));
    expect_that!(return_reason(&verdict), some(eq(Reason::NotHeld)));
}

/// Guards against flows that an agent lets through before the heartbeat from which the next agent
/// would conclude that there are none.
#[gtest]
fn a_backend_server_gets_no_flow_before_its_serving_heartbeat() {
    let mut agent = agent_without_heartbeat();
    for sequence in 1..SERVING_HEARTBEAT_SEQUENCE {
        let effect = agent.on_heartbeat(&heartbeat(sequence), at_ms(sequence));
        let is_new = sequence == 1;
        expect_that!(effect, ok(eq(&HeartbeatEffect::Starting { is_new })));
        let verdict = agent.on_forwarded_packet(&syn(1), header(), BALANCER, at_ms(sequence));
        expect_that!(return_reason(&verdict), some(eq(Reason::Unready)));
        expect_that!(agent.target_state(), eq(TargetState::Unknown));
        // It may register meanwhile.
        expect_that!(agent.needs_registration(), eq(true));
        // A flow of an earlier run of the agent isn't denied.
        let verdict =
            agent.on_forwarded_packet(&request(1, 1), header(), BALANCER, at_ms(sequence));
        expect_that!(is_delivered(&verdict), eq(true));
        // A heartbeat that arrives again isn't the next one.
        let again = agent.on_heartbeat(&heartbeat(sequence), at_ms(sequence));
        expect_that!(again, err(eq(&Rejection::OutOfOrder(sequence))));
    }
    let serving = heartbeat(SERVING_HEARTBEAT_SEQUENCE);
    agent.on_heartbeat(&serving, at_ms(10)).unwrap();
    let verdict = agent.on_forwarded_packet(&syn(1), header(), BALANCER, at_ms(11));
    expect_that!(is_delivered(&verdict), eq(true));
}

/// Guards against an agent that concludes from a late early heartbeat, and from a later one that arrives
/// in time, that it has seen all flows: an agent before it may have received the ones between.
#[gtest]
fn heartbeats_with_a_gap_prove_nothing() {
    let mut agent = agent_without_heartbeat();
    agent.on_heartbeat(&heartbeat(1), at_ms(0)).unwrap();
    agent.on_heartbeat(&heartbeat(9), at_ms(100)).unwrap();
    expect_that!(agent.target_state(), eq(TargetState::Unknown));
    agent.on_heartbeat(&heartbeat(10), at_ms(150)).unwrap();
    expect_that!(agent.target_state(), eq(TargetState::Ready));
    let verdict = agent.on_forwarded_packet(&request(1, 1), header(), BALANCER, at_ms(151));
    expect_that!(is_delivered(&verdict), eq(true));
}

/// Guards against an agent that lets flows through in the belief that a run is running whose last heartbeat
/// arrived late: the next agent would hear the running one early, and deny these flows.
#[gtest]
fn a_late_heartbeat_of_an_ended_run_lets_no_flow_through() {
    let mut late = heartbeat(90);
    late.id = "b-0".to_owned();
    let mut restarted = agent_without_heartbeat();
    restarted.on_heartbeat(&late, at_ms(0)).unwrap();
    let verdict = restarted.on_forwarded_packet(&syn(1), header(), BALANCER, at_ms(1));
    expect_that!(return_reason(&verdict), some(eq(Reason::Unready)));
    // The agent knows the run that has ended, and has heard the next one.
    let mut agent = agent();
    let mut next_run = heartbeat(1);
    next_run.id = "b-2".to_owned();
    agent.on_heartbeat(&next_run, at_ms(10)).unwrap();
    let late = heartbeat_after_serving(1);
    agent.on_heartbeat(&late, at_ms(20)).unwrap();
    let verdict = agent.on_forwarded_packet(&syn(1), header(), BALANCER, at_ms(21));
    expect_that!(return_reason(&verdict), some(eq(Reason::Unready)));
}

/// Guards against an agent that waits for good for the serving heartbeat of a backend server which has
/// crashed, and announces meanwhile that it may hold flows.
#[gtest]
fn a_backend_server_that_ends_before_its_serving_heartbeat_is_noticed() {
    let mut agent = agent();
    agent.on_connection_refused(at_ms(10));
    let mut next_run = heartbeat(1);
    next_run.id = "b-2".to_owned();
    agent.on_heartbeat(&next_run, at_ms(100)).unwrap();
    expect_that!(agent.target_state(), eq(TargetState::Unknown));
    expect_that!(
        agent.tick(at_ms(1_200)),
        contains(eq(&Action::ProbeBackend))
    );
    expect_that!(agent.on_connection_refused(at_ms(1_201)), eq(true));
    expect_that!(agent.target_state(), eq(TargetState::Ended));
    expect_that!(agent.on_connection_refused(at_ms(1_202)), eq(false));
}

/// Guards against an agent that believes a late first heartbeat of a run that has crashed: it would deny
/// the flows of the running backend server, or report them as ended.
#[gtest]
fn a_late_first_heartbeat_of_a_crashed_run_proves_nothing() {
    let mut late = heartbeat(1);
    late.id = "b-0".to_owned();
    // The clock was set back between the two runs.
    late.started_at_ms = 9_000;
    let is_delivered_after = |agent: &mut Agent| {
        let verdict = agent.on_forwarded_packet(&request(1, 901), header(), BALANCER, at_ms(110));
        is_delivered(&verdict)
    };
    // The agent has restarted, and doesn't know the flows of the running backend server.
    let mut restarted = agent_without_heartbeat();
    restarted.on_heartbeat(&late, at_ms(0)).unwrap();
    expect_that!(is_delivered_after(&mut restarted), eq(true));
    hear_twice(&mut restarted, &heartbeat(57), at_ms(100)).unwrap();
    // Which of the two is late isn't certain before two further heartbeats.
    expect_that!(restarted.target_state(), eq(TargetState::Unknown));
    expect_that!(restarted.is_backend_starting(), eq(true));
    hear_twice(&mut restarted, &heartbeat(59), at_ms(100)).unwrap();
    expect_that!(restarted.target_state(), eq(TargetState::Ready));
    expect_that!(is_delivered_after(&mut restarted), eq(true));
    // The agent knows the running backend server.
    let mut agent = agent();
    open_with_request(&mut agent, 1, at_ms(5));
    agent.on_heartbeat(&late, at_ms(10)).unwrap();
    expect_that!(is_delivered_after(&mut agent), eq(true));
    // A single heartbeat of the known run might be the late one instead.
    let verdict = agent.on_forwarded_packet(&syn(2), header(), BALANCER, at_ms(90));
    expect_that!(return_reason(&verdict), some(eq(Reason::Unready)));
    expect_that!(
        hear_twice(&mut agent, &heartbeat_after_serving(2), at_ms(100)),
        ok(eq(&HeartbeatEffect::StateChanged))
    );
    expect_that!(agent.target_state(), eq(TargetState::Ready));
    expect_that!(is_delivered_after(&mut agent), eq(true));
}

/// Guards against an agent that takes a running backend server for new, and its flows for ended,
/// because a late heartbeat of an earlier run was the first that the agent received.
#[gtest]
fn a_run_behind_a_late_heartbeat_may_hold_flows() {
    let mut agent = agent_without_heartbeat();
    let mut late = heartbeat(9);
    late.id = "b-0".to_owned();
    late.started_at_ms = 10;
    agent.on_heartbeat(&late, at_ms(0)).unwrap();
    agent.on_backend_packet(&response(1), None, at_ms(5));
    expect_that!(
        hear_twice(&mut agent, &heartbeat(57), at_ms(100)),
        ok(eq(&HeartbeatEffect::NewRun {
            replaces_running: false,
            all_flows_seen: false,
        }))
    );
    for port in 1..=2 {
        let verdict = agent.on_forwarded_packet(&request(port, 1), header(), BALANCER, at_ms(110));
        expect_that!(is_delivered(&verdict), eq(true));
    }
    // A further late heartbeat ends no flow.
    late.sequence = 10;
    let effect = agent.on_heartbeat(&late, at_ms(120));
    expect_that!(effect, ok(eq(&HeartbeatEffect::Starting { is_new: false })));
    for port in 1..=2 {
        let verdict = agent.on_forwarded_packet(&request(port, 1), header(), BALANCER, at_ms(121));
        expect_that!(is_delivered(&verdict), eq(true));
    }
    hear_twice(&mut agent, &heartbeat(59), at_ms(130)).unwrap();
    expect_that!(agent.target_state(), eq(TargetState::Ready));
}

/// Guards against a backend server whose heartbeats are rejected for good, because it looks older than
/// its predecessor by a clock that was set back.
#[gtest]
fn a_run_that_looks_older_than_its_predecessor_is_accepted() {
    let mut looks_older = heartbeat(57);
    looks_older.id = "b-2".to_owned();
    looks_older.started_at_ms = 10;
    // The end of the predecessor was seen.
    let mut agent = agent();
    agent.on_connection_refused(at_ms(10));
    let accepted = |replaces_running, all_flows_seen| {
        Ok(HeartbeatEffect::NewRun {
            replaces_running,
            all_flows_seen,
        })
    };
    expect_that!(
        hear_twice(&mut agent, &looks_older, at_ms(20)),
        eq(&accepted(false, true))
    );
    // The end wasn't seen. A single heartbeat is no proof of it, but lets no flow through meanwhile.
    let mut agent = fixture::agent();
    let early = Heartbeat {
        sequence: 2,
        ..looks_older.clone()
    };
    expect_that!(
        agent.on_heartbeat(&early, at_ms(20)),
        ok(eq(&HeartbeatEffect::Starting { is_new: true }))
    );
    let verdict = agent.on_forwarded_packet(&syn(1), header(), BALANCER, at_ms(21));
    expect_that!(return_reason(&verdict), some(eq(Reason::Unready)));
    expect_that!(
        hear_twice(&mut agent, &looks_older, at_ms(2_000)),
        eq(&accepted(true, false))
    );
    // The predecessor isn't taken for another new run.
    expect_that!(
        hear_twice(&mut agent, &heartbeat_after_serving(2), at_ms(2_001)),
        ok(eq(&HeartbeatEffect::Starting { is_new: false }))
    );
    expect_that!(agent.target_state(), eq(TargetState::Ready));
}

/// An agent that was started beside no backend server finds this out by a probe; until then it can't
/// deny flows.
#[gtest]
fn agent_without_backend_server_denies_flows_once_its_port_is_closed() {
    let mut agent = agent_without_heartbeat();
    expect_that!(agent.tick(at_ms(100)), contains(eq(&Action::ProbeBackend)));
    let verdict = agent.on_forwarded_packet(&request(1, 1), header(), BALANCER, at_ms(110));
    expect_that!(is_delivered(&verdict), eq(true));
    expect_that!(agent.on_connection_refused(at_ms(120)), eq(true));
    expect_that!(agent.on_connection_refused(at_ms(121)), eq(false));
    expect_that!(agent.target_state(), eq(TargetState::Ended));
    let verdict = agent.on_forwarded_packet(&request(1, 1), header(), BALANCER, at_ms(130));
    expect_that!(return_reason(&verdict), some(eq(Reason::NotHeld)));
    // The agent sees all flows of a backend server that starts now.
    hear_twice(&mut agent, &heartbeat(4), at_ms(900)).unwrap();
    expect_that!(agent.target_state(), eq(TargetState::Ready));
    let verdict = agent.on_forwarded_packet(&request(1, 1), header(), BALANCER, at_ms(910));
    expect_that!(return_reason(&verdict), some(eq(Reason::NotHeld)));
}

#[gtest]
fn bounced_segment_of_open_flow_ends_the_flow() {
    let mut agent = agent();
    open_with_request(&mut agent, 1, at_ms(0));
    let verdict = agent.on_forwarded_packet(&request(1, 1), header(), BALANCER, at_ms(200));
    let Verdict::Deliver { mark, .. } = verdict else {
        panic!("not delivered: {verdict:?}");
    };
    let bounced = agent.on_backend_packet(&request(1, 1), Some(mark), at_ms(200));
    let OutboundVerdict::Return { returned, .. } = bounced else {
        panic!("not returned: {bounced:?}");
    };
    expect_that!(returned.reason, eq(Reason::Ended));
    // Further packets of the flow get the same reason.
    let verdict = agent.on_forwarded_packet(&request(1, 1), header(), BALANCER, at_ms(600));
    expect_that!(return_reason(&verdict), some(eq(Reason::Ended)));
}

#[gtest]
fn backend_that_bounces_syns_gets_cooldown_and_probe() {
    let mut agent = agent();
    for port in 1..=3 {
        let verdict =
            agent.on_forwarded_packet(&syn(port), header(), BALANCER, at_ms(u64::from(port)));
        let Verdict::Deliver { mark, .. } = verdict else {
            panic!("not delivered: {verdict:?}");
        };
        agent.on_backend_packet(&syn(port), Some(mark), at_ms(u64::from(port)));
    }
    let verdict = agent.on_forwarded_packet(&syn(4), header(), BALANCER, at_ms(10));
    expect_that!(return_reason(&verdict), some(eq(Reason::Shed)));
    expect_that!(agent.tick(at_ms(50)), contains(eq(&Action::ProbeBackend)));
    // New flows are admitted again after the cooldown, and one response clears the signs of
    // failure.
    let verdict = agent.on_forwarded_packet(&syn(5), header(), BALANCER, at_ms(300));
    expect_that!(is_delivered(&verdict), eq(true));
    agent.on_backend_packet(&syn_ack(5), None, at_ms(301));
    let verdict = agent.on_forwarded_packet(&syn(6), header(), BALANCER, at_ms(302));
    expect_that!(is_delivered(&verdict), eq(true));
}

/// Guards against a cold backend server that gets more flows in a second than it can bear, because its
/// agent restarts within that second and forgets those that it had admitted.
#[gtest]
fn a_restarted_agent_admits_no_flow_to_a_cold_backend_within_a_second() {
    let mut cold = heartbeat(7);
    cold.cold_remaining = Duration::from_secs(10);
    let mut hello = balancer_hello();
    hello.cold_rate = Some(20.0);
    let mut agent = agent_without_heartbeat();
    agent.replace_registered(true);
    agent.on_balancer_hello(&hello, BALANCER, at_ms(0));
    hear_twice(&mut agent, &cold, at_ms(100)).unwrap();
    let verdict = agent.on_forwarded_packet(&syn(1), header(), BALANCER, at_ms(1_099));
    expect_that!(return_reason(&verdict), some(eq(Reason::Cold)));
    let verdict = agent.on_forwarded_packet(&syn(1), header(), BALANCER, at_ms(1_100));
    expect_that!(is_delivered(&verdict), eq(true));
    // An agent that has found the port closed has forgotten no flow.
    let mut agent = agent_without_heartbeat();
    agent.on_connection_refused(at_ms(0));
    agent.replace_registered(true);
    agent.on_balancer_hello(&hello, BALANCER, at_ms(0));
    start_backend(&mut agent, &cold, at_ms(100)).unwrap();
    let verdict = agent.on_forwarded_packet(&syn(1), header(), BALANCER, at_ms(101));
    expect_that!(is_delivered(&verdict), eq(true));
}
