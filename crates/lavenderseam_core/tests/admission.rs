//! Admission control: properties of the adaptive request window.

use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_core::admission::{
    Admission, Capacity, NewFlow, Outcome, Reason, Settings, Window,
};
use lavenderseam_core::record::Slots;
use lavenderseam_core::time::Instant;
use proptest::prelude::*;

const SLOTS: u32 = 9;
const COLD_SLOTS: u32 = 2;

fn capacity() -> Capacity {
    Capacity::new(Slots(SLOTS), Slots(COLD_SLOTS), 100)
}

fn at(milliseconds: u64) -> Instant {
    Instant::default() + Duration::from_millis(milliseconds)
}

/// Fills the window and completes all requests successfully, once every `step_ms` milliseconds from
/// `from_ms` until `until_ms`.
fn saturate(window: &mut Window, from_ms: u64, until_ms: u64, step_ms: u64) {
    for now_ms in (from_ms..until_ms).step_by(step_ms as usize) {
        while window.acquire(at(now_ms)).is_ok() {}
        while window.in_flight() > 0 {
            complete(window, now_ms + step_ms);
        }
    }
}

fn complete(window: &mut Window, now_ms: u64) {
    let time = Duration::from_millis(10);
    window.release(Outcome::Answered(time), time, at(now_ms));
}

fn warm_window() -> Window {
    let mut window = Window::new(capacity(), at(0));
    saturate(&mut window, 0, 60_000, 10);
    window
}

#[gtest]
fn window_starts_cold_and_grows_under_load() {
    let mut window = Window::new(capacity(), at(0));
    expect_that!(window.limit(), eq(COLD_SLOTS));
    saturate(&mut window, 0, 4_900, 10);
    expect_that!(window.limit(), eq(COLD_SLOTS));
    saturate(&mut window, 4_900, 60_000, 10);
    expect_that!(window.limit(), eq(SLOTS));
}

#[gtest]
fn window_does_not_grow_unless_it_was_full() {
    let mut window = Window::new(capacity(), at(0));
    for now in (0..60_000).step_by(10) {
        expect_that!(window.acquire(at(now)), ok(anything()));
        complete(&mut window, now + 5);
    }
    expect_that!(window.limit(), eq(COLD_SLOTS));
}

#[gtest]
fn one_failure_halves_the_window_and_a_burst_resets_it() {
    let mut window = warm_window();
    let held = Duration::from_millis(1);
    expect_that!(window.acquire(at(60_000)), ok(anything()));
    window.release(Outcome::Refused, held, at(60_001));
    expect_that!(window.limit(), eq(SLOTS / 2));
    expect_that!(window.acquire(at(60_002)), ok(anything()));
    window.release(Outcome::Failed, held, at(60_003));
    expect_that!(window.limit(), eq(COLD_SLOTS));
}

// Callers of an overloaded service retry until their deadlines, so their last attempts fail for
// lack of time. These failures must not shrink the window.
#[gtest]
fn missed_deadline_of_a_short_attempt_does_not_shrink_the_window() {
    let mut window = warm_window();
    let limit = window.limit();
    for now in 60_000..60_010 {
        expect_that!(window.acquire(at(now)), ok(anything()));
        window.release(
            Outcome::DeadlineExceeded,
            Duration::from_millis(10),
            at(now + 10),
        );
    }
    expect_that!(window.limit(), eq(limit));
    expect_that!(window.acquire(at(60_100)), ok(anything()));
    window.release(
        Outcome::DeadlineExceeded,
        Duration::from_secs(1),
        at(61_100),
    );
    expect_that!(window.limit(), lt(limit));
}

#[gtest]
fn unreachable_backend_server_resets_the_window_and_admits_no_flow() {
    let mut window = warm_window();
    let new_flow = NewFlow {
        connections: 0,
        forwards: 0,
        draining: false,
        domain_out: false,
    };
    expect_that!(
        window.check_admission(&new_flow, at(60_000)),
        eq(Admission::Admitted)
    );
    window.mark_unreachable(at(60_000));
    expect_that!(window.limit(), eq(COLD_SLOTS));
    let refused = Admission::Refused(Reason::Unreachable);
    expect_that!(window.check_admission(&new_flow, at(60_500)), eq(refused));
    expect_that!(
        window.check_admission(&new_flow, at(61_500)),
        eq(Admission::Admitted)
    );
}

