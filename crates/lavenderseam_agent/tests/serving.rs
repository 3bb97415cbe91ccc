//! Requests from a caller through an agent to a backend server.

mod cluster;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cluster::{Cluster, TestBackend, wait_until};
use googletest::prelude::*;
use lavenderseam_caller::{Failure, Outcome};
use lavenderseam_core::request::IdempotencyKey;

/// Concurrent requests that the cluster's group record allows while the backend server is cold.
const COLD_SLOTS: usize = 2;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_is_answered() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = TestBackend::start().await;
    let _agent = cluster.start_agent("groomer-1", &backend).await;
    let caller = cluster.new_caller();
    let answer = caller.get("/lookup/7").await.ok().or_fail()?;
    expect_that!(answer.status.as_u16(), eq(200));
    expect_that!(answer.body.as_ref(), eq(b"7"));
    verify_that!(caller.statistics().flows_opened, eq(1))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_echo_counts_each_flow_once() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = TestBackend::start().await;
    let agent = cluster.start_agent("groomer-1", &backend).await;
    let caller = cluster.new_caller();
    caller.get("/lookup/7").await.ok().or_fail()?;
    let reply = cluster.probe(&agent).await;
    verify_that!(reply.flows, eq(1))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_download_is_complete() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = TestBackend::start().await;
    let _agent = cluster.start_agent("groomer-1", &backend).await;
    let bytes = 3_000_000;
    let caller = cluster.new_caller();
    let outcome = caller
        .download(&format!("/files/{bytes}"), REQUEST_TIMEOUT)
        .await;
    let download = outcome.ok().or_fail()?;
    expect_that!(download.hash_verified, eq(true));
    verify_that!(download.response.body.len(), eq(bytes))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_edit_runs_once() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = TestBackend::start().await;
    let _agent = cluster.start_agent("groomer-1", &backend).await;
    let caller = cluster.new_caller();
    let key: IdempotencyKey = "edit-1".parse().or_fail()?;
    for _ in 0..3 {
        let outcome = caller
            .post_once("/edits", &key, "one".into(), REQUEST_TIMEOUT)
            .await;
        let answer = outcome.ok().or_fail()?;
        expect_that!(answer.body.as_ref(), eq(b"one"));
    }
    verify_that!(backend.runs("one"), eq(1))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_response_is_never_a_success() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = TestBackend::start().await;
    let _agent = cluster.start_agent("groomer-1", &backend).await;
    let request_timeout = Duration::from_millis(500);
    let outcome = cluster
        .new_caller()
        .download("/cut/200000", request_timeout)
        .await;
    verify_that!(outcome, matches_pattern!(Outcome::Unknown(anything())))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_to_another_request_is_an_error() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = TestBackend::start().await;
    let _agent = cluster.start_agent("groomer-1", &backend).await;
    let request_timeout = Duration::from_millis(300);
    let outcome = cluster
        .new_caller()
        .get_with_timeout("/crossed", request_timeout)
        .await;
    verify_that!(outcome, matches_pattern!(Outcome::Unknown(anything())))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_cancels_stops_the_backend_servers_work() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = TestBackend::start().await;
    backend.counters.work_ms.store(60_000, Ordering::SeqCst);
    let _agent = cluster.start_agent("groomer-1", &backend).await;
    let caller = cluster.new_caller();
    let lookup = tokio::spawn({
        let caller = caller.clone();
        async move { caller.get("/lookup/1").await }
    });
    let edit = tokio::spawn(async move {
        let key: IdempotencyKey = "given-up".parse().unwrap();
        caller
            .post_once("/edits", &key, "one".into(), REQUEST_TIMEOUT)
            .await
    });
    wait_until(|| backend.counters.in_flight.load(Ordering::SeqCst) == 2).await;
    lookup.abort();
    edit.abort();
    wait_until(|| backend.counters.cancelled.load(Ordering::SeqCst) == 2).await;
    verify_that!(backend.counters.in_flight.load(Ordering::SeqCst), eq(0))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_deadline_stops_the_backend_servers_work() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = TestBackend::start().await;
    backend.counters.work_ms.store(60_000, Ordering::SeqCst);
    let _agent = cluster.start_agent("groomer-1", &backend).await;
    let caller = cluster.new_caller();
    // Long enough to reach the backend server on a busy machine, but shorter than its 60 s of work.
    let request_timeout = Duration::from_secs(3);
    let key: IdempotencyKey = "late".parse().or_fail()?;
    let lookup = caller.get_with_timeout("/lookup/1", request_timeout).await;
    expect_that!(lookup, matches_pattern!(Outcome::Unknown(anything())));
    let edit = caller
        .post_once("/edits", &key, "late".into(), request_timeout)
        .await;
    expect_that!(edit, matches_pattern!(Outcome::Unknown(anything())));
    wait_until(|| backend.counters.cancelled.load(Ordering::SeqCst) == 2).await;
    // A retry with a new deadline gets an unknown outcome and doesn't run the edit again.
    let again = caller
        .post_once("/edits", &key, "late".into(), REQUEST_TIMEOUT)
        .await;
    expect_that!(again, matches_pattern!(Outcome::Unknown(anything())));
    verify_that!(backend.runs("late"), eq(1))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_full_window_refuses_at_once_with_a_retry_delay() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = TestBackend::start().await;
    backend.counters.work_ms.store(60_000, Ordering::SeqCst);
    let _agent = cluster.start_agent("groomer-1", &backend).await;
    let busy_caller = cluster.new_caller();
    for n in 0..COLD_SLOTS {
        let busy_caller = busy_caller.clone();
        tokio::spawn(async move { busy_caller.get(&format!("/lookup/{n}")).await });
    }
    wait_until(|| backend.counters.in_flight.load(Ordering::SeqCst) == COLD_SLOTS).await;
    let request_timeout = Duration::from_millis(200);
    let key: IdempotencyKey = "refused".parse().or_fail()?;
    let caller = cluster.new_caller();
    let outcome = caller
        .post_once("/edits", &key, "refused".into(), request_timeout)
        .await;
    let minimum_retry_delay = Duration::from_millis(10);
    expect_that!(
        outcome,
        pat!(Outcome::Refused {
            retry_after: some(ge(&minimum_retry_delay)),
            ..
        })
    );
    expect_that!(backend.runs("refused"), eq(0));
    verify_that!(
        backend.counters.max_in_flight.load(Ordering::SeqCst),
        eq(COLD_SLOTS)
    )
}

