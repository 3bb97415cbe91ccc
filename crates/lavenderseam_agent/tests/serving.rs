//! Requests from a caller over an agent to a backend server.

mod cluster;

use std::time::Duration;

use cluster::{Backend, Cluster};
use googletest::prelude::*;
use lavenderseam_core::request::Key;

const TIME: Duration = Duration::from_secs(10);

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_lookup_is_answered() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = Backend::start().await;
    let _agent = cluster.agent("groomer-1", &backend).await;
    let caller = cluster.caller();
    let answer = caller.get("/lookup/7").await.answered().or_fail()?;
    expect_that!(answer.status.as_u16(), eq(200));
    expect_that!(answer.body.as_ref(), eq(b"7"));
    verify_that!(caller.statistics().opened, eq(1))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_download_is_whole() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = Backend::start().await;
    let _agent = cluster.agent("groomer-1", &backend).await;
    let bytes = 3_000_000;
    let caller = cluster.caller();
    let outcome = caller.download(&format!("/files/{bytes}"), TIME).await;
    let download = outcome.answered().or_fail()?;
    expect_that!(download.hash_verified, eq(true));
    verify_that!(download.answer.body.len(), eq(bytes))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_edit_runs_once() -> Result<()> {
    let cluster = Cluster::new().await;
    let backend = Backend::start().await;
    let _agent = cluster.agent("groomer-1", &backend).await;
    let caller = cluster.caller();
    let key: Key = "edit-1".parse().or_fail()?;
    for _ in 0..3 {
        let outcome = caller.edit("/edits", &key, "one".into(), TIME).await;
        let answer = outcome.answered().or_fail()?;
        expect_that!(answer.body.as_ref(), eq(b"one"));
    }
    verify_that!(backend.runs("one"), eq(1))
}
