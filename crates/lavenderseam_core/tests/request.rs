//! Tests of at-most-once execution, the accuracy of refusals, and retries.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_core::id::{Incarnation, Tag};
use lavenderseam_core::request::{
    AttemptTimes, BeginDecision, Binding, Deduplicator, DeduplicatorSettings, ExecutionStatus,
    IdempotencyKey, KnownOutcome, Refusal, RetryBudget, Stage, backoff_delay,
};
use lavenderseam_core::time::Instant;
use proptest::prelude::*;

const TARGET: Tag = Tag(11);
const BINDING_LIFETIME_SECS: u64 = 10;

fn at(seconds: u64) -> Instant {
    Instant::default() + Duration::from_secs(seconds)
}

fn deduplicator(incarnation: u64, max_keys: usize, max_response_bytes: usize) -> Deduplicator<u64> {
    let settings = DeduplicatorSettings {
        binding_lifetime: Duration::from_secs(BINDING_LIFETIME_SECS),
        max_keys,
        max_response_bytes,
    };
    Deduplicator::with_settings(Incarnation(incarnation), TARGET, settings)
}

fn key(name: &str) -> IdempotencyKey {
    name.parse().unwrap_or_else(|_| unreachable!())
}

#[gtest]
fn duplicate_gets_the_stored_response() {
    let mut deduplicator = deduplicator(1, 10, 100);
    let binding = deduplicator.issue_binding(at(1));
    expect_that!(
        deduplicator.begin(&key("a"), &binding, at(1)),
        eq(&BeginDecision::Run)
    );
    expect_that!(
        deduplicator.begin(&key("a"), &binding, at(1)),
        eq(&BeginDecision::Running)
    );
    deduplicator.complete(&key("a"), Some((7, 1)), at(2));
    expect_that!(
        deduplicator.begin(&key("a"), &binding, at(3)),
        eq(&BeginDecision::Replay(7))
    );
}

#[gtest]
fn request_with_evicted_key_is_unknown_and_never_runs_again() {
    let mut deduplicator = deduplicator(1, 10, 100);
    let binding = deduplicator.issue_binding(at(1));
    expect_that!(
        deduplicator.begin(&key("a"), &binding, at(1)),
        eq(&BeginDecision::Run)
    );
    deduplicator.complete(&key("a"), Some((7, 1)), at(2));
    let unknown = BeginDecision::Refuse(ExecutionStatus::Unknown);
    expect_that!(
        deduplicator.begin(&key("a"), &binding, at(60)),
        eq(&unknown)
    );
    expect_that!(deduplicator.is_empty(), eq(true));
    expect_that!(deduplicator.bytes(), eq(0));
}

#[gtest]
fn running_request_is_never_evicted() {
    let mut deduplicator = deduplicator(1, 10, 100);
    let binding = deduplicator.issue_binding(at(1));
    expect_that!(
        deduplicator.begin(&key("a"), &binding, at(1)),
        eq(&BeginDecision::Run)
    );
    expect_that!(
        deduplicator.begin(&key("a"), &binding, at(900)),
        eq(&BeginDecision::Running)
    );
}

#[gtest]
fn responses_beyond_the_size_limit_are_evicted_but_not_their_keys() {
    let mut deduplicator = deduplicator(1, 10, 10);
    let binding = deduplicator.issue_binding(at(1));
    for name in ["a", "b"] {
        expect_that!(
            deduplicator.begin(&key(name), &binding, at(1)),
            eq(&BeginDecision::Run)
        );
        deduplicator.complete(&key(name), Some((7, 8)), at(1));
    }
    let unknown = BeginDecision::Refuse(ExecutionStatus::Unknown);
    expect_that!(deduplicator.begin(&key("a"), &binding, at(2)), eq(&unknown));
    expect_that!(
        deduplicator.begin(&key("b"), &binding, at(2)),
        eq(&BeginDecision::Replay(7))
    );
    expect_that!(deduplicator.bytes(), eq(8));
}

