//! Admission of packets by an agent, and its announcements to balancers.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod fixture;

use std::time::Duration;

use fixture::{
    BACKEND, BACKEND_ISN, BALANCER, SERVICE, agent, agent_without_heartbeat, at_ms, balancer_hello,
    header, heartbeat, heartbeat_after_serving, is_delivered, next_announcement, open_with_request,
    queueing_header, request, response, return_reason, start_backend, syn, syn_ack,
};
use googletest::prelude::*;
use lavenderseam_core::catalog::Revision;
use lavenderseam_passthrough::agent::{
    Action, Agent, Departure, Deregistration, Identity, OutboundVerdict, RequestOutcome, Settings,
    Verdict,
};
use lavenderseam_passthrough::message::{Reason, ServiceId, TargetState};
use lavenderseam_passthrough::segment::{Flags, Segment};

#[gtest]
fn retransmitted_request_after_its_response_is_not_counted() {
    let mut agent = agent();
    open_with_request(&mut agent, 1, at_ms(0));
    expect_that!(agent.target_load(at_ms(1)).busy_slots, eq(1));
    let answered = agent.on_backend_packet(&response(1), None, at_ms(300));
    let reply = Some(RequestOutcome::Answered(Duration::from_millis(300)));
    expect_that!(
        answered,
        eq(&OutboundVerdict::SendToCaller {
            outcome: reply,
            confirmation: None
        })
    );
    expect_that!(agent.target_load(at_ms(300)).busy_slots, eq(0));
    // This retransmission was in flight when the response arrived.
    agent.on_forwarded_packet(&request(1, 1), header(), BALANCER, at_ms(301));
    expect_that!(agent.target_load(at_ms(301)).busy_slots, eq(0));
    // A further request on the same flow counts again.
    agent.on_forwarded_packet(&request(1, 901), header(), BALANCER, at_ms(400));
    expect_that!(agent.target_load(at_ms(400)).busy_slots, eq(1));
}

#[gtest]
fn new_flow_without_request_counts_until_timeout() {
    let mut agent = agent();
    agent.on_forwarded_packet(&syn(1), header(), BALANCER, at_ms(0));
    expect_that!(agent.target_load(at_ms(1)).busy_slots, eq(1));
    agent.tick(at_ms(400));
    expect_that!(agent.target_load(at_ms(400)).busy_slots, eq(0));
}

#[gtest]
fn syns_queue_only_on_request_and_up_to_limit() {
    let mut agent = agent();
    for port in 1..=2 {
        open_with_request(&mut agent, port, at_ms(0));
    }
    let verdict = agent.on_forwarded_packet(&syn(3), header(), BALANCER, at_ms(1));
    expect_that!(return_reason(&verdict), some(eq(Reason::Busy)));
    for port in 3..=6 {
        open_with_request(&mut agent, port, at_ms(1));
    }
    let verdict = agent.on_forwarded_packet(&syn(7), queueing_header(), BALANCER, at_ms(1));
    expect_that!(return_reason(&verdict), some(eq(Reason::Busy)));
}

#[gtest]
fn segment_acknowledging_another_target_is_returned() {
    let mut agent = agent();
    agent.on_forwarded_packet(&syn(1), header(), BALANCER, at_ms(0));
    agent.on_backend_packet(&syn_ack(1), None, at_ms(0));
    let mut other = request(1, 1);
    other.acknowledgment = BACKEND_ISN.wrapping_add(1 << 30);
    let verdict = agent.on_forwarded_packet(&other, header(), BALANCER, at_ms(2));
    expect_that!(return_reason(&verdict), some(eq(Reason::NotHeld)));
    // A segment with the matching acknowledgment number establishes the flow here.
    let verdict = agent.on_forwarded_packet(&request(1, 1), header(), BALANCER, at_ms(3));
    expect_that!(is_delivered(&verdict), eq(true));
}