#[gtest]
fn idle_or_stalled_window_is_reset() {
    let mut idle = warm_window();
    expect_that!(idle.acquire(at(119_000)), ok(anything()));
    expect_that!(idle.limit(), eq(SLOTS));
    complete(&mut idle, 119_010);
    expect_that!(idle.acquire(at(180_000)), ok(anything()));
    expect_that!(idle.limit(), eq(COLD_SLOTS));

    let mut stalled = warm_window();
    expect_that!(stalled.acquire(at(60_010)), ok(anything()));
    expect_that!(stalled.acquire(at(62_000)), ok(anything()));
    expect_that!(stalled.limit(), eq(SLOTS));
    expect_that!(stalled.acquire(at(64_000)), err(anything()));
    expect_that!(stalled.limit(), eq(COLD_SLOTS));
}

#[gtest]
fn latency_jump_halves_the_window_once_per_interval() {
    let mut window = warm_window();
    let slow = Duration::from_millis(500);
    for _ in 0..4 {
        expect_that!(window.acquire(at(61_000)), ok(anything()));
    }
    for _ in 0..4 {
        window.release(Outcome::Answered(slow), slow, at(61_500));
    }
    expect_that!(window.limit(), eq(SLOTS / 2));
}

#[gtest]
fn load_report_lowers_the_window_until_it_times_out() {
    let mut window = warm_window();
    window.apply_load_report(4, at(60_000));
    expect_that!(window.limit(), eq(4));
    saturate(&mut window, 60_000, 69_000, 10);
    expect_that!(window.limit(), eq(4));
    for now in (69_000..100_000).step_by(500) {
        window.apply_load_report(4, at(now));
        saturate(&mut window, now, now + 500, 10);
    }
    expect_that!(window.limit(), eq(SLOTS));
    window.apply_load_report(100, at(100_000));
    expect_that!(window.limit(), eq(SLOTS));
}

#[gtest]
fn flow_admission_depends_on_domain_drain_and_connections() {
    let window = warm_window();
    let new_flow = NewFlow {
        connections: 99,
        forwards: 0,
        draining: false,
        domain_out: false,
    };
    let admission = |new_flow| window.check_admission(&new_flow, at(60_000));
    expect_that!(admission(new_flow), eq(Admission::Admitted));
    let full = NewFlow {
        connections: 100,
        ..new_flow
    };
    expect_that!(admission(full), eq(Admission::Refused(Reason::Connections)));
    let draining = NewFlow {
        draining: true,
        ..new_flow
    };
    expect_that!(
        admission(draining),
        eq(Admission::Refused(Reason::Draining))
    );
    let out = NewFlow {
        domain_out: true,
        ..new_flow
    };
    expect_that!(admission(out), eq(Admission::Refused(Reason::DomainOut)));
}

#[gtest]
fn cold_full_window_admits_a_flow_after_two_forwards() {
    let mut window = Window::new(capacity(), at(0));
    while window.acquire(at(1)).is_ok() {}
    let admission = |passes| {
        let new_flow = NewFlow {
            connections: 0,
            forwards: passes,
            draining: false,
            domain_out: false,
        };
        window.check_admission(&new_flow, at(1))
    };
    expect_that!(admission(0), eq(Admission::Refused(Reason::Window)));
    expect_that!(admission(1), eq(Admission::Refused(Reason::Window)));
    expect_that!(admission(2), eq(Admission::Admitted));
}

#[gtest]
fn callers_that_retry_after_the_given_delay_get_a_slot_within_one_request_time() {
    let request_time = Duration::from_millis(40);
    let mut window = Window::new(capacity(), at(0));
    // Establishes the mean request duration.
    for now in (0..4_000).step_by(100) {
        expect_that!(window.acquire(at(now)), ok(anything()));
        window.release(Outcome::Answered(request_time), request_time, at(now + 40));
    }
    let start = at(4_000);
    let mut ends = Vec::new();
    for _ in 0..COLD_SLOTS {
        expect_that!(window.acquire(start), ok(anything()));
        ends.push(start + request_time);
    }
    let retry_delays: Vec<Duration> = (0..10)
        .filter_map(|_| window.acquire(start).err())
        .map(|full| full.retry_after)
        .collect();
    let expected: Vec<Duration> = (1..=10)
        .map(|position| request_time / COLD_SLOTS * position)
        .collect();
    expect_that!(retry_delays, eq(&expected));
    let mut waiting = retry_delays;
    for millisecond in 0..1_000 {
        let now = start + Duration::from_millis(millisecond);
        for _ in ends.extract_if(.., |end| *end <= now) {
            window.release(Outcome::Answered(request_time), request_time, now);
        }
        let is_due = |delay: &mut Duration| start + *delay <= now;
        waiting.retain_mut(|delay| {
            let served = is_due(delay) && window.acquire(now).is_ok();
            if served {
                ends.push(now + request_time);
                expect_that!(now.since(start + *delay), le(request_time));
            }
            !served
        });
    }
    expect_that!(waiting, is_empty());
}

/// Backend server that handles one request at a time after a cold start, and then ramps up.
struct WarmingBackend {
    cold_ms: u64,
    ramp_ms: u64,
    slots: u32,
}

