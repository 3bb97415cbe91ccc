//! Open flows that are written to the store, and restored after a loss of power of all machines.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod fixture;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use fixture::pool::{Pool, agent_address};
use fixture::{BACKEND_ISN, BALANCER, at_ms, flow, request};
use googletest::prelude::*;
use lavenderseam_passthrough::balancer::{Action, Checkpoint, StoredFlow, TooManyFlows};
use lavenderseam_passthrough::desired::{RegisteredBalancers, Repeatability};
use lavenderseam_passthrough::message::{
    FlowReport, KnownFlow, RecordVersions, TargetId, TargetState,
};

/// Uptime from which balancers write checkpoints.
const MIN_UPTIME_MS: u64 = 10_000;
const INTERVAL_MS: u64 = 1_000;

fn peer(index: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, index), 7_000)
}

/// Ticks a balancer ten times a second, without gaps that look like a suspended process.
fn tick_until(pool: &mut Pool, from_ms: u64, to_ms: u64) -> Vec<Action> {
    let times = (from_ms..to_ms).step_by(100);
    times.flat_map(|ms| pool.tick(ms)).collect()
}

/// Ticks a balancer like [`tick_until`], beside another one that sends gossip.
fn tick_beside(pool: &mut Pool, other: SocketAddrV4, from_ms: u64, to_ms: u64) -> Vec<Action> {
    let times = (from_ms..to_ms).step_by(500);
    let tick = |from: u64| {
        let gossip = RecordVersions::default();
        pool.balancer.on_gossip(&gossip, other, at_ms(from));
        tick_until(pool, from, (from + 500).min(to_ms))
    };
    times.flat_map(tick).collect()
}

fn checkpoints(actions: &[Action]) -> Vec<Checkpoint> {
    let written = actions.iter().filter_map(|action| match action {
        Action::WriteCheckpoint { checkpoint, .. } => Some(checkpoint.clone()),
        _ => None,
    });
    written.collect()
}

fn reports(actions: &[Action]) -> Vec<(SocketAddrV4, FlowReport)> {
    let reported = actions.iter().filter_map(|action| match action {
        Action::ReportFlows { to, report } => Some((*to, report.clone())),
        _ => None,
    });
    reported.collect()
}

fn stored(port: u16) -> StoredFlow {
    StoredFlow(flow(port), TargetId::new(agent_address(1)), BACKEND_ISN + 1)
}

fn checkpoint_of(balancer: SocketAddrV4, ports: &[u16]) -> Checkpoint {
    let flows = ports.iter().copied().map(stored).collect();
    Checkpoint {
        flows: BTreeMap::from([(balancer, flows)]),
    }
}

/// All machines lose power while callers keep idle flows: no process remembers them.
#[gtest]
fn flows_from_before_a_stop_of_everything_are_reset() {
    let mut pool = Pool::with_flows(&[1, 2]);
    let actions = tick_until(&mut pool, 700, MIN_UPTIME_MS + 2 * INTERVAL_MS);
    let written = checkpoints(&actions);
    let last = written.last().unwrap();

    let mut restarted = Pool::without_targets(BALANCER, Repeatability::AtMostOnce);
    let (restored, questions) = restarted
        .balancer
        .restore_checkpoint(last, at_ms(10))
        .unwrap();
    expect_that!(restored, eq(2));
    expect_that!(questions, is_empty());
    let questions = restarted.announce(1, 2, TargetState::Ready, 100);
    assert_that!(questions.len(), eq(1));
    let (resets, _) = restarted.answer(&questions[0], &[], &[], 105);
    expect_that!(resets, container_eq([flow(1), flow(2)]));
}

/// All processes are killed, and the backend servers run on with their flows.
#[gtest]
fn restored_flows_of_running_backend_servers_are_kept() {
    let mut pool = Pool::without_targets(BALANCER, Repeatability::AtMostOnce);
    pool.balancer
        .restore_checkpoint(&checkpoint_of(BALANCER, &[1]), at_ms(10))
        .unwrap();
    let questions = pool.announce(1, 2, TargetState::Ready, 100);
    let (resets, _) = pool.answer(&questions[0], &[], &[0], 105);
    expect_that!(resets, is_empty());
}

/// Another balancer resets its own flows, so that callers aren't sent many resets.
#[gtest]
fn flows_of_other_balancers_are_not_restored() {
    let mut pool = Pool::without_targets(BALANCER, Repeatability::AtMostOnce);
    let checkpoint = checkpoint_of(peer(9), &[1]);
    let (restored, _) = pool
        .balancer
        .restore_checkpoint(&checkpoint, at_ms(10))
        .unwrap();
    expect_that!(restored, eq(0));
}

