//! Tests of the load generator's counts, with a fake client that gives predetermined responses.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http::{HeaderMap, StatusCode};
use lavenderseam_bench::load::{
    ArrivalGenerator, Client, EditOutcome, Feed, FeedEvent, FlowCounts, LoadRunner, RequestError,
    RequestKind, Response, Session,
};
use lavenderseam_bench::schedule::ServiceLoad;
use lavenderseam_bench::stand_ins::backend::content;
use serde_json::json;

/// Client whose responses all show the same behaviour.
#[derive(Clone, Copy)]
struct FakeClient {
    behaviour: Behaviour,
}

/// Behaviour of a fake client.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    Correct,
    WrongService,
    WrongRequest,
    NotExecuted,
}

/// Feed that delivers events with predetermined sequence numbers, last one first, and then none.
struct FakeFeed {
    remaining_sequence_numbers: Vec<u64>,
}

impl Client for FakeClient {
    type Session = Self;

    fn open_session(&self, _service: SocketAddr) -> Self {
        *self
    }
}

impl FakeClient {
    fn respond(self, body: Bytes) -> std::result::Result<Response, RequestError> {
        if self.behaviour == Behaviour::NotExecuted {
            return Err(RequestError::NotExecuted);
        }
        Ok(Response {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            body,
        })
    }

    fn service_name(self) -> &'static str {
        match self.behaviour {
            Behaviour::WrongService => "map-store",
            _ => "trail-status",
        }
    }
}

impl Session for FakeClient {
    type Feed = FakeFeed;

    async fn get(&self, path: &str, _: Duration) -> std::result::Result<Response, RequestError> {
        let (_, suffix) = path.rsplit_once('/').unwrap();
        let mut number: u64 = suffix.parse().unwrap();
        if path.starts_with("/files") {
            let bytes = usize::try_from(number).unwrap();
            return self.respond(content::file(self.service_name(), bytes).into());
        }
        if self.behaviour == Behaviour::WrongRequest {
            number += 1;
        }
        let body = json!({"service": self.service_name(), "target": "t", "n": number});
        self.respond(body.to_string().into())
    }

    async fn post(
        &self,
        _path: &str,
        _key: &str,
        body: Bytes,
        _deadline: Duration,
    ) -> std::result::Result<Response, RequestError> {
        let id = String::from_utf8(body.to_vec()).unwrap();
        let body = json!({"service": self.service_name(), "target": "t", "id": id});
        self.respond(body.to_string().into())
    }

    fn open_feed(&self, _path: &str) -> FakeFeed {
        FakeFeed {
            remaining_sequence_numbers: vec![14, 13, 13, 11, 10],
        }
    }

    fn flow_counts(&self) -> FlowCounts {
        FlowCounts {
            opened: 2,
            ..FlowCounts::default()
        }
    }

    fn broken_flow_addresses(&self) -> Vec<SocketAddr> {
        vec![SocketAddr::from(([0, 0, 0, 0], 7))]
    }
}

impl Feed for FakeFeed {
    async fn next(&mut self, _timeout: Duration) -> std::result::Result<FeedEvent, RequestError> {
        let Some(sequence) = self.remaining_sequence_numbers.pop() else {
            return std::future::pending().await;
        };
        let data = json!({"service": "trail-status", "target": "t", "sequence": sequence});
        Ok(FeedEvent {
            data: data.to_string(),
        })
    }
}

fn busy_load() -> ServiceLoad {
    ServiceLoad {
        callers: 2,
        feeds: 1,
        edits_per_second: 50.0,
        downloads_per_second: 20.0,
        download_bytes: 1_000,
        lookups_per_second: 100.0,
    }
}

fn idle_load() -> ServiceLoad {
    ServiceLoad {
        callers: 2,
        feeds: 0,
        edits_per_second: 0.0,
        downloads_per_second: 0.0,
        lookups_per_second: 0.0,
        ..busy_load()
    }
}

/// Runs a load for one second: `busy_load` on trail-status, and none on map-store.
async fn run_load(behaviour: Behaviour) -> LoadRunner<FakeClient> {
    let runner = LoadRunner::new(FakeClient { behaviour }, 3);
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let services = ["trail-status", "map-store"].map(|name| (name.to_owned(), address));
    let loads = BTreeMap::from([
        ("trail-status".to_owned(), busy_load()),
        ("map-store".to_owned(), idle_load()),
    ]);
    runner.run(&services, &loads, Duration::from_secs(1)).await;
    runner
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn counts_correct_responses() {
    let runner = run_load(Behaviour::Correct).await;
    let statistics = runner.statistics();
    let planned = ArrivalGenerator::new(&busy_load(), 3)
        .take_while(|request| request.offset < Duration::from_secs(1));
    let planned: Vec<RequestKind> = planned.map(|request| request.kind).collect();
    for kind in RequestKind::ALL {
        let expected = planned.iter().filter(|planned| **planned == kind).count() as u64;
        let counts = statistics.request_counts(kind);
        expect_that!((counts.sent, counts.answered), eq((expected, expected)));
        expect_that!(
            statistics.latency_histogram(kind).unwrap().len(),
            eq(expected)
        );
    }
    let second = statistics.counts_per_second()["trail-status"][0];
    let planned = planned.len() as u64;
    expect_that!((second.sent, second.answered), eq((planned, planned)));
    expect_that!(runner.flow_tracker().total_counts().opened, eq(2 * 5));
    expect_that!(runner.flow_tracker().broken_flows(), len(eq(5)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn counts_missed_and_repeated_events() {
    let runner = run_load(Behaviour::Correct).await;
    let feeds = runner.statistics().feed_counts();
    expect_that!((feeds.events, feeds.gaps, feeds.repeats), eq((5, 1, 1)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn counts_responses_from_another_service() {
    let runner = run_load(Behaviour::WrongService).await;
    for kind in RequestKind::ALL {
        let counts = runner.statistics().request_counts(kind);
        expect_that!(
            (counts.answered, counts.wrong_service),
            eq((0, counts.sent))
        );
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn counts_responses_to_another_request() {
    let runner = run_load(Behaviour::WrongRequest).await;
    let counts = runner.statistics().request_counts(RequestKind::Lookup);
    expect_that!((counts.answered, counts.wrong), eq((0, counts.sent)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn records_edits_reported_as_not_executed() {
    let runner = run_load(Behaviour::NotExecuted).await;
    let edits = runner.statistics().edits();
    let sent = runner.statistics().request_counts(RequestKind::Edit).sent;
    expect_that!(edits.len() as u64, eq(sent));
    let not_run = edits.iter().all(|edit| edit.outcome == EditOutcome::NotRun);
    expect_that!(not_run, eq(true));
}