#[gtest]
fn draining_backend_keeps_open_flows_and_rejects_new_ones() {
    let mut agent = agent();
    open_with_request(&mut agent, 1, at_ms(0));
    let mut draining = heartbeat_after_serving(1);
    draining.draining = true;
    agent.on_heartbeat(&draining, at_ms(100)).unwrap();
    let verdict = agent.on_forwarded_packet(&syn(2), header(), BALANCER, at_ms(101));
    expect_that!(return_reason(&verdict), some(eq(Reason::Draining)));
    let verdict = agent.on_forwarded_packet(&request(1, 901), header(), BALANCER, at_ms(101));
    expect_that!(is_delivered(&verdict), eq(true));
    // A retransmission of a SYN that was admitted before belongs to the same flow. It is dropped,
    // since it has no effect on the established flow and no other target should receive it.
    let verdict = agent.on_forwarded_packet(&syn(1), header(), BALANCER, at_ms(102));
    expect_that!(verdict, eq(&Verdict::Drop));
}

#[gtest]
fn syn_for_another_service_is_returned() {
    let mut agent = agent();
    let mut other = header();
    other.service = ServiceId::new("maps");
    let verdict = agent.on_forwarded_packet(&syn(1), other, BALANCER, at_ms(1));
    expect_that!(return_reason(&verdict), some(eq(Reason::OtherService)));
}

#[gtest]
fn syn_ack_from_balancer_is_dropped() {
    let mut agent = agent();
    let verdict = agent.on_forwarded_packet(&syn_ack(1), header(), BALANCER, at_ms(1));
    expect_that!(verdict, eq(&Verdict::Drop));
}

#[gtest]
fn cold_backend_without_rate_limit_is_limited_by_slots_only() {
    let mut agent = agent_without_heartbeat();
    let mut cold = heartbeat(1);
    cold.cold_remaining = Duration::from_secs(2);
    start_backend(&mut agent, &cold, at_ms(0)).unwrap();
    for port in 1..=40 {
        let now = at_ms(u64::from(port));
        open_with_request(&mut agent, port, now);
        agent.on_backend_packet(&response(port), None, now);
    }
    expect_that!(
        agent.target_load(at_ms(50)).cold_flows_left,
        some(eq(u16::MAX))
    );
}

#[gtest]
fn cold_backend_of_unknown_service_uses_default_rate_limit() {
    let mut agent = Agent::new(Identity {
        service: SERVICE.to_owned(),
        domain: "a".to_owned(),
        backend_address: BACKEND,
        run_id: 1,
    });
    agent.on_connection_refused(at_ms(0));
    let mut cold = heartbeat(1);
    cold.cold_remaining = Duration::from_secs(2);
    start_backend(&mut agent, &cold, at_ms(0)).unwrap();
    for port in 1..=5 {
        let now = at_ms(u64::from(port));
        open_with_request(&mut agent, port, now);
        agent.on_backend_packet(&response(port), None, now);
    }
    let verdict = agent.on_forwarded_packet(&syn(6), queueing_header(), BALANCER, at_ms(10));
    expect_that!(return_reason(&verdict), some(eq(Reason::Cold)));
    let verdict = agent.on_forwarded_packet(&syn(7), queueing_header(), BALANCER, at_ms(1_010));
    expect_that!(is_delivered(&verdict), eq(true));
}

#[gtest]
fn domain_out_of_service_rejects_syns_from_all_balancers() {
    let mut agent = agent();
    let mut hello = balancer_hello();
    hello.out_domains_revision = Revision(9);
    hello.domain_out = true;
    agent.on_balancer_hello(&hello, BALANCER, at_ms(1));
    // This reply comes from a balancer that still has an older revision.
    agent.on_balancer_hello(&balancer_hello(), BALANCER, at_ms(2));
    let verdict = agent.on_forwarded_packet(&syn(1), header(), BALANCER, at_ms(3));
    expect_that!(return_reason(&verdict), some(eq(Reason::DomainOut)));
}

