//! Flows and requests while agents stop, drain, die and leave.

mod cluster;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cluster::{Backend, Cluster, Standing, until};
use googletest::prelude::*;
use lavenderseam_caller::{Caller, Feed, Outcome};
use lavenderseam_core::record::Phase;
use lavenderseam_core::request::Key;

const TIME: Duration = Duration::from_secs(10);

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_edit_whose_answer_is_lost_is_repeated_and_runs_once() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = Backend::start().await;
    backend.counts.work.store(200, Ordering::SeqCst);
    let _agent = cluster.agent("groomer-1", &backend).await;
    let caller = cluster.caller();
    let edit = tokio::spawn(async move {
        let key: Key = "lost".parse().unwrap();
        let outcome = caller.edit("/edits", &key, "lost".into(), TIME).await;
        (outcome, caller.statistics())
    });
    until(|| backend.runs("lost") == 1).await;
    // The flow goes silent for good while the edit runs; new flows work.
    cluster.relay.silence_all();
    let (outcome, statistics) = edit.await.or_fail()?;
    let answer = outcome.answered().or_fail()?;
    expect_that!(answer.body.as_ref(), eq(b"lost"));
    expect_that!(statistics.broken.len(), eq(1));
    verify_that!(backend.runs("lost"), eq(1))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_that_reaches_another_agent_is_answered_by_the_first() -> Result<()> {
    let cluster = Cluster::new().await;
    let backends = [Backend::start().await, Backend::start().await];
    backends[0].counts.work.store(200, Ordering::SeqCst);
    let mut second = cluster.agent("groomer-2", &backends[1]).await;
    let first = cluster.agent("groomer-1", &backends[0]).await;
    second.know(&first);
    let caller = cluster.caller();
    let edit = tokio::spawn(async move {
        let key: Key = "moved".parse().unwrap();
        caller.edit("/edits", &key, "moved".into(), TIME).await
    });
    until(|| backends[0].runs("moved") == 1).await;
    cluster.relay.prefer(second.tag);
    cluster.relay.silence_all();
    let answer = edit.await.or_fail()?.answered().or_fail()?;
    expect_that!(answer.body.as_ref(), eq(b"moved"));
    expect_that!(backends[0].runs("moved"), eq(1));
    verify_that!(backends[1].runs("moved"), eq(0))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_edit_bound_to_an_agent_that_died_is_unknown_and_runs_nowhere_else() -> Result<()> {
    let cluster = Cluster::new().await;
    let backends = [Backend::start().await, Backend::start().await];
    backends[0].counts.work.store(60_000, Ordering::SeqCst);
    let second = cluster.agent("groomer-2", &backends[1]).await;
    let first = cluster.agent("groomer-1", &backends[0]).await;
    let caller = cluster.caller();
    let edit = tokio::spawn(async move {
        let key: Key = "orphan".parse().unwrap();
        caller.edit("/edits", &key, "orphan".into(), TIME).await
    });
    until(|| backends[0].runs("orphan") == 1).await;
    cluster.relay.prefer(second.tag);
    first.kill();
    let outcome = edit.await.or_fail()?;
    expect_that!(outcome, matches_pattern!(Outcome::Unknown(anything())));
    verify_that!(backends[1].total(), eq(0))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_agent_resets_its_earlier_connections_at_once() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = Backend::start().await;
    let first = cluster.agent("groomer-1", &backend).await;
    let caller = cluster.caller();
    caller.get("/lookup/1").await.answered().or_fail()?;
    first.kill();
    let _again = cluster.agent("groomer-1", &backend).await;
    let began = Instant::now();
    let answer = caller.get("/lookup/2").await.answered().or_fail()?;
    expect_that!(answer.body.as_ref(), eq(b"2"));
    expect_that!(began.elapsed(), lt(Duration::from_secs(3)));
    let statistics = caller.statistics();
    expect_that!(statistics.opened, eq(2));
    let found = statistics.broken.first().map(|broken| broken.found);
    verify_that!(found, some(eq(lavenderseam_caller::Found::Reset)))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_request() -> Result<()> {
    let cluster = Cluster::new().await;
    let backends = [Backend::start().await, Backend::start().await];
    let second = cluster.agent("groomer-2", &backends[1]).await;
    let mut first = cluster.agent("groomer-1", &backends[0]).await;
    backends[0].counts.work.store(500, Ordering::SeqCst);
    let caller = cluster.caller();
    let lookup = spawn(
        &caller,
        |caller| async move { caller.get("/lookup/1").await },
    );
    let edit = spawn(&caller, |caller| async move {
        let key: Key = "last".parse().unwrap();
        caller.edit("/edits", &key, "last".into(), TIME).await
    });
    until(|| backends[0].counts.running.load(Ordering::SeqCst) == 2).await;
    cluster.relay.prefer(second.tag);
    first.stop();
    let mut announced = first.announcement.subscribe();
    announced
        .wait_for(|phase| *phase == Phase::Leaving)
        .await
        .or_fail()?;
    // New requests go elsewhere while the running ones finish.
    let elsewhere = caller.get("/lookup/2").await.answered().or_fail()?;
    expect_that!(elsewhere.body.as_ref(), eq(b"2"));
    let lookup = lookup.await.or_fail()?.answered().or_fail()?;
    expect_that!(lookup.body.as_ref(), eq(b"1"));
    let edit = edit.await.or_fail()?.answered().or_fail()?;
    expect_that!(edit.body.as_ref(), eq(b"last"));
    expect_that!(first.stopped().await, eq(true));
    expect_that!(backends[0].runs("last"), eq(1));
    expect_that!(backends[1].total(), eq(0));
    verify_that!(caller.statistics().broken, is_empty())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_lets_downloads_finish() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = Backend::start().await;
    let mut agent = cluster.agent("groomer-1", &backend).await;
    let caller = cluster.caller();
    caller.get("/lookup/1").await.answered().or_fail()?;
    let download = spawn(&caller, |caller| async move {
        caller.download("/slow/3000000", TIME).await
    });
    until(|| backend.counts.running.load(Ordering::SeqCst) == 1).await;
    agent.stop();
    let download = download.await.or_fail()?.answered().or_fail()?;
    expect_that!(download.hash_verified, eq(true));
    expect_that!(download.answer.body.len(), eq(3_000_000));
    expect_that!(agent.stopped().await, eq(true));
    verify_that!(caller.statistics().retries, eq(0))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_live_feed_moves_without_losing_an_event() -> Result<()> {
    let cluster = Cluster::new().await;
    let backends = [Backend::start().await, Backend::start().await];
    let second = cluster.agent("groomer-2", &backends[1]).await;
    let mut first = cluster.agent("groomer-1", &backends[0]).await;
    let caller = cluster.caller();
    let mut feed = caller.feed("/feed");
    follow(&mut feed, 0..10).await?;
    cluster.relay.prefer(second.tag);
    first.stop();
    follow(&mut feed, 10..100).await?;
    expect_that!(first.stopped().await, eq(true));
    let statistics = caller.statistics();
    expect_that!(statistics.feeds_moved, eq(1));
    verify_that!(statistics.broken, is_empty())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_by_record_moves_flows_and_ends_with_the_record() -> Result<()> {
    let cluster = Cluster::new().await;
    let backends = [Backend::start().await, Backend::start().await];
    let second = cluster.agent("groomer-2", &backends[1]).await;
    let mut first = cluster.agent("groomer-1", &backends[0]).await;
    let caller = cluster.caller();
    let mut feed = caller.feed("/feed");
    follow(&mut feed, 0..5).await?;
    cluster.relay.prefer(second.tag);
    first.set(Standing::Draining);
    follow(&mut feed, 5..100).await?;
    expect_that!(caller.statistics().feeds_moved, eq(1));
    first.set(Standing::Serving);
    cluster.relay.prefer(first.tag);
    let back = cluster.caller();
    back.get("/lookup/1").await.answered().or_fail()?;
    first.stop();
    verify_that!(first.stopped().await, eq(true))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_domain_taken_out_ends_its_flows_explicitly() -> Result<()> {
    let cluster = Cluster::new().await;
    let backends = [Backend::start().await, Backend::start().await];
    let second = cluster.agent("groomer-2", &backends[1]).await;
    let mut first = cluster.agent("groomer-1", &backends[0]).await;
    let caller = cluster.caller();
    let mut feed = caller.feed("/feed");
    follow(&mut feed, 0..5).await?;
    cluster.relay.prefer(second.tag);
    first.set(Standing::Out);
    let began = Instant::now();
    feed.next(TIME).await.or_fail()?;
    let answer = caller.get("/lookup/2").await.answered().or_fail()?;
    expect_that!(answer.body.as_ref(), eq(b"2"));
    expect_that!(began.elapsed(), lt(Duration::from_secs(3)));
    verify_that!(caller.statistics().broken, is_empty())
}

fn spawn<T, F>(caller: &Caller, request: impl FnOnce(Caller) -> F) -> tokio::task::JoinHandle<T>
where
    T: Send + 'static,
    F: Future<Output = T> + Send + 'static,
{
    tokio::spawn(request(caller.clone()))
}

/// Expects the events of a range, in order, each once.
async fn follow(feed: &mut Feed, numbers: std::ops::Range<u64>) -> Result<()> {
    for number in numbers {
        let event = feed.next(TIME).await.or_fail()?;
        verify_that!(event.data, eq(&format!("event {number}")))?;
    }
    Ok(())
}
