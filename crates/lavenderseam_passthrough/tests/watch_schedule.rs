//! How often balancers together ask the store.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_core::time::Instant;
use lavenderseam_passthrough::watch_schedule::WatchSchedule;

fn schedules(count: u8) -> Vec<WatchSchedule> {
    let address = |index| SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, index), 7_000);
    (0..count)
        .map(|index| WatchSchedule::new(address(index)))
        .collect()
}

/// Guards against a restored store that no balancer notices for long, because their watches began
/// together and end together.
#[gtest]
fn watches_that_began_together_end_in_turn() {
    for count in [1, 4, 12, 40] {
        let mut schedules = schedules(count);
        for _ in 0..20 {
            let ends = schedules
                .iter_mut()
                .map(|schedule| schedule.next_in_turn(usize::from(count)));
            let first = ends.min().unwrap_or_default();
            expect_that!(first, le(Duration::from_secs(3)), "{count} balancers");
        }
    }
}

/// Guards against calls to the store that grow with the number of balancers.
#[gtest]
fn balancers_together_ask_a_few_times_a_second() {
    for count in [4, 12, 40] {
        let mut schedules = schedules(count);
        let rates = schedules.iter_mut().map(|schedule| {
            let total: Duration = (0..100)
                .map(|_| schedule.next_in_turn(usize::from(count)))
                .sum();
            100.0 / total.as_secs_f64()
        });
        expect_that!(rates.sum::<f64>(), le(4.5), "{count} balancers");
    }
}

#[gtest]
fn a_large_fleet_asks_as_rarely_as_without_turns() {
    let mut schedule = WatchSchedule::new(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7_000));
    let mean = (0..100)
        .map(|_| schedule.next_in_turn(7_000))
        .sum::<Duration>()
        / 100;
    expect_that!(mean, ge(Duration::from_secs(15)));
    expect_that!(mean, le(Duration::from_secs(20)));
}

/// Operators apply 25 versions within two seconds, each of which ends the watch of every balancer.
#[gtest]
fn a_series_of_changes_ends_few_watches() {
    const GAP_MS: u64 = 80;
    const CHANGES: u64 = 25;
    let mut schedule = schedules(1).remove(0);
    let mut watches = 0;
    let mut watching_from_ms = 0;
    let mut seen = 0;
    while seen < CHANGES {
        // A watch returns all changes since the last one, or waits for the next.
        let made = (watching_from_ms / GAP_MS).min(CHANGES);
        let now_ms = if made > seen {
            watching_from_ms
        } else {
            (seen + 1) * GAP_MS
        };
        seen = now_ms / GAP_MS;
        watches += 1;
        let now = Instant(1_000_000 + now_ms * 1_000);
        watching_from_ms = now_ms + schedule.on_change(now).as_millis() as u64;
    }
    expect_that!(watches, le(9));
    expect_that!(watching_from_ms, le(CHANGES * GAP_MS + 600));
}

/// A single change costs one call, and the next watch must not start later than before.
#[gtest]
fn a_single_change_causes_no_pause() {
    let mut schedule = schedules(1).remove(0);
    for seconds in [1, 3, 5] {
        let pause = schedule.on_change(Instant(seconds * 1_000_000));
        expect_that!(pause, eq(Duration::ZERO));
    }
}

/// Guards against a watch that lasts for 20 s after its connection has gone silent: most of the balancers
/// that would have renewed theirs meanwhile have been replaced since it began.
#[gtest]
fn a_watch_lasts_no_longer_than_the_balancers_that_still_run_allow() {
    for mut schedule in schedules(40) {
        let duration = schedule.next_renewal(14);
        expect_that!(schedule.duration_for(14), eq(duration));
        expect_that!(schedule.duration_for(60), ge(duration));
        expect_that!(schedule.duration_for(2), le(Duration::from_secs(3)));
        let duration = schedule.next_in_turn(40);
        expect_that!(schedule.duration_for(40), eq(duration));
        expect_that!(schedule.duration_for(2), le(Duration::from_secs(1)));
    }
}

/// Returns the time from `at` until the first balancer renews its watch.
fn time_to_renewal(count: u8, at: Duration) -> Duration {
    let residual = |mut schedule: WatchSchedule| {
        let mut ends_at = Duration::ZERO;
        while ends_at <= at {
            ends_at += schedule.next_renewal(usize::from(count));
        }
        ends_at - at
    };
    let residuals = schedules(count).into_iter().map(residual);
    residuals.min().unwrap_or_default()
}

/// All connections to the store go silent for good, and operators then take a failure domain out. The
/// order must be in force within 5 s, of which gossip takes 0.5 s.
#[gtest]
fn some_watch_is_renewed_soon_after_all_connections_have_gone_silent() {
    const MOMENTS: u64 = 1_000;
    for count in [4, 7, 23, 59] {
        let moments = (0..MOMENTS).map(|index| Duration::from_millis(10 + index * 97));
        let late = moments.filter(|at| time_to_renewal(count, *at) > Duration::from_millis(4_500));
        // A share of the moments, because the renewals of few balancers are random.
        expect_that!(late.count() as u64, le(MOMENTS / 100), "{count} balancers");
    }
}