#[gtest]
fn announcement_reports_whether_balancer_is_heard() {
    let mut agent = agent();
    expect_that!(
        next_announcement(&mut agent, at_ms(400)).hears_recipient,
        eq(true)
    );
    expect_that!(
        next_announcement(&mut agent, at_ms(2_000)).hears_recipient,
        eq(false)
    );
    agent.on_balancer_hello(&balancer_hello(), BALANCER, at_ms(2_100));
    // The next announcement is sent at once, not after the usual interval.
    expect_that!(
        next_announcement(&mut agent, at_ms(2_101)).hears_recipient,
        eq(true)
    );
}

#[gtest]
fn agent_without_balancers_looks_them_up() {
    let mut agent = agent();
    expect_that!(
        agent.tick(at_ms(500)),
        not(contains(eq(&Action::LookUpBalancers)))
    );
    expect_that!(
        agent.tick(at_ms(1_600)),
        contains(eq(&Action::LookUpBalancers))
    );
    expect_that!(
        agent.tick(at_ms(1_700)),
        not(contains(eq(&Action::LookUpBalancers)))
    );
}

#[gtest]
fn fin_reordered_before_response_does_not_abort_request() {
    let mut agent = agent();
    open_with_request(&mut agent, 1, at_ms(0));
    let fin = Segment {
        flags: Flags {
            ack: true,
            fin: true,
            ..Flags::default()
        },
        sequence: BACKEND_ISN + 1_489,
        payload_length: 0,
        ..response(1)
    };
    let reordered = agent.on_backend_packet(&fin, None, at_ms(20));
    expect_that!(
        reordered,
        eq(&OutboundVerdict::SendToCaller {
            outcome: None,
            confirmation: None
        })
    );
    expect_that!(agent.target_load(at_ms(20)).busy_slots, eq(1));
    let answered = agent.on_backend_packet(&response(1), None, at_ms(20));
    let reply = Some(RequestOutcome::Answered(Duration::from_millis(20)));
    expect_that!(
        answered,
        eq(&OutboundVerdict::SendToCaller {
            outcome: reply,
            confirmation: None
        })
    );
}

#[gtest]
fn aborted_request_keeps_its_slot_reserved() {
    let mut agent = agent();
    open_with_request(&mut agent, 1, at_ms(0));
    let reset = Segment {
        flags: Flags {
            rst: true,
            ..Flags::default()
        },
        payload_length: 0,
        ..response(1)
    };
    let aborted = agent.on_backend_packet(&reset, None, at_ms(5));
    let reply = Some(RequestOutcome::Aborted(Duration::from_millis(5)));
    expect_that!(
        aborted,
        eq(&OutboundVerdict::SendToCaller {
            outcome: reply,
            confirmation: None
        })
    );
    expect_that!(agent.target_load(at_ms(100)).busy_slots, eq(1));
    expect_that!(agent.target_load(at_ms(300)).busy_slots, eq(0));
}

/// Balancers that start know only registered agents, so that an agent serves no flow before it is
/// registered, unless the store doesn't answer.
#[gtest]
fn agent_admits_no_flow_before_it_is_registered() {
    let identity = Identity {
        service: SERVICE.to_owned(),
        domain: "a".to_owned(),
        backend_address: BACKEND,
        run_id: 1,
    };
    let settings = Settings {
        registration_timeout: Duration::from_millis(300),
        ..Settings::default()
    };
    let mut agent = Agent::with_settings(identity, settings);
    agent.on_balancer_hello(&balancer_hello(), BALANCER, at_ms(0));
    agent.tick(at_ms(0));
    expect_that!(agent.needs_registration(), eq(false));
    // The backend server starts some time after the agent.
    start_backend(&mut agent, &heartbeat(1), at_ms(2_000)).unwrap();
    expect_that!(agent.needs_registration(), eq(true));
    let refused = agent.on_forwarded_packet(&syn(1), header(), BALANCER, at_ms(2_010));
    expect_that!(return_reason(&refused), some(eq(Reason::Unready)));
    let mut without_store = agent.clone();
    let late = without_store.on_forwarded_packet(&syn(1), header(), BALANCER, at_ms(2_300));
    expect_that!(is_delivered(&late), eq(true));
    agent.replace_registered(true);
    expect_that!(agent.needs_registration(), eq(false));
    let admitted = agent.on_forwarded_packet(&syn(2), header(), BALANCER, at_ms(2_020));
    expect_that!(is_delivered(&admitted), eq(true));
}