/// A refused request keeps its retry delay when the deadline passes during a later attempt, here
/// because the agent crashes before that attempt.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_unanswered_retry_keeps_the_retry_delay_of_the_refusal() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = TestBackend::start().await;
    backend.counters.work_ms.store(60_000, Ordering::SeqCst);
    let agent = cluster.start_agent("groomer-1", &backend).await;
    let busy_caller = cluster.new_caller();
    for n in 0..COLD_SLOTS {
        let busy_caller = busy_caller.clone();
        tokio::spawn(async move { busy_caller.get(&format!("/lookup/{n}")).await });
    }
    wait_until(|| backend.counters.in_flight.load(Ordering::SeqCst) == COLD_SLOTS).await;
    let caller = cluster.new_caller();
    let request = tokio::spawn({
        let caller = caller.clone();
        let key: IdempotencyKey = "refused".parse().or_fail()?;
        let request_timeout = Duration::from_millis(1_500);
        async move {
            caller
                .post_once("/edits", &key, "refused".into(), request_timeout)
                .await
        }
    });
    wait_until(|| caller.statistics().retries > 0).await;
    agent.kill();
    let minimum_retry_delay = Duration::from_millis(10);
    verify_that!(
        request.await.or_fail()?,
        pat!(Outcome::Refused {
            retry_after: some(ge(&minimum_retry_delay)),
            failure: not(pat!(Failure::Refused { .. })),
        })
    )
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_backend_server_ran_nothing() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = TestBackend::start().await;
    let _agent = cluster.start_agent("groomer-1", &backend).await;
    let caller = cluster.new_caller();
    caller.get("/lookup/1").await.ok().or_fail()?;
    backend.stop().await;
    let key: IdempotencyKey = "nowhere".parse().or_fail()?;
    let request_timeout = Duration::from_millis(500);
    let outcome = caller
        .post_once("/edits", &key, "nowhere".into(), request_timeout)
        .await;
    verify_that!(outcome, matches_pattern!(Outcome::Refused { .. }))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_renewed_certificate_is_served_without_a_restart() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = TestBackend::start().await;
    let _agent = cluster.start_agent("groomer-1", &backend).await;
    let before = cluster.new_caller();
    before.get("/lookup/1").await.ok().or_fail()?;
    cluster.certificate_files.regenerate(cluster::SERVICE);
    let after = cluster.new_caller();
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    while after.get("/lookup/2").await.ok().is_none() {
        expect_that!(Instant::now(), lt(deadline));
    }
    // Connections that were open keep their certificate.
    before.get("/lookup/3").await.ok().or_fail()?;
    verify_that!(before.statistics().flows_opened, eq(1))
}