#[gtest]
fn key_outlives_bindings_issued_at_the_same_time() {
    let mut deduplicator = deduplicator(1, 10, 100);
    deduplicator.issue_binding(at(1));
    let second = deduplicator.issue_binding(at(1));
    expect_that!(
        deduplicator.outcome_or_fence(&key("a"), &second, at(1)),
        eq(&KnownOutcome::NotRun)
    );
    let no = BeginDecision::Refuse(ExecutionStatus::NotRun);
    expect_that!(
        deduplicator.begin(&key("a"), &second, at(1 + BINDING_LIFETIME_SECS)),
        eq(&no)
    );
}

#[gtest]
fn refusal_is_final_for_its_binding_only() {
    let mut deduplicator = deduplicator(1, 10, 100);
    let early = deduplicator.issue_binding(at(1));
    expect_that!(
        deduplicator.begin(&key("a"), &early, at(1)),
        eq(&BeginDecision::Run)
    );
    deduplicator.cancel(&key("a"), &early, at(1));
    let no = BeginDecision::Refuse(ExecutionStatus::NotRun);
    expect_that!(deduplicator.begin(&key("a"), &early, at(2)), eq(&no));
    let later = deduplicator.issue_binding(at(2));
    expect_that!(
        deduplicator.begin(&key("a"), &later, at(2)),
        eq(&BeginDecision::Run)
    );
    expect_that!(
        deduplicator.begin(&key("a"), &early, at(2)),
        eq(&BeginDecision::Running)
    );
}

#[gtest]
fn inquiry_fences_a_request_that_has_not_run() {
    let mut deduplicator = deduplicator(1, 10, 100);
    let binding = deduplicator.issue_binding(at(1));
    expect_that!(
        deduplicator.outcome_or_fence(&key("a"), &binding, at(1)),
        eq(&KnownOutcome::NotRun)
    );
    let no = BeginDecision::Refuse(ExecutionStatus::NotRun);
    expect_that!(deduplicator.begin(&key("a"), &binding, at(1)), eq(&no));
}

#[gtest]
fn full_memory_refuses_new_keys_permanently_for_their_bindings() {
    let mut deduplicator = deduplicator(1, 1, 100);
    let binding = deduplicator.issue_binding(at(1));
    expect_that!(
        deduplicator.begin(&key("a"), &binding, at(1)),
        eq(&BeginDecision::Run)
    );
    let no = BeginDecision::Refuse(ExecutionStatus::NotRun);
    expect_that!(deduplicator.begin(&key("b"), &binding, at(1)), eq(&no));
    deduplicator.complete(&key("a"), None, at(1));
    // There is room for new keys again, while the binding is still valid.
    let binding_later = deduplicator.issue_binding(at(10));
    expect_that!(deduplicator.begin(&key("b"), &binding, at(10)), eq(&no));
    expect_that!(
        deduplicator.begin(&key("c"), &binding_later, at(12)),
        eq(&BeginDecision::Run)
    );
}

#[gtest]
fn binding_of_another_incarnation_is_unknown() {
    let other = deduplicator(1, 10, 100).issue_binding(at(1));
    let mut deduplicator = deduplicator(2, 10, 100);
    deduplicator.issue_binding(at(5));
    let unknown = BeginDecision::Refuse(ExecutionStatus::Unknown);
    expect_that!(deduplicator.begin(&key("a"), &other, at(1)), eq(&unknown));
}

#[gtest]
fn refusal_excludes_execution_only_if_nothing_was_sent_or_the_backend_confirmed_it() {
    expect_that!(
        Refusal::new(Stage::NotSent).execution,
        eq(ExecutionStatus::NotRun)
    );
    expect_that!(
        Refusal::new(Stage::ConfirmedNotRun).execution,
        eq(ExecutionStatus::NotRun)
    );
    expect_that!(
        Refusal::new(Stage::PossiblySent).execution,
        eq(ExecutionStatus::Unknown)
    );
}

