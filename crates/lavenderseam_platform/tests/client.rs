//! What the client makes of the platform's answers and of their absence.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_core::catalog::Revision;
use lavenderseam_core::record::{Document, Id, Kind, Schema};
use lavenderseam_platform::{Client, Condition, Error, Store};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Answers one call with these bytes and closes; returns the address.
async fn platform(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut call = vec![0; 4096];
        let _ = stream.read(&mut call).await.unwrap();
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    address
}

fn client(address: SocketAddr) -> Client {
    Client::new(address).with_limit(Duration::from_millis(300))
}

fn document() -> Document {
    Document::new(Kind::FailureDomain, "suva-a", Schema(1))
}

async fn put(address: SocketAddr) -> Result<Revision, Error> {
    client(address).put(&document(), Condition::Absent).await
}

#[gtest]
#[tokio::test]
async fn a_write_that_is_taken_has_its_revision() {
    let address = platform("HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"revision\":7}").await;
    assert_that!(put(address).await, ok(eq(&Revision(7))));
}

#[gtest]
#[tokio::test]
async fn a_failed_condition_is_a_conflict() {
    let address =
        platform("HTTP/1.1 412 Precondition Failed\r\ncontent-length: 14\r\n\r\n{\"revision\":5}")
            .await;
    assert_that!(
        put(address).await,
        err(eq(&Error::Conflict(Some(Revision(5)))))
    );
}

#[gtest]
#[tokio::test]
async fn a_refusal_says_when_to_come_back() {
    let address = platform(
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
async fn a_refused_connection_wrote_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_that!(put(address).await, err(eq(&Error::Unreachable)));
}

#[gtest]
#[tokio::test]
async fn a_call_without_an_answer_may_have_been_done() {
    let address = platform("").await;
    assert_that!(put(address).await, err(eq(&Error::Unanswered)));
}

#[gtest]
#[tokio::test]
async fn an_answer_cut_short_may_have_been_done() {
    let address = platform("HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"rev").await;
    assert_that!(put(address).await, err(eq(&Error::Unanswered)));
}

#[gtest]
#[tokio::test]
async fn a_call_that_takes_too_long_may_have_been_done() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    assert_that!(put(address).await, err(eq(&Error::Unanswered)));
}

#[gtest]
#[tokio::test]
async fn kinds_of_newer_programs_are_left_out() {
    let address = platform(concat!(
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
    assert_that!(document.other.contains_key("label"), eq(true));
}

#[gtest]
#[tokio::test]
async fn an_old_watch_must_list_anew() {
    let address = platform("HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n").await;
    let watched = client(address).watch(Revision(1), Duration::ZERO).await;
    assert_that!(watched, err(eq(&Error::Gone)));
}

#[gtest]
#[tokio::test]
async fn a_record_that_does_not_exist_is_none() {
    let address = platform("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n").await;
    let id = Id::new(Kind::Target, "x");
    assert_that!(client(address).get(&id).await, ok(none()));
}
