//! At most once, and the truth of refusals.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_core::id::{Incarnation, Tag};
use lavenderseam_core::request::{
    Attempts, Begin, Binding, Budget, Inquiry, Key, Memory, MemorySettings, Ran, Refusal, Stage,
    backoff,
};
use lavenderseam_core::time::Instant;
use proptest::prelude::*;

const TARGET: Tag = Tag(11);
const LIFE: u64 = 10;

fn at(seconds: u64) -> Instant {
    Instant::default() + Duration::from_secs(seconds)
}

fn memory(run: u64, keys: usize, bytes: usize) -> Memory<u64> {
    let settings = MemorySettings {
        life: Duration::from_secs(LIFE),
        keys,
        bytes,
    };
    Memory::with_settings(Incarnation(run), TARGET, settings)
}

fn key(name: &str) -> Key {
    name.parse().unwrap_or_else(|_| unreachable!())
}

#[gtest]
fn a_repeat_is_answered_from_memory() {
    let mut memory = memory(1, 10, 100);
    let binding = memory.bind(at(1));
    expect_that!(memory.begin(&key("a"), &binding, at(1)), eq(&Begin::Run));
    expect_that!(
        memory.begin(&key("a"), &binding, at(1)),
        eq(&Begin::Running)
    );
    memory.finish(&key("a"), Some((7, 1)), at(2));
    expect_that!(
        memory.begin(&key("a"), &binding, at(3)),
        eq(&Begin::Replay(7))
    );
}

#[gtest]
fn an_evicted_key_is_unknown_and_never_runs_again() {
    let mut memory = memory(1, 10, 100);
    let binding = memory.bind(at(1));
    expect_that!(memory.begin(&key("a"), &binding, at(1)), eq(&Begin::Run));
    memory.finish(&key("a"), Some((7, 1)), at(2));
    let unknown = Begin::Refuse(Ran::Unknown);
    expect_that!(memory.begin(&key("a"), &binding, at(60)), eq(&unknown));
    expect_that!(memory.is_empty(), eq(true));
    expect_that!(memory.bytes(), eq(0));
}

#[gtest]
fn a_run_that_has_not_ended_is_never_forgotten() {
    let mut memory = memory(1, 10, 100);
    let binding = memory.bind(at(1));
    expect_that!(memory.begin(&key("a"), &binding, at(1)), eq(&Begin::Run));
    expect_that!(
        memory.begin(&key("a"), &binding, at(900)),
        eq(&Begin::Running)
    );
}

#[gtest]
fn answers_beyond_the_bound_are_dropped_but_not_their_keys() {
    let mut memory = memory(1, 10, 10);
    let binding = memory.bind(at(1));
    for name in ["a", "b"] {
        expect_that!(memory.begin(&key(name), &binding, at(1)), eq(&Begin::Run));
        memory.finish(&key(name), Some((7, 8)), at(1));
    }
    let unknown = Begin::Refuse(Ran::Unknown);
    expect_that!(memory.begin(&key("a"), &binding, at(2)), eq(&unknown));
    expect_that!(
        memory.begin(&key("b"), &binding, at(2)),
        eq(&Begin::Replay(7))
    );
    expect_that!(memory.bytes(), eq(8));
}

#[gtest]
fn a_key_outlives_bindings_issued_at_the_same_time() {
    let mut memory = memory(1, 10, 100);
    memory.bind(at(1));
    let second = memory.bind(at(1));
    expect_that!(
        memory.inquire(&key("a"), &second, at(1)),
        eq(&Inquiry::NotRun)
    );
    let no = Begin::Refuse(Ran::No);
    expect_that!(memory.begin(&key("a"), &second, at(1 + LIFE)), eq(&no));
}

#[gtest]
fn a_refusal_is_final_for_its_binding_only() {
    let mut memory = memory(1, 10, 100);
    let early = memory.bind(at(1));
    expect_that!(memory.begin(&key("a"), &early, at(1)), eq(&Begin::Run));
    memory.withdraw(&key("a"), &early, at(1));
    let no = Begin::Refuse(Ran::No);
    expect_that!(memory.begin(&key("a"), &early, at(2)), eq(&no));
    let later = memory.bind(at(2));
    expect_that!(memory.begin(&key("a"), &later, at(2)), eq(&Begin::Run));
    expect_that!(memory.begin(&key("a"), &early, at(2)), eq(&Begin::Running));
}