#[gtest]
fn retries_are_limited_to_a_share_of_the_successes() {
    let mut budget = RetryBudget::new(20, 2);
    expect_that!(
        [
            budget.try_withdraw(),
            budget.try_withdraw(),
            budget.try_withdraw()
        ],
        eq([true, true, false])
    );
    for _ in 0..5 {
        budget.record_success();
    }
    expect_that!(
        [budget.try_withdraw(), budget.try_withdraw()],
        eq([true, false])
    );
}

#[gtest]
fn backoff_doubles_up_to_its_limit() {
    let base = Duration::from_millis(20);
    let limit = Duration::from_millis(100);
    for (attempt, seconds) in [(0, 20), (1, 40), (2, 80), (3, 100), (40, 100)] {
        for random in [0, 1, u64::MAX] {
            let wait = backoff_delay(attempt, base, limit, random);
            expect_that!(wait, ge(Duration::from_millis(seconds / 2)));
            expect_that!(wait, le(Duration::from_millis(seconds)));
        }
    }
}

// While a backend server is down, attempts are refused until the caller's deadline. The last
// attempt must not start if it can't complete in time, or the outcome of the request would be
// unknown.
#[gtest]
fn attempt_that_can_not_complete_in_time_does_not_fit() {
    let mut attempts = AttemptTimes::default();
    attempts.record_attempt(Duration::from_millis(2));
    expect_that!(attempts.fits_within(Duration::from_millis(100)), eq(true));
    expect_that!(attempts.fits_within(Duration::from_millis(49)), eq(false));
    attempts.record_attempt(Duration::from_millis(80));
    attempts.record_attempt(Duration::from_millis(2));
    expect_that!(attempts.fits_within(Duration::from_millis(100)), eq(false));
    expect_that!(attempts.fits_within(Duration::from_millis(160)), eq(true));
}

proptest! {
    #[test]
    fn bindings_round_trip_through_text(incarnation: u64, target: u64, issued: u64) {
        let binding = Binding {
            incarnation: Incarnation(incarnation),
            target: Tag(target),
            issued_at: Instant(issued),
        };
        prop_assert_eq!(binding.to_string().parse(), Ok(binding));
    }
}

/// Event at an agent; requests are identified by the index of their caller.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A caller that may bind its request gets a binding.
    Bind(usize),
    /// A copy of the request arrives with the latest binding or an earlier one.
    Arrive(usize, usize),
    /// A running request completes with a response.
    Finish(usize),
    /// A running request ends with an unknown outcome.
    Fail(usize),
    /// A running request is cancelled before its first byte is sent.
    Withdraw(usize),
    /// Another agent queries the outcome.
    Inquire(usize),
    Wait(u64),
    Restart,
}

const CALLERS: usize = 4;

fn event() -> impl Strategy<Value = Event> {
    let request = 0..CALLERS;
    prop_oneof![
        4 => request.clone().prop_map(Event::Bind),
        8 => (request.clone(), 0_usize..4).prop_map(|(n, age)| Event::Arrive(n, age)),
        3 => request.clone().prop_map(Event::Finish),
        1 => request.clone().prop_map(Event::Fail),
        2 => request.clone().prop_map(Event::Withdraw),
        2 => request.prop_map(Event::Inquire),
        4 => (0_u64..6).prop_map(Event::Wait),
        1 => Just(Event::Restart),
    ]
}

/// Reference model: keeps the whole history over all incarnations of the agent.
#[derive(Default)]
struct ReferenceModel {
    /// Requests that the backend server has run or is running.
    ran: HashSet<usize>,
    running: HashSet<usize>,
    answers: HashMap<usize, u64>,
    /// Requests and bindings that were reported as not run.
    reported_not_run: HashSet<(usize, String)>,
}

