//! An agent's decisions, case by case.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_core::catalog::Revision;
use lavenderseam_core::time::Instant;
use lavenderseam_passthrough::agent::{
    Action, Agent, Beat, Heartbeat, Outbound, Place, Rejection, Verdict,
};
use lavenderseam_passthrough::flow::Flow;
use lavenderseam_passthrough::message::{
    Announcement, Carry, Reason, ServiceTag, Standing, Trail, Welcome,
};
use lavenderseam_passthrough::segment::{Flags, Segment};

const SERVICE: &str = "edits";
const BALANCER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 7_000);
const START: u64 = 3_600_000_000;
const NUMBER: u32 = 500;

fn at(milliseconds: u64) -> Instant {
    Instant(START + milliseconds * 1_000)
}

fn flow(port: u16) -> Flow {
    let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port);
    Flow::new(caller, SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443))
}

fn beat(sequence: u64) -> Heartbeat {
    Heartbeat {
        id: "b-1".to_owned(),
        born: Some(1_000),
        sequence,
        service: SERVICE.to_owned(),
        draining: false,
        slots: 2,
        cold: Duration::ZERO,
    }
}

/// An agent that has heard no heartbeat.
fn fresh() -> Agent {
    let mut agent = Agent::new(Place {
        service: SERVICE.to_owned(),
        domain: "a".to_owned(),
        run: 1,
    });
    agent.welcomed(&welcome(), BALANCER, at(0));
    agent
}

fn welcome() -> Welcome {
    Welcome {
        balancers: vec![BALANCER],
        revision: Revision(1),
        known: true,
        outs: Revision(0),
        out: false,
        cold_rate: None,
        connections: Some(100),
    }
}

fn agent() -> Agent {
    let mut agent = fresh();
    agent.heartbeat(&beat(1), at(0)).unwrap();
    agent
}

fn carry() -> Carry {
    Carry {
        service: ServiceTag::new(SERVICE),
        asks: false,
        trail: Trail::default(),
    }
}

fn queueing() -> Carry {
    let mut carry = carry();
    carry.trail.queues = true;
    carry
}

fn opener(port: u16) -> Segment {
    Segment {
        flow: flow(port),
        flags: Flags {
            syn: true,
            ..Flags::default()
        },
        ..Segment::default()
    }
}

fn request(port: u16, sequence: u32) -> Segment {
    Segment {
        flow: flow(port),
        flags: Flags {
            ack: true,
            ..Flags::default()
        },
        sequence,
        acknowledgment: NUMBER + 1,
        length: 900,
    }
}

fn accepted(port: u16) -> Segment {
    Segment {
        flow: flow(port),
        flags: Flags {
            syn: true,
            ack: true,
            ..Flags::default()
        },
        sequence: NUMBER,
        ..Segment::default()
    }
}

fn answer(port: u16) -> Segment {
    Segment {
        flow: flow(port),
        flags: Flags {
            ack: true,
            ..Flags::default()
        },
        sequence: NUMBER + 1,
        acknowledgment: 901,
        length: 600,
    }
}

fn reason(verdict: &Verdict) -> Option<Reason> {
    match verdict {
        Verdict::Return(returned) => Some(returned.reason),
        _ => None,
    }
}

fn is_delivered(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Deliver { .. })
}

/// Opens a flow and has its request waiting.
fn open(agent: &mut Agent, port: u16, now: Instant) {
    let verdict = agent.carried(&opener(port), queueing(), BALANCER, now);
    assert!(is_delivered(&verdict), "{verdict:?}");
    agent.outbound(&accepted(port), None, now);
    let verdict = agent.carried(&request(port, 1), carry(), BALANCER, now);
    assert!(is_delivered(&verdict), "{verdict:?}");
}

fn announcement(agent: &mut Agent, now: Instant) -> Announcement {
    let actions = agent.tick(now);
    let announced = actions.into_iter().find_map(|action| match action {
        Action::Announce { announcement, .. } => Some(announcement),
        _ => None,
    });
    announced.unwrap()
}

#[gtest]
fn a_request_sent_again_after_its_answer_is_no_work() {
    let mut agent = agent();
    open(&mut agent, 1, at(0));
    expect_that!(agent.load(at(1)).busy, eq(1));
    let answered = agent.outbound(&answer(1), None, at(300));
    let waited = Some(Duration::from_millis(300));
    expect_that!(answered, eq(&Outbound::Caller { waited }));
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
