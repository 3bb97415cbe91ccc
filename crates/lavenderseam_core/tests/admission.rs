//! What a backend server is given: the window's properties.

use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_core::admission::{Admission, Bounds, Opener, Outcome, Reason, Settings, Window};
use lavenderseam_core::record::Slots;
use lavenderseam_core::time::Instant;
use proptest::prelude::*;

const SLOTS: u32 = 9;
const COLD: u32 = 2;

fn bounds() -> Bounds {
    Bounds::new(Slots(SLOTS), Slots(COLD), 100)
}

fn at(milliseconds: u64) -> Instant {
    Instant::default() + Duration::from_millis(milliseconds)
}

/// Fills the window and answers everything, every `step`, until `until`.
fn load(window: &mut Window, from: u64, until: u64, step: u64) {
    for now in (from..until).step_by(step as usize) {
        while window.acquire(at(now)).is_ok() {}
        while window.in_flight() > 0 {
            answer(window, now + step);
        }
    }
}

fn answer(window: &mut Window, now: u64) {
    let time = Duration::from_millis(10);
    window.release(Outcome::Answered(time), time, at(now));
}

fn warm() -> Window {
    let mut window = Window::new(bounds(), at(0));
    load(&mut window, 0, 60_000, 10);
    window
}

#[gtest]
fn it_starts_cold_and_warms_under_load() {
    let mut window = Window::new(bounds(), at(0));
    expect_that!(window.limit(), eq(COLD));
    load(&mut window, 0, 4_900, 10);
    expect_that!(window.limit(), eq(COLD));
    load(&mut window, 4_900, 60_000, 10);
    expect_that!(window.limit(), eq(SLOTS));
}

#[gtest]
fn it_does_not_grow_by_what_was_never_tried() {
    let mut window = Window::new(bounds(), at(0));
    for now in (0..60_000).step_by(10) {
        expect_that!(window.acquire(at(now)), ok(anything()));
        answer(&mut window, now + 5);
    }
    expect_that!(window.limit(), eq(COLD));
}

#[gtest]
fn one_refusal_halves_it_and_a_burst_makes_it_cold() {
    let mut window = warm();
    let held = Duration::from_millis(1);
    expect_that!(window.acquire(at(60_000)), ok(anything()));
    window.release(Outcome::Refused, held, at(60_001));
    expect_that!(window.limit(), eq(SLOTS / 2));
    expect_that!(window.acquire(at(60_002)), ok(anything()));
    window.release(Outcome::Failed, held, at(60_003));
    expect_that!(window.limit(), eq(COLD));
}

// Pattern: callers of a full service retry until their deadlines, so the last attempts have no time.
#[gtest]
fn a_deadline_that_left_no_time_shrinks_nothing() {
    let mut window = warm();
    let limit = window.limit();
    for now in 60_000..60_010 {
        expect_that!(window.acquire(at(now)), ok(anything()));
        window.release(Outcome::Late, Duration::from_millis(10), at(now + 10));
    }
    expect_that!(window.limit(), eq(limit));
    expect_that!(window.acquire(at(60_100)), ok(anything()));
    window.release(Outcome::Late, Duration::from_secs(1), at(61_100));
    expect_that!(window.limit(), lt(limit));
}

#[gtest]
fn an_unreachable_backend_server_is_cold_and_admits_no_flow() {
    let mut window = warm();
    let opener = Opener {
        connections: 0,
        passes: 0,
        draining: false,
        domain_out: false,
    };
    expect_that!(window.admits(&opener, at(60_000)), eq(Admission::Admitted));
    window.lost(at(60_000));
    expect_that!(window.limit(), eq(COLD));
    let refused = Admission::Refused(Reason::Unreachable);
    expect_that!(window.admits(&opener, at(60_500)), eq(refused));
    expect_that!(window.admits(&opener, at(61_500)), eq(Admission::Admitted));
}

