//! Reads of a balancer that starts while the store is silent.

use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_passthrough::read_schedule::ReadSchedule;

/// Returns the time from the store's return to the answer of the next read, if every read that was
/// sent before remains unanswered.
fn detection_time(outage: Duration) -> Duration {
    let mut schedule = ReadSchedule::new();
    let mut sent_at = Duration::ZERO;
    while sent_at < outage {
        sent_at += schedule.timeout() + schedule.on_failure();
    }
    sent_at - outage
}

/// All processes are killed while the store is silent for a moment: nothing is served until a balancer
/// has read its desired state.
#[gtest]
fn a_short_outage_at_the_start_ends_soon_after_the_store_returns() {
    for outage_ms in (50..1_400).step_by(50) {
        let detected = detection_time(Duration::from_millis(outage_ms));
        expect_that!(detected, le(Duration::from_millis(350)), "{outage_ms} ms");
    }
}

/// Many balancers wait for a store that is away for long.
#[gtest]
fn a_long_outage_costs_a_read_in_two_seconds() {
    let mut schedule = ReadSchedule::new();
    for _ in 0..100 {
        schedule.on_failure();
    }
    expect_that!(schedule.timeout(), eq(Duration::from_secs(1)));
    expect_that!(schedule.on_failure(), eq(Duration::from_secs(1)));
}

/// A store that is slow must get the time to answer in the end.
#[gtest]
fn timeouts_grow_up_to_a_second() {
    let mut schedule = ReadSchedule::new();
    let mut last = schedule.timeout();
    for _ in 0..40 {
        schedule.on_failure();
        expect_that!(schedule.timeout(), ge(last));
        last = schedule.timeout();
    }
    expect_that!(last, eq(Duration::from_secs(1)));
}
