//! Flows and requests while agents stop, drain, crash or lose their failure domain.

mod cluster;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cluster::{Cluster, PublishedState, TestBackend, wait_until};
use googletest::prelude::*;
use lavenderseam_caller::{Caller, Feed, Outcome};
use lavenderseam_core::record::Phase;
use lavenderseam_core::request::IdempotencyKey;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_edit_whose_answer_is_lost_is_repeated_and_runs_once() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = TestBackend::start().await;
    backend.counters.work_ms.store(200, Ordering::SeqCst);
    let _agent = cluster.start_agent("groomer-1", &backend).await;
    let caller = cluster.new_caller();
    let edit = tokio::spawn(async move {
        let key: IdempotencyKey = "lost".parse().unwrap();
        let outcome = caller
            .post_once("/edits", &key, "lost".into(), REQUEST_TIMEOUT)
            .await;
        (outcome, caller.statistics())
    });
    wait_until(|| backend.runs("lost") == 1).await;
    // The relay drops all packets of the flow while the edit runs; new flows still work.
    cluster.relay.block_known_callers();
    let (outcome, statistics) = edit.await.or_fail()?;
    let answer = outcome.ok().or_fail()?;
    expect_that!(answer.body.as_ref(), eq(b"lost"));
    expect_that!(statistics.broken_flows.len(), eq(1));
    verify_that!(backend.runs("lost"), eq(1))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_that_reaches_another_agent_is_answered_by_the_first() -> Result<()> {
    let cluster = Cluster::new().await;
    let backends = [TestBackend::start().await, TestBackend::start().await];
    backends[0].counters.work_ms.store(200, Ordering::SeqCst);
    let mut second = cluster.start_agent("groomer-2", &backends[1]).await;
    let first = cluster.start_agent("groomer-1", &backends[0]).await;
    second.add_target(&first);
    let caller = cluster.new_caller();
    let edit = tokio::spawn(async move {
        let key: IdempotencyKey = "moved".parse().unwrap();
        caller
            .post_once("/edits", &key, "moved".into(), REQUEST_TIMEOUT)
            .await
    });
    wait_until(|| backends[0].runs("moved") == 1).await;
    cluster.relay.prefer_for_new_flows(second.tag);
    cluster.relay.block_known_callers();
    let answer = edit.await.or_fail()?.ok().or_fail()?;
    expect_that!(answer.body.as_ref(), eq(b"moved"));
    expect_that!(backends[0].runs("moved"), eq(1));
    verify_that!(backends[1].runs("moved"), eq(0))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_edit_bound_to_a_crashed_agent_is_unknown_and_runs_nowhere_else() -> Result<()> {
    let cluster = Cluster::new().await;
    let backends = [TestBackend::start().await, TestBackend::start().await];
    backends[0].counters.work_ms.store(60_000, Ordering::SeqCst);
    let second = cluster.start_agent("groomer-2", &backends[1]).await;
    let first = cluster.start_agent("groomer-1", &backends[0]).await;
    let caller = cluster.new_caller();
    let edit = tokio::spawn(async move {
        let key: IdempotencyKey = "orphan".parse().unwrap();
        caller
            .post_once("/edits", &key, "orphan".into(), REQUEST_TIMEOUT)
            .await
    });
    wait_until(|| backends[0].runs("orphan") == 1).await;
    cluster.relay.prefer_for_new_flows(second.tag);
    first.kill();
    let outcome = edit.await.or_fail()?;
    expect_that!(outcome, matches_pattern!(Outcome::Unknown(anything())));
    verify_that!(backends[1].total_runs(), eq(0))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_agent_resets_its_earlier_connections_at_once() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = TestBackend::start().await;
    let first = cluster.start_agent("groomer-1", &backend).await;
    let caller = cluster.new_caller();
    caller.get("/lookup/1").await.ok().or_fail()?;
    first.kill();
    let _restarted = cluster.start_agent("groomer-1", &backend).await;
    let started_at = Instant::now();
    let answer = caller.get("/lookup/2").await.ok().or_fail()?;
    expect_that!(answer.body.as_ref(), eq(b"2"));
    expect_that!(started_at.elapsed(), lt(Duration::from_secs(3)));
    let statistics = caller.statistics();
    expect_that!(statistics.flows_opened, eq(2));
    let detection = statistics
        .broken_flows
        .first()
        .map(|broken| broken.detection);
    verify_that!(
        detection,
        some(eq(lavenderseam_caller::BreakDetection::StatelessReset))
    )
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_interrupts_no_request() -> Result<()> {
    let cluster = Cluster::new().await;
    let backends = [TestBackend::start().await, TestBackend::start().await];
    let second = cluster.start_agent("groomer-2", &backends[1]).await;
    let mut first = cluster.start_agent("groomer-1", &backends[0]).await;
    backends[0].counters.work_ms.store(500, Ordering::SeqCst);
    let caller = cluster.new_caller();
    let lookup = spawn_request(
        &caller,
        |caller| async move { caller.get("/lookup/1").await },
    );
    let edit = spawn_request(&caller, |caller| async move {
        let key: IdempotencyKey = "last".parse().unwrap();
        caller
            .post_once("/edits", &key, "last".into(), REQUEST_TIMEOUT)
            .await
    });
    wait_until(|| backends[0].counters.in_flight.load(Ordering::SeqCst) == 2).await;
    cluster.relay.prefer_for_new_flows(second.tag);
    first.stop();
    let mut announced = first.announcement.subscribe();
    announced
        .wait_for(|phase| *phase == Phase::Leaving)
        .await
        .or_fail()?;
    // New requests reach the other agent while the running ones finish.
    let elsewhere = caller.get("/lookup/2").await.ok().or_fail()?;
    expect_that!(elsewhere.body.as_ref(), eq(b"2"));
    let lookup = lookup.await.or_fail()?.ok().or_fail()?;
    expect_that!(lookup.body.as_ref(), eq(b"1"));
    let edit = edit.await.or_fail()?.ok().or_fail()?;
    expect_that!(edit.body.as_ref(), eq(b"last"));
    expect_that!(first.stopped().await, eq(true));
    expect_that!(backends[0].runs("last"), eq(1));
    expect_that!(backends[1].total_runs(), eq(0));
    verify_that!(caller.statistics().broken_flows, is_empty())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_lets_downloads_finish() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = TestBackend::start().await;
    let mut agent = cluster.start_agent("groomer-1", &backend).await;
    let caller = cluster.new_caller();
    caller.get("/lookup/1").await.ok().or_fail()?;
    let download = spawn_request(&caller, |caller| async move {
        caller.download("/slow/3000000", REQUEST_TIMEOUT).await
    });
    wait_until(|| backend.counters.in_flight.load(Ordering::SeqCst) == 1).await;
    agent.stop();
    let download = download.await.or_fail()?.ok().or_fail()?;
    expect_that!(download.hash_verified, eq(true));
    expect_that!(download.response.body.len(), eq(3_000_000));
    expect_that!(agent.stopped().await, eq(true));
    verify_that!(caller.statistics().retries, eq(0))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_live_feed_moves_without_losing_an_event() -> Result<()> {
    let cluster = Cluster::new().await;
    let backends = [TestBackend::start().await, TestBackend::start().await];
    let second = cluster.start_agent("groomer-2", &backends[1]).await;
    let mut first = cluster.start_agent("groomer-1", &backends[0]).await;
    let caller = cluster.new_caller();
    let mut feed = caller.feed("/feed");
    expect_events(&mut feed, 0..10).await?;
    cluster.relay.prefer_for_new_flows(second.tag);
    first.stop();
    expect_events(&mut feed, 10..100).await?;
    expect_that!(first.stopped().await, eq(true));
    let statistics = caller.statistics();
    expect_that!(statistics.feeds_reopened, eq(1));
    verify_that!(statistics.broken_flows, is_empty())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_by_record_moves_flows_and_ends_with_the_record() -> Result<()> {
    let cluster = Cluster::new().await;
    let backends = [TestBackend::start().await, TestBackend::start().await];
    let second = cluster.start_agent("groomer-2", &backends[1]).await;
    let mut first = cluster.start_agent("groomer-1", &backends[0]).await;
    let caller = cluster.new_caller();
    let mut feed = caller.feed("/feed");
    expect_events(&mut feed, 0..5).await?;
    cluster.relay.prefer_for_new_flows(second.tag);
    first.set_published_state(PublishedState::Draining);
    expect_events(&mut feed, 5..100).await?;
    expect_that!(caller.statistics().feeds_reopened, eq(1));
    first.set_published_state(PublishedState::Serving);
    cluster.relay.prefer_for_new_flows(first.tag);
    let new_caller = cluster.new_caller();
    new_caller.get("/lookup/1").await.ok().or_fail()?;
    first.stop();
    verify_that!(first.stopped().await, eq(true))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_domain_taken_out_ends_its_flows_explicitly() -> Result<()> {
    let cluster = Cluster::new().await;
    let backends = [TestBackend::start().await, TestBackend::start().await];
    let second = cluster.start_agent("groomer-2", &backends[1]).await;
    let mut first = cluster.start_agent("groomer-1", &backends[0]).await;
    let caller = cluster.new_caller();
    let mut feed = caller.feed("/feed");
    expect_events(&mut feed, 0..5).await?;
    cluster.relay.prefer_for_new_flows(second.tag);
    first.set_published_state(PublishedState::Out);
    let started_at = Instant::now();
    feed.next(REQUEST_TIMEOUT).await.or_fail()?;
    let answer = caller.get("/lookup/2").await.ok().or_fail()?;
    expect_that!(answer.body.as_ref(), eq(b"2"));
    expect_that!(started_at.elapsed(), lt(Duration::from_secs(3)));
    verify_that!(caller.statistics().broken_flows, is_empty())
}

fn spawn_request<T, F>(
    caller: &Caller,
    request: impl FnOnce(Caller) -> F,
) -> tokio::task::JoinHandle<T>
where
    T: Send + 'static,
    F: Future<Output = T> + Send + 'static,
{
    tokio::spawn(request(caller.clone()))
}

/// Verifies that the feed's next events are those of a range, in order and each once.
async fn expect_events(feed: &mut Feed, numbers: std::ops::Range<u64>) -> Result<()> {
    for number in numbers {
        let event = feed.next(REQUEST_TIMEOUT).await.or_fail()?;
        verify_that!(event.data, eq(&format!("event {number}")))?;
    }
    Ok(())
}
