//! Conditional changes against racing writers, lost answers and outages, in virtual time.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_core::catalog::Entry;
use lavenderseam_core::record::{Document, Id, Kind, Schema};
use lavenderseam_platform::fake::{Fake, Faults};
use lavenderseam_platform::write::{Change, Outcome, Policy, update};
use lavenderseam_platform::{Condition, Error, Store};

fn id() -> Id {
    Id::new(Kind::FailureDomain, "suva-a")
}

/// Adds one to a count in the record, so that a change done twice shows.
fn increment(held: Option<&Entry>) -> Change {
    let held = held.and_then(|entry| entry.document.clone());
    let mut document = held.unwrap_or_else(|| Document::new(id().kind, id().name, Schema(1)));
    let count = document
        .spec
        .get("count")
        .and_then(serde_json::Value::as_u64);
    document
        .spec
        .insert("count".to_owned(), (count.unwrap_or(0) + 1).into());
    Change::Put(document)
}

async fn count(store: &Fake) -> u64 {
    store.set(Faults::default());
    let entry = store.get(&id()).await.unwrap().unwrap();
    entry.document.unwrap().spec["count"].as_u64().unwrap()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_settled_by_reading_back() {
    let store = Fake::new();
    store.set(Faults {
        lost_answers: 1,
        ..Faults::default()
    });
    let outcome = update(&store, &id(), Policy::default(), increment).await;
    assert_that!(outcome, ok(anything()));
    assert_that!(count(&store).await, eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_lost_write_is_sent_again() {
    let store = Fake::new();
    store.set(Faults {
        lost_writes: 2,
        ..Faults::default()
    });
    let outcome = update(&store, &id(), Policy::default(), increment).await;
    assert_that!(outcome, ok(anything()));
    assert_that!(count(&store).await, eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn racing_changes_are_all_done_once() {
    let store = Arc::new(Fake::new());
    store.set(Faults {
        delay: Duration::from_millis(10),
        lost_answers: 3,
        lost_writes: 2,
        ..Faults::default()
    });
    let policy = Policy {
        attempts: 200,
        ..Policy::default()
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
async fn a_stale_write_is_a_conflict() {
    let store = Fake::new();
    let document = Document::new(id().kind, id().name, Schema(1));
    let first = store.put(&document, Condition::Absent).await.unwrap();
    let second = store.put(&document, Condition::At(first)).await.unwrap();
    let stale = store.put(&document, Condition::At(first)).await;
    assert_that!(stale, err(eq(&Error::Conflict(Some(second)))));
    let absent = store.put(&document, Condition::Absent).await;
    assert_that!(absent, err(eq(&Error::Conflict(Some(second)))));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn the_change_decides_again_after_a_conflict() {
    let store = Fake::new();
    let document = Document::new(id().kind, id().name, Schema(1));
    let mut racing = Some(store.put(&document, Condition::Absent).await.unwrap());
    let mut decisions = 0;
    let policy = Policy::default();
    let outcome = update(&store, &id(), policy, |held| {
        decisions += 1;
        if let Some(first) = racing.take() {
            let raced = store.put(&document, Condition::At(first));
            futures_executor(raced);
            return Change::Put(held.unwrap().document.clone().unwrap());
        }
        Change::Keep
    })
    .await;
    assert_that!(
        outcome,
        ok(matches_pattern!(Outcome::Kept(some(anything()))))
    );
    assert_that!(decisions, eq(2));
}

/// Runs a future that never waits.
fn futures_executor<F: Future>(future: F) {
    let mut future = std::pin::pin!(future);
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    // The fake sleeps for its delay of zero, which takes a few polls.
    for _ in 0..8 {
        if future.as_mut().poll(&mut context).is_ready() {
            return;
        }
    }
    panic!("the future waits");
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_outage_writes_nothing_and_says_so() {
    let store = Fake::new();
    store.set(Faults {
        away: true,
        ..Faults::default()
    });
    let outcome = update(&store, &id(), Policy::default(), increment).await;
    assert_that!(outcome, err(eq(&Error::Unreachable)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_refusal_for_the_rate_is_waited_for() {
    let store = Arc::new(Fake::new());
    store.set(Faults {
        allowance: Some(0),
        ..Faults::default()
    });
    let later = Arc::clone(&store);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(250)).await;
        later.set(Faults::default());
    });
    let outcome = update(&*store, &id(), Policy::default(), increment).await;
    assert_that!(outcome, ok(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_deletion_without_an_answer_is_settled() {
    let store = Fake::new();
    let document = Document::new(id().kind, id().name, Schema(1));
    store.put(&document, Condition::Absent).await.unwrap();
    store.set(Faults {
        lost_answers: 1,
        ..Faults::default()
    });
    let outcome = update(&store, &id(), Policy::default(), |_| Change::Delete).await;
    assert_that!(outcome, ok(anything()));
    assert_that!(store.get(&id()).await, ok(none()));
}
