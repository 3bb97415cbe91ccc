//! Object store and rate limit of the simulated platform: preconditions, revisions and history.

use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_bench::stand_ins::platform::{ObjectStore, Precondition, Rejection, TokenBucket};
use serde_json::json;

#[gtest]
fn writes_require_their_precondition() {
    let mut objects = ObjectStore::default();
    let first = objects.put("Service", "a", json!({"n": 1}), Precondition::Absent);
    expect_that!(first, ok(eq(1)));
    let again = objects.put("Service", "a", json!({"n": 2}), Precondition::Absent);
    expect_that!(again, err(eq(Rejection::Conflict(Some(1)))));
    let stale = objects.put("Service", "a", json!({"n": 2}), Precondition::At(7));
    expect_that!(stale, err(eq(Rejection::Conflict(Some(1)))));
    let missing = objects.put("Service", "b", json!({}), Precondition::At(1));
    expect_that!(missing, err(eq(Rejection::Conflict(None))));
    let next = objects.put("Service", "a", json!({"n": 2}), Precondition::At(1));
    expect_that!(next, ok(eq(2)));
    let stored = objects.get("Service", "a").unwrap();
    expect_that!(stored.document, eq(&json!({"n": 2})));
}

#[gtest]
fn watches_see_deletions() {
    let mut objects = ObjectStore::default();
    objects
        .put("Drain", "a", json!({}), Precondition::Absent)
        .unwrap();
    let stale = objects.delete("Drain", "a", 9);
    expect_that!(stale, err(eq(Rejection::Conflict(Some(1)))));
    expect_that!(objects.delete("Drain", "b", 1), err(eq(Rejection::Missing)));
    expect_that!(objects.delete("Drain", "a", 1), ok(eq(2)));
    let changes = objects.changes(1).unwrap();
    expect_that!(changes.entries, len(eq(1)));
    expect_that!(changes.entries[0].document, none());
    expect_that!(objects.list().entries, is_empty());
}

#[gtest]
fn old_changes_are_compacted() {
    let mut objects = ObjectStore::default();
    objects
        .put("Verdict", "a", json!({}), Precondition::Absent)
        .unwrap();
    for revision in 1..=10_050 {
        let written = objects.put("Verdict", "a", json!({}), Precondition::At(revision));
        expect_that!(written, ok(eq(revision + 1)));
    }
    expect_that!(objects.changes(3), err(eq(&Rejection::Compacted)));
    expect_that!(objects.changes(10_050).unwrap().entries, len(eq(1)));
}

#[gtest]
fn rejects_large_objects() {
    let mut objects = ObjectStore::default();
    let large = json!({"text": "x".repeat(1 << 20)});
    let rejected = objects.put("Service", "a", large, Precondition::Absent);
    expect_that!(rejected, err(eq(Rejection::Oversized)));
    expect_that!(objects.revision(), eq(0));
}

#[gtest]
fn token_bucket_limits_the_rate() {
    let mut bucket = TokenBucket::new(10);
    let mut served = 0;
    for tenth in 0..30 {
        let now = Duration::from_millis(100 * tenth);
        while bucket.try_acquire(now).is_ok() {
            served += 1;
        }
    }
    // A full bucket, then one call each tenth of a second; rounding may leave one for later.
    expect_that!(served, all!(ge(10 + 28), le(10 + 29)));
}