#[gtest]
fn agent_is_deregistered_once_its_backend_server_has_departed() {
    let mut agent = agent();
    agent.replace_registered(true);
    expect_that!(agent.needs_deregistration(), eq(false));
    agent.on_connection_refused(at_ms(10));
    // The backend server has crashed and may return.
    expect_that!(agent.needs_deregistration(), eq(false));
    let mut draining = heartbeat_after_serving(1);
    draining.draining = true;
    agent.on_heartbeat(&draining, at_ms(20)).unwrap();
    let departure = agent.on_deregistration(&deregistration(None));
    expect_that!(departure, eq(Departure::Accepted));
    expect_that!(agent.needs_deregistration(), eq(true));
    // A heartbeat that was sent before shows that it still runs.
    agent
        .on_heartbeat(&heartbeat_after_serving(2), at_ms(40))
        .unwrap();
    agent.on_connection_refused(at_ms(50));
    expect_that!(agent.needs_deregistration(), eq(false));
    // One that hasn't announced a drain has departed once its port is closed.
    let mut agent = fixture::agent();
    agent.replace_registered(true);
    let departure = agent.on_deregistration(&deregistration(Some(1_000)));
    expect_that!(departure, eq(Departure::Unexpected));
    expect_that!(agent.needs_deregistration(), eq(false));
    expect_that!(agent.target_state(), eq(TargetState::Ready));
    expect_that!(agent.tick(at_ms(60)), contains(eq(&Action::ProbeBackend)));
    expect_that!(agent.on_connection_refused(at_ms(61)), eq(true));
    expect_that!(agent.needs_deregistration(), eq(true));
}

/// Guards against open flows that are reset by the notice of an earlier run under the same identifier, which
/// was held up, or by that of another writer.
#[gtest]
fn a_deregistration_ends_no_flow_before_the_port_is_closed() {
    for (started_at_ms, drains, departure) in [
        (Some(10), true, Departure::OtherRun),
        (Some(10), false, Departure::OtherRun),
        (None, false, Departure::Unexpected),
        (None, true, Departure::Accepted),
        (Some(1_000), true, Departure::Accepted),
    ] {
        let mut agent = agent();
        open_with_request(&mut agent, 1, at_ms(5));
        let mut last = heartbeat_after_serving(1);
        last.draining = drains;
        agent.on_heartbeat(&last, at_ms(10)).unwrap();
        let notice = deregistration(started_at_ms);
        expect_that!(agent.on_deregistration(&notice), eq(departure));
        let verdict = agent.on_forwarded_packet(&request(1, 901), header(), BALANCER, at_ms(11));
        expect_that!(is_delivered(&verdict), eq(true));
        let verdict = agent.on_forwarded_packet(&syn(2), header(), BALANCER, at_ms(12));
        expect_that!(is_delivered(&verdict), eq(!drains));
        // The end is seen by the port.
        let is_expected = departure != Departure::OtherRun;
        let probes = agent.tick(at_ms(20)).contains(&Action::ProbeBackend);
        expect_that!(probes, eq(is_expected));
        expect_that!(agent.on_connection_refused(at_ms(30)), eq(true));
        let verdict = agent.on_forwarded_packet(&request(1, 901), header(), BALANCER, at_ms(31));
        expect_that!(return_reason(&verdict), some(eq(Reason::Ended)));
    }
    // Another id.
    let mut agent = agent();
    let mut notice = deregistration(None);
    notice.id = "b-other".to_owned();
    expect_that!(agent.on_deregistration(&notice), eq(Departure::OtherRun));
    expect_that!(agent.target_state(), eq(TargetState::Ready));
}