impl WarmingBackend {
    fn max_requests(&self, now_ms: u64) -> u32 {
        let warming = now_ms.saturating_sub(self.cold_ms).min(self.ramp_ms);
        1 + u32::try_from(u64::from(self.slots - 1) * warming / self.ramp_ms).unwrap_or(0)
    }
}

#[gtest]
fn window_never_exceeds_the_capacity_of_a_warming_backend_server() {
    for slots in [4, 9] {
        let backend = WarmingBackend {
            cold_ms: 1_500,
            ramp_ms: 5_000,
            slots,
        };
        let capacity = Capacity::new(Slots(slots), Slots(1), 100);
        let mut window = Window::new(capacity, at(0));
        for now in (0..40_000).step_by(10) {
            while window.acquire(at(now)).is_ok() {}
            expect_that!(window.in_flight(), le(backend.max_requests(now)));
            while window.in_flight() > 0 {
                complete(&mut window, now + 10);
            }
        }
        expect_that!(window.limit(), eq(slots));
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Acquire,
    Release(Outcome),
    Report(u32),
    Unreachable,
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let outcome = prop_oneof![
        6 => (1_u64..80).prop_map(|ms| Outcome::Answered(Duration::from_millis(ms))),
        1 => Just(Outcome::Refused),
        1 => Just(Outcome::Failed),
        1 => Just(Outcome::DeadlineExceeded),
        1 => Just(Outcome::Cancelled),
    ];
    prop_oneof![
        8 => Just(Event::Acquire),
        8 => outcome.prop_map(Event::Release),
        1 => (0_u32..12).prop_map(Event::Report),
        1 => Just(Event::Unreachable),
        4 => (1_u64..4_000).prop_map(Event::Wait),
    ]
}

/// Reference model: keeps the whole history and searches it at each step.
#[derive(Default)]
struct History {
    failures: Vec<u64>,
    changes: Vec<u64>,
}

impl History {
    fn is_burst(&self, now_ms: u64) -> bool {
        let settings = Settings::default();
        let window_ms = settings.burst_window.as_millis() as u64;
        let recent = self
            .failures
            .iter()
            .filter(|at| now_ms - **at < window_ms)
            .count();
        recent >= settings.burst_failures as usize
    }

    fn may_grow(&self, now_ms: u64) -> bool {
        let interval_ms = Settings::default().growth_interval.as_millis() as u64;
        self.changes
            .last()
            .is_none_or(|last| now_ms - last >= interval_ms)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn window_matches_reference_model(events in prop::collection::vec(event(), 1..400)) {
        let mut window = Window::new(capacity(), at(0));
        let mut history = History::default();
        let mut now = 0;
        let mut running = 0_u32;
        for event in events {
            let before = window.limit();
            match event {
                Event::Acquire => {
                    let admitted = window.acquire(at(now)).is_ok();
                    // An idle or stalled window may have been reset to the cold limit first.
                    prop_assert_eq!(admitted, running < window.limit());
                    prop_assert!(window.limit() <= before);
                    running += u32::from(admitted);
                }
                Event::Release(outcome) if running > 0 => {
                    running -= 1;
                    window.release(outcome, Duration::from_millis(20), at(now));
                    let failed = matches!(outcome, Outcome::Refused | Outcome::Failed);
                    if failed {
                        history.failures.push(now);
                        if history.is_burst(now) {
                            prop_assert_eq!(window.limit(), COLD_SLOTS);
                            history.failures.clear();
                        }
                        prop_assert!(window.limit() <= (before / 2).max(COLD_SLOTS));
                    }
                    if outcome == Outcome::DeadlineExceeded {
                        // The 20 ms that the request was held don't exceed the expected latency, so
                        // the missed deadline must not count as a failure.
                        prop_assert_eq!(window.limit(), before);
                    }
                    if window.limit() > before {
                        prop_assert!(matches!(outcome, Outcome::Answered(_)));
                        prop_assert!(window.limit() <= before * 2);
                        prop_assert!(history.may_grow(now));
                    }
                }
                Event::Release(_) => {}
                Event::Report(slots) => {
                    window.apply_load_report(slots, at(now));
                    prop_assert!(window.limit() <= before);
                }
                Event::Unreachable => {
                    window.mark_unreachable(at(now));
                    history.failures.clear();
                    prop_assert_eq!(window.limit(), COLD_SLOTS);
                }
                Event::Wait(milliseconds) => now += milliseconds,
            }
            if window.limit() != before {
                history.changes.push(now);
            }
            prop_assert_eq!(window.in_flight(), running);
            prop_assert!((COLD_SLOTS..=SLOTS).contains(&window.limit()));
        }
    }
}
