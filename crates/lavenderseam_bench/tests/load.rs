//! The callers' counts, with a client that answers as it is told.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http::{HeaderMap, StatusCode};
use lavenderseam_bench::load::{
    Answer, Callers, Client, EditOutcome, Event, Failure, Feed, FlowCounts, Generator, Kind,
    Session,
};
use lavenderseam_bench::schedule::Load;
use lavenderseam_bench::standins::backend::content;
use serde_json::json;

/// Answers in one manner.
#[derive(Clone, Copy)]
struct Fake {
    manner: Manner,
}

#[derive(Clone, Copy, PartialEq)]
enum Manner {
    Right,
    OtherService,
    OtherRequest,
    NotRun,
}

struct FakeFeed {
    sequences: Vec<u64>,
}

impl Client for Fake {
    type Session = Self;

    fn open(&self, _service: SocketAddr) -> Self {
        *self
    }
}

impl Fake {
    fn answer(self, body: Bytes) -> std::result::Result<Answer, Failure> {
        if self.manner == Manner::NotRun {
            return Err(Failure::NotRun);
        }
        Ok(Answer {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            body,
        })
    }

    fn service(self) -> &'static str {
        match self.manner {
            Manner::OtherService => "map-store",
            _ => "trail-status",
        }
    }
}

impl Session for Fake {
    type Feed = FakeFeed;

    async fn get(&self, path: &str, _: Duration) -> std::result::Result<Answer, Failure> {
        let (_, last) = path.rsplit_once('/').unwrap();
        let mut number: u64 = last.parse().unwrap();
        if path.starts_with("/files") {
            let bytes = usize::try_from(number).unwrap();
            return self.answer(content::file(self.service(), bytes).into());
        }
        if self.manner == Manner::OtherRequest {
            number += 1;
        }
        let body = json!({"service": self.service(), "target": "t", "n": number});
        self.answer(body.to_string().into())
    }

    async fn post(
        &self,
        _path: &str,
        _key: &str,
        body: Bytes,
        _deadline: Duration,
    ) -> std::result::Result<Answer, Failure> {
        let id = String::from_utf8(body.to_vec()).unwrap();
        let body = json!({"service": self.service(), "target": "t", "id": id});
        self.answer(body.to_string().into())
    }

    fn feed(&self, _path: &str) -> FakeFeed {
        FakeFeed {
            sequences: vec![14, 13, 13, 11, 10],
        }
    }

    fn flows(&self) -> FlowCounts {
        FlowCounts {
            opened: 2,
            ..FlowCounts::default()
        }
    }

    fn broken(&self) -> Vec<SocketAddr> {
        vec![SocketAddr::from(([0, 0, 0, 0], 7))]
    }
}

impl Feed for FakeFeed {
    async fn next(&mut self, _time: Duration) -> std::result::Result<Event, Failure> {
        let Some(sequence) = self.sequences.pop() else {
            return std::future::pending().await;
        };
        let data = json!({"service": "trail-status", "target": "t", "sequence": sequence});
        Ok(Event {
            data: data.to_string(),
        })
    }
}

fn load() -> Load {
    Load {
        callers: 2,
        feeds: 1,
        edits_per_second: 50.0,
        downloads_per_second: 20.0,
        download_bytes: 1_000,
        lookups_per_second: 100.0,
    }
}

fn idle() -> Load {
    Load {
        callers: 2,
        feeds: 0,
        edits_per_second: 0.0,
        downloads_per_second: 0.0,
        lookups_per_second: 0.0,
        ..load()
    }
}

async fn run(manner: Manner) -> Callers<Fake> {
    let callers = Callers::new(Fake { manner }, 3);
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let services = ["trail-status", "map-store"].map(|name| (name.to_owned(), address));
    let loads = BTreeMap::from([
        ("trail-status".to_owned(), load()),
        ("map-store".to_owned(), idle()),
    ]);
    callers.run(&services, &loads, Duration::from_secs(1)).await;
    callers
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn counts_right_answers() {
    let callers = run(Manner::Right).await;
    let tally = callers.tally();
    let planned = Generator::new(&load(), 3).take_while(|plan| plan.at < Duration::from_secs(1));
    let planned: Vec<Kind> = planned.map(|plan| plan.kind).collect();
    for kind in Kind::ALL {
        let expected = planned.iter().filter(|planned| **planned == kind).count() as u64;
        let counts = tally.counts(kind);
        expect_that!((counts.sent, counts.answered), eq((expected, expected)));
        expect_that!(tally.latencies(kind).unwrap().len(), eq(expected));
    }
    let second = tally.seconds()["trail-status"][0];
    let planned = planned.len() as u64;
    expect_that!((second.sent, second.answered), eq((planned, planned)));
    expect_that!(callers.flows().total().opened, eq(2 * 5));
    expect_that!(callers.flows().broken(), len(eq(5)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn counts_missed_and_repeated_events() {
    let callers = run(Manner::Right).await;
    let feeds = callers.tally().feed_counts();
    expect_that!((feeds.events, feeds.gaps, feeds.repeats), eq((5, 1, 1)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn tells_answers_of_another_service() {
    let callers = run(Manner::OtherService).await;
    for kind in Kind::ALL {
        let counts = callers.tally().counts(kind);
        expect_that!(
            (counts.answered, counts.wrong_service),
            eq((0, counts.sent))
        );
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn tells_answers_to_another_request() {
    let callers = run(Manner::OtherRequest).await;
    let counts = callers.tally().counts(Kind::Lookup);
    expect_that!((counts.answered, counts.wrong), eq((0, counts.sent)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn notes_what_callers_of_edits_were_told() {
    let callers = run(Manner::NotRun).await;
    let edits = callers.tally().edits();
    let sent = callers.tally().counts(Kind::Edit).sent;
    expect_that!(edits.len() as u64, eq(sent));
    let not_run = edits.iter().all(|edit| edit.outcome == EditOutcome::NotRun);
    expect_that!(not_run, eq(true));
}