#[gtest]
fn an_inquiry_fences_what_has_not_run() {
    let mut memory = memory(1, 10, 100);
    let binding = memory.bind(at(1));
    expect_that!(
        memory.inquire(&key("a"), &binding, at(1)),
        eq(&Inquiry::NotRun)
    );
    let no = Begin::Refuse(Ran::No);
    expect_that!(memory.begin(&key("a"), &binding, at(1)), eq(&no));
}

#[gtest]
fn a_full_memory_refuses_for_good_what_it_has_no_room_for() {
    let mut memory = memory(1, 1, 100);
    let binding = memory.bind(at(1));
    expect_that!(memory.begin(&key("a"), &binding, at(1)), eq(&Begin::Run));
    let no = Begin::Refuse(Ran::No);
    expect_that!(memory.begin(&key("b"), &binding, at(1)), eq(&no));
    memory.finish(&key("a"), None, at(1));
    // Room again, while the binding is still alive.
    let binding_later = memory.bind(at(10));
    expect_that!(memory.begin(&key("b"), &binding, at(10)), eq(&no));
    expect_that!(
        memory.begin(&key("c"), &binding_later, at(12)),
        eq(&Begin::Run)
    );
}

#[gtest]
fn a_binding_of_another_run_is_unknown() {
    let other = memory(1, 10, 100).bind(at(1));
    let mut memory = memory(2, 10, 100);
    memory.bind(at(5));
    let unknown = Begin::Refuse(Ran::Unknown);
    expect_that!(memory.begin(&key("a"), &other, at(1)), eq(&unknown));
}

#[gtest]
fn a_refusal_says_no_only_before_the_first_byte_or_by_proof() {
    expect_that!(Refusal::new(Stage::Held).ran, eq(Ran::No));
    expect_that!(Refusal::new(Stage::Disproved).ran, eq(Ran::No));
    expect_that!(Refusal::new(Stage::Sent).ran, eq(Ran::Unknown));
}

#[gtest]
fn retries_are_a_share_of_the_successes() {
    let mut budget = Budget::new(20, 2);
    expect_that!(
        [budget.take(), budget.take(), budget.take()],
        eq([true, true, false])
    );
    for _ in 0..5 {
        budget.succeeded();
    }
    expect_that!([budget.take(), budget.take()], eq([true, false]));
}

#[gtest]
fn backoff_doubles_up_to_its_limit() {
    let base = Duration::from_millis(20);
    let limit = Duration::from_millis(100);
    for (attempt, span) in [(0, 20), (1, 40), (2, 80), (3, 100), (40, 100)] {
        for random in [0, 1, u64::MAX] {
            let wait = backoff(attempt, base, limit, random);
            expect_that!(wait, ge(Duration::from_millis(span / 2)));
            expect_that!(wait, le(Duration::from_millis(span)));
        }
    }
}

// Pattern: a backend server that is gone refuses an edit until the caller's time is up.
#[gtest]
fn no_attempt_begins_that_can_not_end_in_time() {
    let mut attempts = Attempts::default();
    attempts.ended(Duration::from_millis(2));
    expect_that!(attempts.fits(Duration::from_millis(100)), eq(true));
    expect_that!(attempts.fits(Duration::from_millis(49)), eq(false));
    attempts.ended(Duration::from_millis(80));
    attempts.ended(Duration::from_millis(2));
    expect_that!(attempts.fits(Duration::from_millis(100)), eq(false));
    expect_that!(attempts.fits(Duration::from_millis(160)), eq(true));
}

proptest! {
    #[test]
    fn bindings_are_read_as_written(incarnation: u64, target: u64, issued: u64) {
        let binding = Binding {
            incarnation: Incarnation(incarnation),
            target: Tag(target),
            issued: Instant(issued),
        };
        prop_assert_eq!(binding.to_string().parse(), Ok(binding));
    }
}

/// What may happen at an agent; a caller names its request by number.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A caller without a live binding gets one.
    Bind(usize),
    /// A copy of the request arrives, under the latest binding or an earlier one.
    Arrive(usize, usize),
    /// A run ends with an answer.
    Finish(usize),
    /// A run ends without an answer.
    Fail(usize),
    /// A run is taken back before its first byte.
    Withdraw(usize),
    /// Another agent asks.
    Inquire(usize),
    Wait(u64),
    Restart,
}