/// Guards against requests of a run that has departed which count as pending at the next one, because the port
/// was never found closed between the two.
#[gtest]
fn requests_of_a_departed_run_are_no_work_of_the_next() {
    let mut agent = agent();
    open_with_request(&mut agent, 1, at_ms(5));
    let mut draining = heartbeat_after_serving(1);
    draining.draining = true;
    agent.on_heartbeat(&draining, at_ms(10)).unwrap();
    agent.on_deregistration(&deregistration(None));
    let mut next_run = heartbeat(1);
    next_run.id = "b-2".to_owned();
    start_backend(&mut agent, &next_run, at_ms(300)).unwrap();
    expect_that!(agent.target_state(), eq(TargetState::Ready));
    expect_that!(agent.target_load(at_ms(301)).busy_slots, eq(0));
}

/// Returns the notice of the backend server that it terminates.
fn deregistration(started_at_ms: Option<u64>) -> Deregistration {
    Deregistration {
        id: "b-1".to_owned(),
        started_at_ms,
    }
}

/// Guards against an agent that forgets a flow which is idle for less than the operators allow, and
/// then denies it: their limit may be raised while the flow is open.
#[gtest]
fn a_flow_that_is_idle_for_less_than_its_maximum_age_is_not_denied() {
    let mut agent = agent();
    open_with_request(&mut agent, 1, at_ms(0));
    agent.on_backend_packet(&response(1), None, at_ms(20));
    for second in 1..=55 {
        agent.tick(at_ms(second * 1_000));
    }
    let verdict = agent.on_forwarded_packet(&request(1, 901), header(), BALANCER, at_ms(55_100));
    expect_that!(is_delivered(&verdict), eq(true));
}

/// Guards against a flow that is denied after the maximum age was raised, because the agent had stopped
/// tracking it under the lower one.
#[gtest]
fn flows_that_expired_under_a_lower_maximum_age_are_not_denied_under_a_higher_one() {
    let denial_after = |ages_s: &[u64]| {
        let mut agent = agent();
        agent.set_max_flow_age(Duration::from_secs(20));
        open_with_request(&mut agent, 1, at_ms(0));
        agent.tick(at_ms(20_000));
        for age in ages_s {
            agent.set_max_flow_age(Duration::from_secs(*age));
        }
        let now = at_ms(20_100);
        let verdict = agent.on_forwarded_packet(&request(1, 901), header(), BALANCER, now);
        return_reason(&verdict)
    };
    expect_that!(denial_after(&[]), some(eq(Reason::NotHeld)));
    expect_that!(denial_after(&[20, 10]), some(eq(Reason::NotHeld)));
    expect_that!(denial_after(&[21]), none());
    expect_that!(denial_after(&[10, 60, 20]), none());
}

/// Guards against a change of the maximum age that has no effect on open flows.
#[gtest]
fn the_maximum_age_in_force_decides_when_an_idle_flow_expires() {
    const LOW: Duration = Duration::from_secs(20);
    const HIGH: Duration = Duration::from_secs(60);
    let idle_for = |ages: [Duration; 2], idle_ms: u64| {
        let mut agent = agent();
        agent.set_max_flow_age(ages[0]);
        open_with_request(&mut agent, 1, at_ms(0));
        agent.tick(at_ms(10_000));
        agent.set_max_flow_age(ages[1]);
        let actions = agent.tick(at_ms(idle_ms));
        let verdict =
            agent.on_forwarded_packet(&request(1, 901), header(), BALANCER, at_ms(idle_ms));
        let reported = actions.contains(&Action::FlowsExpired {
            flows: 1,
            max_age: ages[1],
        });
        (return_reason(&verdict), reported)
    };
    let denied = (Some(Reason::NotHeld), true);
    expect_that!(idle_for([HIGH, HIGH], 59_900), eq((None, false)));
    expect_that!(idle_for([HIGH, HIGH], 60_000), eq(denied));
    expect_that!(idle_for([LOW, HIGH], 59_900), eq((None, false)));
    expect_that!(idle_for([HIGH, LOW], 20_000), eq(denied));
}
