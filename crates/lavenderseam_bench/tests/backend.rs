//! Request capacity, journal and file contents of the simulated backend server.

use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_bench::stand_ins::backend::{Admission, Capacity, Journal, JournalEntry, content};
use proptest::collection::vec;
use proptest::prelude::{any, prop_assert, prop_assert_eq, prop_assert_ne, proptest};

const COLD_DURATION: Duration = Duration::from_secs(1);
const RAMP_DURATION: Duration = Duration::from_secs(4);

#[gtest]
fn limit_grows_after_cold_start() {
    let mut capacity = Capacity::new(5, COLD_DURATION, RAMP_DURATION);
    expect_that!(capacity.limit(Duration::ZERO), eq(5));
    capacity.start_cold_phase(Duration::ZERO);
    expect_that!(capacity.limit(Duration::from_millis(999)), eq(1));
    expect_that!(capacity.limit(Duration::from_secs(3)), eq(3));
    expect_that!(capacity.limit(Duration::from_secs(5)), eq(5));
}

#[gtest]
fn rejects_requests_when_warm_and_full() {
    let mut capacity = Capacity::new(2, COLD_DURATION, RAMP_DURATION);
    let now = Duration::ZERO;
    let (first, generation) = capacity.admit(now);
    expect_that!(first, eq(Admission::Run));
    expect_that!(capacity.admit(now).0, eq(Admission::Run));
    expect_that!(capacity.admit(now).0, eq(Admission::Shed));
    capacity.finish(generation);
    expect_that!(capacity.admit(now).0, eq(Admission::Run));
    expect_that!(capacity.peak_overload(), eq(0.0));
}

#[gtest]
fn crashes_when_cold_and_overloaded() {
    let mut capacity = Capacity::new(4, COLD_DURATION, RAMP_DURATION);
    let now = Duration::ZERO;
    capacity.start_cold_phase(now);
    let (first, generation) = capacity.admit(now);
    expect_that!(first, eq(Admission::Run));
    expect_that!(capacity.admit(now).0, eq(Admission::Run));
    expect_that!(capacity.peak_overload(), eq(2.0));
    expect_that!(capacity.admit(now).0, eq(Admission::Crash));
    let after = (
        capacity.peak_overload(),
        capacity.crashes(),
        capacity.in_use(),
    );
    expect_that!(after, eq((3.0, 1, 0)));
    expect_that!(capacity.finish(generation), eq(false));
}

#[gtest]
fn journal_survives_restarts() {
    let name = format!("lavenderseam-bench-journal-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    let run = JournalEntry::EditRun {
        id: "edit 7".to_owned(),
        at_ms: 3,
    };
    let lines = vec![
        JournalEntry::Arrival(1),
        JournalEntry::Started(2),
        run,
        JournalEntry::Overload(1.5),
        JournalEntry::Crash(4),
    ];
    for line in &lines {
        Journal::open(&path).unwrap().append_entry(line);
    }
    let read = Journal::read(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    expect_that!(read, eq(&lines));
    expect_that!(Journal::read(&path).unwrap(), is_empty());
}

proptest! {
    #[test]
    fn never_exceeds_the_crash_threshold(steps in vec(any::<bool>(), 1..200)) {
        let mut capacity = Capacity::new(8, COLD_DURATION, RAMP_DURATION);
        capacity.start_cold_phase(Duration::ZERO);
        let mut running = Vec::new();
        for (index, begins) in steps.into_iter().enumerate() {
            let now = Duration::from_millis(50 * index as u64);
            if begins {
                let (admission, generation) = capacity.admit(now);
                if admission == Admission::Run {
                    running.push(generation);
                }
            } else if let Some(generation) = running.pop() {
                capacity.finish(generation);
            }
            prop_assert!(capacity.in_use() <= 2 * capacity.limit(now));
        }
    }

    #[test]
    fn files_differ_between_services(bytes in 8_usize..2_000) {
        let own = content::file("trail-status", bytes);
        prop_assert_eq!(own.len(), bytes);
        prop_assert_eq!(&own, &content::file("trail-status", bytes));
        let other = content::file("map-store", bytes);
        prop_assert_ne!(content::hash(&own), content::hash(&other));
    }
}