const REQUESTS: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    let request = 0..REQUESTS;
    prop_oneof![
        4 => request.clone().prop_map(Step::Bind),
        8 => (request.clone(), 0_usize..4).prop_map(|(n, back)| Step::Arrive(n, back)),
        3 => request.clone().prop_map(Step::Finish),
        1 => request.clone().prop_map(Step::Fail),
        2 => request.clone().prop_map(Step::Withdraw),
        2 => request.prop_map(Step::Inquire),
        4 => (0_u64..6).prop_map(Step::Wait),
        1 => Just(Step::Restart),
    ]
}

/// The naive reference: remembers everything for ever, of all runs of the agent.
#[derive(Default)]
struct Truth {
    /// Requests that the backend server has run or is running.
    ran: HashSet<usize>,
    running: HashSet<usize>,
    answers: HashMap<usize, u64>,
    /// Bindings for which "not run" was said.
    refused: HashSet<(usize, String)>,
}

/// A caller follows the protocol: it asks for a new binding only after "not run" for its last.
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
    fn a_request_runs_at_most_once(steps in prop::collection::vec(step(), 1..120)) {
        let mut run = 1;
        let mut agent = memory(run, 3, 20);
        let mut truth = Truth::default();
        let mut callers: Vec<Caller> = (0..REQUESTS)
            .map(|_| Caller { bindings: Vec::new(), may_bind: true })
            .collect();
        let mut now = 1;
        for step in steps {
            match step {
                Step::Bind(n) if callers[n].may_bind => {
                    callers[n].bindings.push(agent.bind(at(now)));
                    callers[n].may_bind = false;
                }
                Step::Arrive(n, back) => {
                    let count = callers[n].bindings.len();
                    let Some(place) = count.checked_sub(back + 1) else { continue };
                    let binding = callers[n].bindings[place];
                    let latest = back == 0;
                    let says_no = match agent.begin(&key(&n.to_string()), &binding, at(now)) {
                        Begin::Run => {
                            let mark = (n, binding.to_string());
                            prop_assert!(!truth.refused.contains(&mark), "ran after a refusal");
                            prop_assert!(truth.ran.insert(n), "ran twice");
                            truth.running.insert(n);
                            false
                        }
                        Begin::Running => {
                            prop_assert!(truth.running.contains(&n));
                            false
                        }
                        Begin::Replay(answer) => {
                            prop_assert_eq!(truth.answers.get(&n), Some(&answer));
                            false
                        }
                        Begin::Refuse(Ran::No) => true,
                        Begin::Refuse(Ran::Unknown) => false,
                    };
                    if says_no {
                        prop_assert!(!truth.ran.contains(&n), "refused what has run");
                        truth.refused.insert((n, binding.to_string()));
                        callers[n].may_bind |= latest;
                    }
                }
                Step::Finish(n) if truth.running.remove(&n) => {
                    truth.answers.insert(n, now);
                    agent.finish(&key(&n.to_string()), Some((now, 8)), at(now));
                }
                Step::Fail(n) if truth.running.remove(&n) => {
                    agent.finish(&key(&n.to_string()), None, at(now));
                }
                Step::Withdraw(n) if truth.running.remove(&n) => {
                    truth.ran.remove(&n);
                    let Some(binding) = callers[n].bindings.last() else { continue };
                    agent.withdraw(&key(&n.to_string()), binding, at(now));
                    truth.refused.insert((n, binding.to_string()));
                    callers[n].may_bind = true;
                }
                Step::Inquire(n) => {
                    let Some(binding) = callers[n].bindings.last().copied() else { continue };
                    match agent.inquire(&key(&n.to_string()), &binding, at(now)) {
                        Inquiry::NotRun => {
                            prop_assert!(!truth.ran.contains(&n), "denied what has run");
                            truth.refused.insert((n, binding.to_string()));
                            callers[n].may_bind = true;
                        }
                        Inquiry::Running => prop_assert!(truth.running.contains(&n)),
                        Inquiry::Finished(answer) => {
                            prop_assert_eq!(truth.answers.get(&n), Some(&answer));
                        }
                        Inquiry::Unknown => {}
                    }
                }
                Step::Wait(span) => now += span,
                Step::Restart => {
                    run += 1;
                    agent = memory(run, 3, 20);
                    truth.running.clear();
                }
                _ => {}
            }
            prop_assert!(agent.bytes() <= 20);
            prop_assert!(agent.len() <= 3 + truth.running.len());
        }
    }
}