#[gtest]
fn silence_makes_it_cold() {
    let mut idle = warm();
    expect_that!(idle.acquire(at(119_000)), ok(anything()));
    expect_that!(idle.limit(), eq(SLOTS));
    answer(&mut idle, 119_010);
    expect_that!(idle.acquire(at(180_000)), ok(anything()));
    expect_that!(idle.limit(), eq(COLD));

    let mut stalled = warm();
    expect_that!(stalled.acquire(at(60_010)), ok(anything()));
    expect_that!(stalled.acquire(at(62_000)), ok(anything()));
    expect_that!(stalled.limit(), eq(SLOTS));
    expect_that!(stalled.acquire(at(64_000)), err(anything()));
    expect_that!(stalled.limit(), eq(COLD));
}

#[gtest]
fn a_latency_jump_halves_it_once_a_round() {
    let mut window = warm();
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
fn a_report_lowers_it_and_is_overruled_in_the_end() {
    let mut window = warm();
    window.report(4, at(60_000));
    expect_that!(window.limit(), eq(4));
    load(&mut window, 60_000, 69_000, 10);
    expect_that!(window.limit(), eq(4));
    for now in (69_000..100_000).step_by(500) {
        window.report(4, at(now));
        load(&mut window, now, now + 500, 10);
    }
    expect_that!(window.limit(), eq(SLOTS));
    window.report(100, at(100_000));
    expect_that!(window.limit(), eq(SLOTS));
}

#[gtest]
fn an_opener_is_admitted_by_domain_drain_and_connections() {
    let window = warm();
    let opener = Opener {
        connections: 99,
        passes: 0,
        draining: false,
        domain_out: false,
    };
    let decide = |opener| window.admits(&opener, at(60_000));
    expect_that!(decide(opener), eq(Admission::Admitted));
    let full = Opener {
        connections: 100,
        ..opener
    };
    expect_that!(decide(full), eq(Admission::Refused(Reason::Connections)));
    let draining = Opener {
        draining: true,
        ..opener
    };
    expect_that!(decide(draining), eq(Admission::Refused(Reason::Draining)));
    let out = Opener {
        domain_out: true,
        ..opener
    };
    expect_that!(decide(out), eq(Admission::Refused(Reason::DomainOut)));
}

#[gtest]
fn a_cold_and_busy_target_passes_openers_on_twice() {
    let mut window = Window::new(bounds(), at(0));
    while window.acquire(at(1)).is_ok() {}
    let decide = |passes| {
        let opener = Opener {
            connections: 0,
            passes,
            draining: false,
            domain_out: false,
        };
        window.admits(&opener, at(1))
    };
    expect_that!(decide(0), eq(Admission::Refused(Reason::Window)));
    expect_that!(decide(1), eq(Admission::Refused(Reason::Window)));
    expect_that!(decide(2), eq(Admission::Admitted));
}

#[gtest]
fn refused_callers_that_come_back_when_told_find_a_slot_within_one_request() {
    let work = Duration::from_millis(40);
    let mut window = Window::new(bounds(), at(0));
    // Learns how long a request lasts.
    for now in (0..4_000).step_by(100) {
        expect_that!(window.acquire(at(now)), ok(anything()));
        window.release(Outcome::Answered(work), work, at(now + 40));
    }
    let start = at(4_000);
    let mut ends = Vec::new();
    for _ in 0..COLD {
        expect_that!(window.acquire(start), ok(anything()));
        ends.push(start + work);
    }
    let told: Vec<Duration> = (0..10)
        .filter_map(|_| window.acquire(start).err())
        .map(|full| full.retry_after)
        .collect();
    let expected: Vec<Duration> = (1..=10).map(|place| work / COLD * place).collect();
    expect_that!(told, eq(&expected));
    let mut waiting = told;
    for millisecond in 0..1_000 {
        let now = start + Duration::from_millis(millisecond);
        for _ in ends.extract_if(.., |end| *end <= now) {
            window.release(Outcome::Answered(work), work, now);
        }
        let back = |told: &mut Duration| start + *told <= now;
        waiting.retain_mut(|told| {
            let served = back(told) && window.acquire(now).is_ok();
            if served {
                ends.push(now + work);
                expect_that!(now.since(start + *told), le(work));
            }
            !served
        });
    }
    expect_that!(waiting, is_empty());
}

/// A backend server that bears one request for a while after a cold start, then more and more.
struct Warming {
    cold: u64,
    ramp: u64,
    slots: u32,
}

impl Warming {
    fn bears(&self, now: u64) -> u32 {
        let warming = now.saturating_sub(self.cold).min(self.ramp);
        1 + u32::try_from(u64::from(self.slots - 1) * warming / self.ramp).unwrap_or(0)
    }
}

#[gtest]
fn a_backend_server_that_has_just_started_is_never_given_more_than_it_bears() {
    for slots in [4, 9] {
        let backend = Warming {
            cold: 1_500,
            ramp: 5_000,
            slots,
        };
        let bounds = Bounds::new(Slots(slots), Slots(1), 100);
        let mut window = Window::new(bounds, at(0));
        for now in (0..40_000).step_by(10) {
            while window.acquire(at(now)).is_ok() {}
            expect_that!(window.in_flight(), le(backend.bears(now)));
            while window.in_flight() > 0 {
                answer(&mut window, now + 10);
            }
        }
        expect_that!(window.limit(), eq(slots));
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Acquire,
    Release(Outcome),
    Report(u32),
    Lost,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        6 => (1_u64..80).prop_map(|ms| Outcome::Answered(Duration::from_millis(ms))),
        1 => Just(Outcome::Refused),
        1 => Just(Outcome::Failed),
        1 => Just(Outcome::Late),
        1 => Just(Outcome::Cancelled),
    ];
    prop_oneof![
        8 => Just(Step::Acquire),
        8 => outcome.prop_map(Step::Release),
        1 => (0_u32..12).prop_map(Step::Report),
        1 => Just(Step::Lost),
        4 => (1_u64..4_000).prop_map(Step::Wait),
    ]
}

/// The naive reference: the whole history, looked through anew at each step.
#[derive(Default)]
struct History {
    failures: Vec<u64>,
    changes: Vec<u64>,
}

impl History {
    fn is_burst(&self, now: u64) -> bool {
        let settings = Settings::default();
        let burst = settings.burst.as_millis() as u64;
        let recent = self.failures.iter().filter(|at| now - **at < burst).count();
        recent >= settings.burst_count as usize
    }

    fn may_grow(&self, now: u64) -> bool {
        let round = Settings::default().round.as_millis() as u64;
        self.changes.last().is_none_or(|last| now - last >= round)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_step_keeps_the_bounds(steps in prop::collection::vec(step(), 1..400)) {
        let mut window = Window::new(bounds(), at(0));
        let mut history = History::default();
        let mut now = 0;
        let mut running = 0_u32;
        for step in steps {
            let before = window.limit();
            match step {
                Step::Acquire => {
                    let admitted = window.acquire(at(now)).is_ok();
                    // Silence may have lowered the limit first.
                    prop_assert_eq!(admitted, running < window.limit());
                    prop_assert!(window.limit() <= before);
                    running += u32::from(admitted);
                }
                Step::Release(outcome) if running > 0 => {
                    running -= 1;
                    window.release(outcome, Duration::from_millis(20), at(now));
                    let failed = matches!(outcome, Outcome::Refused | Outcome::Failed);
                    if failed {
                        history.failures.push(now);
                        if history.is_burst(now) {
                            prop_assert_eq!(window.limit(), COLD);
                            history.failures.clear();
                        }
                        prop_assert!(window.limit() <= (before / 2).max(COLD));
                    }
                    if outcome == Outcome::Late {
                        // 20 ms are no more than it usually takes.
                        prop_assert_eq!(window.limit(), before);
                    }
                    if window.limit() > before {
                        prop_assert!(matches!(outcome, Outcome::Answered(_)));
                        prop_assert!(window.limit() <= before * 2);
                        prop_assert!(history.may_grow(now));
                    }
                }
                Step::Release(_) => {}
                Step::Report(slots) => {
                    window.report(slots, at(now));
                    prop_assert!(window.limit() <= before);
                }
                Step::Lost => {
                    window.lost(at(now));
                    history.failures.clear();
                    prop_assert_eq!(window.limit(), COLD);
                }
                Step::Wait(span) => now += span,
            }
            if window.limit() != before {
                history.changes.push(now);
            }
            prop_assert_eq!(window.in_flight(), running);
            prop_assert!((COLD..=SLOTS).contains(&window.limit()));
        }
    }
}