/// Caller that follows the protocol: it requests a new binding only after its last one was reported
/// as not run.
struct Caller {
    bindings: Vec<Binding>,
    may_bind: bool,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn requests_run_at_most_once(events in prop::collection::vec(event(), 1..120)) {
        let mut incarnation = 1;
        let mut agent = deduplicator(incarnation, 3, 20);
        let mut model = ReferenceModel::default();
        let mut callers: Vec<Caller> = (0..CALLERS)
            .map(|_| Caller { bindings: Vec::new(), may_bind: true })
            .collect();
        let mut now = 1;
        for event in events {
            match event {
                Event::Bind(n) if callers[n].may_bind => {
                    callers[n].bindings.push(agent.issue_binding(at(now)));
                    callers[n].may_bind = false;
                }
                Event::Arrive(n, age) => {
                    let count = callers[n].bindings.len();
                    let Some(index) = count.checked_sub(age + 1) else { continue };
                    let binding = callers[n].bindings[index];
                    let latest = age == 0;
                    let is_not_run = match agent.begin(&key(&n.to_string()), &binding, at(now)) {
                        BeginDecision::Run => {
                            let request_and_binding = (n, binding.to_string());
                            prop_assert!(
                                !model.reported_not_run.contains(&request_and_binding),
                                "request ran after it was reported as not run"
                            );
                            prop_assert!(model.ran.insert(n), "request ran twice");
                            model.running.insert(n);
                            false
                        }
                        BeginDecision::Running => {
                            prop_assert!(model.running.contains(&n));
                            false
                        }
                        BeginDecision::Replay(answer) => {
                            prop_assert_eq!(model.answers.get(&n), Some(&answer));
                            false
                        }
                        BeginDecision::Refuse(ExecutionStatus::NotRun) => true,
                        BeginDecision::Refuse(ExecutionStatus::Unknown) => false,
                    };
                    if is_not_run {
                        prop_assert!(
                            !model.ran.contains(&n),
                            "reported a request as not run that has run"
                        );
                        model.reported_not_run.insert((n, binding.to_string()));
                        callers[n].may_bind |= latest;
                    }
                }
                Event::Finish(n) if model.running.remove(&n) => {
                    model.answers.insert(n, now);
                    agent.complete(&key(&n.to_string()), Some((now, 8)), at(now));
                }
                Event::Fail(n) if model.running.remove(&n) => {
                    agent.complete(&key(&n.to_string()), None, at(now));
                }
                Event::Withdraw(n) if model.running.remove(&n) => {
                    model.ran.remove(&n);
                    let Some(binding) = callers[n].bindings.last() else { continue };
                    agent.cancel(&key(&n.to_string()), binding, at(now));
                    model.reported_not_run.insert((n, binding.to_string()));
                    callers[n].may_bind = true;
                }
                Event::Inquire(n) => {
                    let Some(binding) = callers[n].bindings.last().copied() else { continue };
                    match agent.outcome_or_fence(&key(&n.to_string()), &binding, at(now)) {
                        KnownOutcome::NotRun => {
                            prop_assert!(
                                !model.ran.contains(&n),
                                "inquiry reported a request as not run that has run"
                            );
                            model.reported_not_run.insert((n, binding.to_string()));
                            callers[n].may_bind = true;
                        }
                        KnownOutcome::Running => prop_assert!(model.running.contains(&n)),
                        KnownOutcome::Finished(answer) => {
                            prop_assert_eq!(model.answers.get(&n), Some(&answer));
                        }
                        KnownOutcome::Unknown => {}
                    }
                }
                Event::Wait(seconds) => now += seconds,
                Event::Restart => {
                    incarnation += 1;
                    agent = deduplicator(incarnation, 3, 20);
                    model.running.clear();
                }
                _ => {}
            }
            prop_assert!(agent.bytes() <= 20);
            prop_assert!(agent.len() <= 3 + model.running.len());
        }
    }
}
