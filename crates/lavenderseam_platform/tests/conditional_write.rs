//! Tests of conditional updates under concurrent writers, lost responses and outages, in virtual
//! time.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_core::catalog::Entry;
use lavenderseam_core::record::{Document, Id, Kind, Schema};
use lavenderseam_platform::conditional_write::{Decision, RetryPolicy, UpdateOutcome, update};
use lavenderseam_platform::fake::{FakeStore, Faults};
use lavenderseam_platform::{Condition, Error, Store};

fn id() -> Id {
    Id::new(Kind::FailureDomain, "suva-a")
}

/// Increments a count in the record, so that an update that takes effect twice is detected.
fn increment(current: Option<&Entry>) -> Decision {
    let current = current.and_then(|entry| entry.document.clone());
    let mut document = current.unwrap_or_else(|| Document::new(id().kind, id().name, Schema(1)));
    let count = document
        .spec
        .get("count")
        .and_then(serde_json::Value::as_u64);
    document
        .spec
        .insert("count".to_owned(), (count.unwrap_or(0) + 1).into());
    Decision::Put(document)
}

async fn count(store: &FakeStore) -> u64 {
    store.set_faults(Faults::default());
    let entry = store.get(&id()).await.unwrap().unwrap();
    entry.document.unwrap().spec["count"].as_u64().unwrap()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn lost_response_is_resolved_by_reading_back() {
    let store = FakeStore::new();
    store.set_faults(Faults {
        lost_responses: 1,
        ..Faults::default()
    });
    let outcome = update(&store, &id(), RetryPolicy::default(), increment).await;
    assert_that!(outcome, ok(anything()));
    assert_that!(count(&store).await, eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn lost_write_is_sent_again() {
    let store = FakeStore::new();
    store.set_faults(Faults {
        lost_writes: 2,
        ..Faults::default()
    });
    let outcome = update(&store, &id(), RetryPolicy::default(), increment).await;
    assert_that!(outcome, ok(anything()));
    assert_that!(count(&store).await, eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn concurrent_updates_each_take_effect_once() {
    let store = Arc::new(FakeStore::new());
    store.set_faults(Faults {
        delay: Duration::from_millis(10),
        lost_responses: 3,
        lost_writes: 2,
        ..Faults::default()
    });
    let policy = RetryPolicy {
        retries: 200,
        ..RetryPolicy::default()
    };
    let writers = (0..8).map(|_| {
        let store = Arc::clone(&store);
        tokio::spawn(async move { update(&*store, &id(), policy, increment).await })
    });
    for writer in writers.collect::<Vec<_>>() {
        assert_that!(writer.await.unwrap(), ok(anything()));
    }
    assert_that!(count(&store).await, eq(8));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn write_at_an_old_revision_is_a_conflict() {
    let store = FakeStore::new();
    let document = Document::new(id().kind, id().name, Schema(1));
    let first = store.put(&document, Condition::Absent).await.unwrap();
    let second = store
        .put(&document, Condition::AtRevision(first))
        .await
        .unwrap();
    let stale = store.put(&document, Condition::AtRevision(first)).await;
    assert_that!(stale, err(eq(&Error::Conflict(Some(second)))));
    let absent = store.put(&document, Condition::Absent).await;
    assert_that!(absent, err(eq(&Error::Conflict(Some(second)))));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn update_decides_again_after_a_conflict() {
    let store = FakeStore::new();
    let document = Document::new(id().kind, id().name, Schema(1));
    let mut revision_to_replace = Some(store.put(&document, Condition::Absent).await.unwrap());
    let mut decisions = 0;
    let policy = RetryPolicy::default();
    let outcome = update(&store, &id(), policy, |current| {
        decisions += 1;
        if let Some(first) = revision_to_replace.take() {
            let concurrent_write = store.put(&document, Condition::AtRevision(first));
            poll_to_completion(concurrent_write);
            return Decision::Put(current.unwrap().document.clone().unwrap());
        }
        Decision::Keep
    })
    .await;
    assert_that!(
        outcome,
        ok(matches_pattern!(UpdateOutcome::Unchanged(some(anything()))))
    );
    assert_that!(decisions, eq(2));
}

/// Polls a future that is ready after a few polls to completion.
fn poll_to_completion<F: Future>(future: F) {
    let mut future = std::pin::pin!(future);
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    // The in-memory store sleeps for its delay of zero, which takes a few polls.
    for _ in 0..8 {
        if future.as_mut().poll(&mut context).is_ready() {
            return;
        }
    }
    panic!("the future is still pending after 8 polls");
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn outage_fails_the_update_as_unreachable() {
    let store = FakeStore::new();
    store.set_faults(Faults {
        unreachable: true,
        ..Faults::default()
    });
    let outcome = update(&store, &id(), RetryPolicy::default(), increment).await;
    assert_that!(outcome, err(eq(&Error::Unreachable)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn update_waits_while_rate_limited() {
    let store = Arc::new(FakeStore::new());
    store.set_faults(Faults {
        calls_until_throttled: Some(0),
        ..Faults::default()
    });
    let cleared = Arc::clone(&store);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(250)).await;
        cleared.set_faults(Faults::default());
    });
    let outcome = update(&*store, &id(), RetryPolicy::default(), increment).await;
    assert_that!(outcome, ok(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn deletion_with_a_lost_response_is_resolved() {
    let store = FakeStore::new();
    let document = Document::new(id().kind, id().name, Schema(1));
    store.put(&document, Condition::Absent).await.unwrap();
    store.set_faults(Faults {
        lost_responses: 1,
        ..Faults::default()
    });
    let outcome = update(&store, &id(), RetryPolicy::default(), |_| Decision::Delete).await;
    assert_that!(outcome, ok(anything()));
    assert_that!(store.get(&id()).await, ok(none()));
}

/// Guards against an update that is reported as written although a restore of the store discarded
/// it while its response was lost.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_write_that_a_restore_discarded_is_made_again() {
    let store = Arc::new(FakeStore::new());
    update(store.as_ref(), &id(), RetryPolicy::default(), increment)
        .await
        .unwrap();
    let snapshot = store.snapshot();
    store.set_faults(Faults {
        lost_responses: 1,
        ..Faults::default()
    });
    let mut decisions = 0;
    let outcome = update(store.as_ref(), &id(), RetryPolicy::default(), |current| {
        decisions += 1;
        if decisions == 1 {
            let (store, snapshot) = (Arc::clone(&store), snapshot.clone());
            tokio::spawn(async move { store.restore(snapshot) });
        }
        increment(current)
    })
    .await;
    expect_that!(outcome, ok(anything()));
    expect_that!(count(&store).await, eq(2));
}
