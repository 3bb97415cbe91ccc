//! The object API's store: conditions, revisions and history.

use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_bench::standins::platform::{Condition, Objects, Quota, Rejection};
use serde_json::json;

#[gtest]
fn writes_only_under_their_condition() {
    let mut objects = Objects::default();
    let first = objects.put("Service", "a", json!({"n": 1}), Condition::Absent);
    expect_that!(first, ok(eq(1)));
    let again = objects.put("Service", "a", json!({"n": 2}), Condition::Absent);
    expect_that!(again, err(eq(Rejection::Conflict(Some(1)))));
    let late = objects.put("Service", "a", json!({"n": 2}), Condition::At(7));
    expect_that!(late, err(eq(Rejection::Conflict(Some(1)))));
    let missing = objects.put("Service", "b", json!({}), Condition::At(1));
    expect_that!(missing, err(eq(Rejection::Conflict(None))));
    let next = objects.put("Service", "a", json!({"n": 2}), Condition::At(1));
    expect_that!(next, ok(eq(2)));
    let held = objects.get("Service", "a").unwrap();
    expect_that!(held.document, eq(&json!({"n": 2})));
}

#[gtest]
fn shows_deletions_to_watches() {
    let mut objects = Objects::default();
    objects
        .put("Drain", "a", json!({}), Condition::Absent)
        .unwrap();
    let late = objects.delete("Drain", "a", 9);
    expect_that!(late, err(eq(Rejection::Conflict(Some(1)))));
    expect_that!(objects.delete("Drain", "b", 1), err(eq(Rejection::Missing)));
    expect_that!(objects.delete("Drain", "a", 1), ok(eq(2)));
    let changes = objects.changes(1).unwrap();
    expect_that!(changes.entries, len(eq(1)));
    expect_that!(changes.entries[0].document, none());
    expect_that!(objects.list().entries, is_empty());
}

#[gtest]
fn forgets_old_changes() {
    let mut objects = Objects::default();
    objects
        .put("Verdict", "a", json!({}), Condition::Absent)
        .unwrap();
    for revision in 1..=10_050 {
        let written = objects.put("Verdict", "a", json!({}), Condition::At(revision));
        expect_that!(written, ok(eq(revision + 1)));
    }
    expect_that!(objects.changes(3), err(eq(&Rejection::Compacted)));
    expect_that!(objects.changes(10_050).unwrap().entries, len(eq(1)));
}

#[gtest]
fn rejects_large_objects() {
    let mut objects = Objects::default();
    let large = json!({"text": "x".repeat(1 << 20)});
    let rejected = objects.put("Service", "a", large, Condition::Absent);
    expect_that!(rejected, err(eq(Rejection::Oversized)));
    expect_that!(objects.revision(), eq(0));
}

#[gtest]
fn serves_its_rate_and_no_more() {
    let mut quota = Quota::new(10);
    let mut served = 0;
    for tenth in 0..30 {
        let now = Duration::from_millis(100 * tenth);
        while quota.take(now).is_ok() {
            served += 1;
        }
    }
    // A full bucket, then one call each tenth of a second; rounding may leave one for later.
    expect_that!(served, all!(ge(10 + 28), le(10 + 29)));
}