/// A caller continues a flow while its balancer still reads the checkpoint.
#[gtest]
fn a_flow_known_since_the_start_is_not_replaced() {
    let mut pool = Pool::with_flows(&[1]);
    let checkpoint = Checkpoint {
        flows: BTreeMap::from([(
            BALANCER,
            vec![StoredFlow(flow(1), TargetId::new(agent_address(2)), 1)],
        )]),
    };
    let (restored, _) = pool
        .balancer
        .restore_checkpoint(&checkpoint, at_ms(800))
        .unwrap();
    expect_that!(restored, eq(0));
}

/// A record names a target that left, or was written by something else.
#[gtest]
fn flows_of_unknown_targets_cause_no_question() {
    let mut pool = Pool::without_targets(BALANCER, Repeatability::AtMostOnce);
    pool.balancer
        .restore_checkpoint(&checkpoint_of(BALANCER, &[1]), at_ms(10))
        .unwrap();
    expect_that!(pool.announce(2, 1, TargetState::Ready, 100).len(), eq(0));
    expect_that!(pool.balancer.poll_searches(at_ms(200)), is_empty());
}

/// Something else has written the record, or a version without a bound.
#[gtest]
fn a_record_with_too_many_flows_is_ignored() {
    let ports: Vec<u16> = (1..=300).collect();
    let mut pool = Pool::without_targets(BALANCER, Repeatability::AtMostOnce);
    let checkpoint = checkpoint_of(BALANCER, &ports);
    let result = pool.balancer.restore_checkpoint(&checkpoint, at_ms(10));
    expect_that!(result, err(eq(&TooManyFlows(300))));
    expect_that!(pool.balancer.cached_flows(), eq(0));
    expect_that!(pool.announce(1, 2, TargetState::Ready, 100).len(), eq(0));
}

/// A balancer that has just started would replace the flows that others haven't read yet.
#[gtest]
fn a_balancer_that_has_just_started_writes_nothing() {
    let mut pool = Pool::with_flows(&[1]);
    let actions = tick_until(&mut pool, 700, MIN_UPTIME_MS - 100);
    expect_that!(checkpoints(&actions), is_empty());
}

/// Calls to the store are dear, and an unchanged record holds the same flows.
#[gtest]
fn unchanged_flows_are_written_once() {
    let mut pool = Pool::with_flows(&[1]);
    let actions = tick_until(&mut pool, 700, MIN_UPTIME_MS + 10 * INTERVAL_MS);
    expect_that!(checkpoints(&actions).len(), eq(1));
}

#[gtest]
fn repeatable_requests_need_no_checkpoint() {
    let mut pool = Pool::without_targets(BALANCER, Repeatability::Repeatable);
    pool.announce(1, 1, TargetState::Ready, 10);
    pool.open(1, 20);
    expect_that!(pool.balancer.keeps_checkpoints(), eq(false));
    let actions = tick_until(&mut pool, 100, MIN_UPTIME_MS + 2 * INTERVAL_MS);
    expect_that!(checkpoints(&actions), is_empty());
    expect_that!(reports(&actions), is_empty());
    let asks = |action: &Action| matches!(action, Action::QueryFlows { .. });
    expect_that!(actions.iter().any(asks), eq(false));
}

/// Callers that open a flow for each request have nothing to lose afterwards.
#[gtest]
fn closed_flows_are_neither_confirmed_nor_reported() {
    let mut pool = Pool::with_flows(&[]);
    pool.open(1, 800);
    let mut fin = request(1, 901);
    fin.flags.fin = true;
    pool.balancer.on_caller_packet(&fin, at_ms(850));
    let actions = tick_until(&mut pool, 900, 3_000);
    let asks = |action: &Action| matches!(action, Action::QueryFlows { .. });
    expect_that!(actions.iter().any(asks), eq(false));
}

/// A flow that was used once, shortly before a loss of power, has sent no packet that could ask.
#[gtest]
fn agents_are_asked_to_confirm_flows_that_stay_idle() {
    let mut pool = Pool::without_targets(BALANCER, Repeatability::AtMostOnce);
    pool.announce(1, 1, TargetState::Ready, 10);
    pool.open(1, 100);
    let actions = tick_until(&mut pool, 200, 1_800);
    let mut asked = actions.iter().filter_map(|action| match action {
        Action::QueryFlows { agent, query } => Some((*agent, query.probes[0].flow)),
        _ => None,
    });
    expect_that!(asked.next(), some(eq((agent_address(1), flow(1)))));
}

