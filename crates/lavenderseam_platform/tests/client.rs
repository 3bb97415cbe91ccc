//! Tests how the client maps responses of the object API, and missing ones, to results.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_core::catalog::{Epoch, Revision};
use lavenderseam_core::record::{Document, Id, Kind, Schema};
use lavenderseam_platform::{Client, Condition, Error, Store};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Serves one request with these bytes, closes the connection and returns the address.
async fn serve_once(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = vec![0; 4096];
        let _ = stream.read(&mut request).await.unwrap();
        stream.write_all(response.as_bytes()).await.unwrap();
    });
    address
}

fn client(address: SocketAddr) -> Client {
    Client::new(address).with_timeout(Duration::from_millis(300))
}

fn document() -> Document {
    Document::new(Kind::FailureDomain, "suva-a", Schema(1))
}

async fn put(address: SocketAddr) -> Result<Revision, Error> {
    client(address).put(&document(), Condition::Absent).await
}

#[gtest]
#[tokio::test]
async fn successful_write_returns_its_revision() {
    let address = serve_once("HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"revision\":7}").await;
    assert_that!(put(address).await, ok(eq(&Revision(7))));
}

#[gtest]
#[tokio::test]
async fn failed_condition_is_a_conflict() {
    let address = serve_once(
        "HTTP/1.1 412 Precondition Failed\r\ncontent-length: 14\r\n\r\n{\"revision\":5}",
    )
    .await;
    assert_that!(
        put(address).await,
        err(eq(&Error::Conflict(Some(Revision(5)))))
    );
}

#[gtest]
#[tokio::test]
async fn rate_limit_response_reports_retry_after() {
    let address = serve_once(
        "HTTP/1.1 429 Too Many Requests\r\nretry-after: 0.25\r\ncontent-length: 0\r\n\r\n",
    )
    .await;
    let retry_after = Duration::from_millis(250);
    assert_that!(
        put(address).await,
        err(eq(&Error::Throttled { retry_after }))
    );
}

#[gtest]
#[tokio::test]
async fn refused_connection_is_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_that!(put(address).await, err(eq(&Error::Unreachable)));
}

#[gtest]
#[tokio::test]
async fn closed_connection_is_unanswered() {
    let address = serve_once("").await;
    assert_that!(put(address).await, err(eq(&Error::NoResponse)));
}

#[gtest]
#[tokio::test]
async fn truncated_response_is_unanswered() {
    let address = serve_once("HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"rev").await;
    assert_that!(put(address).await, err(eq(&Error::NoResponse)));
}

#[gtest]
#[tokio::test]
async fn timed_out_call_is_unanswered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    assert_that!(put(address).await, err(eq(&Error::NoResponse)));
}

#[gtest]
#[tokio::test]
async fn list_skips_records_of_unknown_kinds() {
    let address = serve_once(concat!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 255\r\n\r\n",
        r#"{"revision":9,"entries":["#,
        r#"{"revision":8,"document":{"kind":"Novelty","name":"x","schema":1,"spec":{}}},"#,
        r#"{"revision":9,"document":{"kind":"FailureDomain","name":"suva-a","schema":2,"spec":{"state":"in"},"label":"kept"}}"#,
        "]}                                         ",
    ))
    .await;
    let list = client(address).list().await.unwrap();
    assert_that!(list.entries.len(), eq(1));
    let document = list.entries[0].document.as_ref().unwrap();
    assert_that!(document.unknown_fields.contains_key("label"), eq(true));
}

#[gtest]
#[tokio::test]
async fn watch_of_a_compacted_revision_is_gone() {
    let address = serve_once("HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n").await;
    let result = client(address).watch(Revision(1), Duration::ZERO).await;
    assert_that!(result, err(eq(&Error::RevisionExpired)));
}

#[gtest]
#[tokio::test]
async fn missing_record_is_none() {
    let address = serve_once("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n").await;
    let id = Id::new(Kind::Target, "x");
    assert_that!(client(address).get(&id).await, ok(none()));
}

/// Guards against revisions that repeat after a restore of the store: without the epoch, a new
/// write looks older than a lost one.
#[gtest]
#[tokio::test]
async fn a_revision_has_the_epoch_of_its_response() {
    let address = serve_once(
        "HTTP/1.1 200 OK\r\nstore-epoch: 2\r\ncontent-length: 14\r\n\r\n{\"revision\":7}",
    )
    .await;
    let written = put(address).await.unwrap();
    expect_that!(written, eq(Revision::new(Epoch(2), 7).unwrap()));
    expect_that!(written, gt(Revision::new(Epoch(1), 900).unwrap()));
}

/// Guards against a watch that continues after a revision that belongs to another write since a
/// restore, and so misses the changes before it.
#[gtest]
#[tokio::test]
async fn a_watch_from_an_older_epoch_has_expired() {
    let address = serve_once(
        "HTTP/1.1 200 OK\r\nstore-epoch: 2\r\ncontent-length: 28\r\n\r\n{\"revision\":9,\"entries\":[]}  ",
    )
    .await;
    let after = Revision::new(Epoch(1), 8).unwrap();
    let watched = client(address).watch(after, Duration::ZERO).await;
    expect_that!(watched, err(eq(&Error::RevisionExpired)));
}

/// Guards against a conditional write that replaces another write with the same number.
#[gtest]
#[tokio::test]
async fn a_condition_of_an_older_epoch_fails_without_a_call() {
    let address = serve_once(
        "HTTP/1.1 200 OK\r\nstore-epoch: 2\r\ncontent-length: 14\r\n\r\n{\"revision\":7}",
    )
    .await;
    let client = client(address);
    client.put(&document(), Condition::Absent).await.unwrap();
    let stale = Condition::AtRevision(Revision::new(Epoch(1), 7).unwrap());
    let refused = client.put(&document(), stale).await;
    expect_that!(refused, err(eq(&Error::Conflict(None))));
}

#[gtest]
#[tokio::test]
async fn an_unreadable_epoch_is_a_protocol_error() {
    let address = serve_once(
        "HTTP/1.1 200 OK\r\nstore-epoch: second\r\ncontent-length: 14\r\n\r\n{\"revision\":7}",
    )
    .await;
    let found = put(address).await;
    expect_that!(
        found,
        err(matches_pattern!(Error::Protocol(contains_substring(
            "second"
        ))))
    );
}

/// Guards against a list that fails as a whole because of one record of another writer.
#[gtest]
#[tokio::test]
async fn an_unreadable_record_costs_only_itself() {
    let deep = format!("{}{}", "[".repeat(300), "]".repeat(300));
    for odd in [
        deep.as_str(),
        r#"{"revision":1e999}"#,
        "NaN",
        r#"{"document":"\ud800"}"#,
    ] {
        let good = r#"{"revision":4,"kind":"FailureDomain","name":"suva-a"}"#;
        let body = format!(r#"{{"revision":9,"entries":[{odd},{good}]}}"#);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let address = serve_once(Box::leak(format!("{head}{body}").into_boxed_str())).await;
        let list = client(address).list().await.unwrap();
        expect_that!(list.entries.len(), eq(1), "{odd}");
        expect_that!(list.errors.len(), eq(1), "{odd}");
        expect_that!(list.revision, eq(Revision(9)));
    }
}