/// Returns `true` if a balancer writes the flows of another one that also collects them.
fn writes_beside(own: SocketAddrV4, other: SocketAddrV4, other_writes: bool) -> bool {
    let mut pool = Pool::without_targets(own, Repeatability::AtMostOnce);
    tick_beside(&mut pool, other, 100, MIN_UPTIME_MS);
    let known = KnownFlow {
        flow: flow(1),
        target: TargetId::new(agent_address(1)),
        acknowledgment: BACKEND_ISN + 1,
    };
    let report = FlowReport {
        round: 1,
        writes: other_writes,
        flows: vec![known],
    };
    pool.balancer
        .on_flow_report(&report, other, at_ms(MIN_UPTIME_MS));
    let until = MIN_UPTIME_MS + 2 * INTERVAL_MS;
    let actions = tick_beside(&mut pool, other, MIN_UPTIME_MS, until);
    !checkpoints(&actions).is_empty()
}

/// The balancer that ranks first for a partition loses the store, so that the next one must write.
#[gtest]
fn the_second_collector_writes_only_while_the_first_does_not() {
    let pairs = [(peer(1), peer(2)), (peer(2), peer(1))];
    let writers = pairs.map(|(own, other)| writes_beside(own, other, true));
    expect_that!(writers[0] != writers[1], eq(true));
    for (own, other) in pairs {
        expect_that!(writes_beside(own, other, false), eq(true));
    }
}

/// The store turns this balancer away, so that another one must write.
#[gtest]
fn a_balancer_whose_writes_fail_says_so() {
    let mut pool = Pool::with_flows(&[1]);
    tick_beside(&mut pool, peer(2), 700, MIN_UPTIME_MS + INTERVAL_MS);
    pool.balancer.set_checkpoint_accepted(false);
    let from = MIN_UPTIME_MS + INTERVAL_MS;
    let actions = tick_beside(&mut pool, peer(2), from, from + 2 * INTERVAL_MS);
    let says_it_writes = |(_, report): &(SocketAddrV4, FlowReport)| report.writes;
    expect_that!(reports(&actions).is_empty(), eq(false));
    expect_that!(reports(&actions).iter().any(says_it_writes), eq(false));
    expect_that!(checkpoints(&actions), is_empty());
}

/// The number of writes must not grow with the number of balancers.
#[gtest]
fn few_of_many_balancers_write() {
    let balancers = 100;
    let mut writers = 0;
    for own in 0..balancers {
        let mut pool = Pool::without_targets(peer(own), Repeatability::AtMostOnce);
        for other in (0..balancers).filter(|other| *other != own) {
            pool.balancer.add_peer(peer(other), at_ms(0));
        }
        let actions = tick_until(&mut pool, 100, 3 * INTERVAL_MS);
        let receivers = reports(&actions).into_iter().map(|(to, _)| to);
        writers = writers.max(receivers.collect::<std::collections::BTreeSet<_>>().len());
    }
    expect_that!(writers, le(2));
}

/// Guards against flows that nobody writes: the balancers that rank first for the partition were replaced
/// long ago, and their registrations remain.
#[gtest]
fn replaced_balancers_collect_no_flows() {
    for replaced in 1..=30 {
        let mut pool = Pool::with_flows(&[1]);
        let registered = RegisteredBalancers {
            balancers: (1..=replaced).map(peer).collect(),
            ..RegisteredBalancers::default()
        };
        pool.balancer
            .set_registered_balancers(&registered, at_ms(700));
        let until = MIN_UPTIME_MS + 2 * INTERVAL_MS;
        let actions = tick_until(&mut pool, 700, until);
        expect_that!(checkpoints(&actions).len(), eq(1), "{replaced} replaced");
        // All partitions together must not be written more rarely with each replaced balancer.
        let actions = tick_until(&mut pool, until, until + 2 * INTERVAL_MS);
        expect_that!(reports(&actions), is_empty(), "{replaced} replaced");
    }
}

#[gtest]
fn a_record_is_read_as_it_was_written() {
    let checkpoint = checkpoint_of(BALANCER, &[1, 2]);
    let text = serde_json::to_string(&checkpoint).unwrap();
    expect_that!(text, contains_substring("100.64.0.1:1>198.18.0.1:443"));
    expect_that!(
        serde_json::from_str::<Checkpoint>(&text).unwrap(),
        eq(&checkpoint)
    );
    expect_that!(
        serde_json::from_str::<Checkpoint>("{\"flows\":3}"),
        err(anything())
    );
}
