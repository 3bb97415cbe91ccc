//! Simulated platform over HTTP: watches, preconditions, outages, dropped responses and rate
//! limits.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http::{Method, StatusCode};
use lavenderseam_bench::http_client;
use lavenderseam_bench::launcher::Network;
use lavenderseam_bench::stand_ins::platform::{self, Change, Fault, Listing, Report, Settings};
use lavenderseam_bench::stand_ins::{FAULT_PATH, REPORT_PATH};
use serde_json::json;

async fn start(writes_per_second: u32) -> Network {
    let network = Network::find_free().unwrap();
    let settings = Settings {
        address: network.object_api(),
        control: network.platform_control(),
        writes_per_second,
        reads_per_second: 2_000,
        seed: 1,
    };
    tokio::spawn(platform::run(settings));
    let control = network.platform_control();
    while http_client::get_json::<Report>(control, REPORT_PATH)
        .await
        .is_err()
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    network
}

async fn create(network: Network, name: &str) -> Option<StatusCode> {
    let path = format!("/v1/objects/Drain/{name}");
    let body = Bytes::from(json!({"kind": "Drain", "name": name}).to_string());
    let headers = [("if-none-match", "*")];
    let answer =
        http_client::send_request(Method::PUT, network.object_api(), &path, &headers, body).await;
    answer.ok().map(|answer| answer.status)
}

async fn status(network: Network, method: Method, path: &str) -> Option<StatusCode> {
    let answer =
        http_client::send_request(method, network.object_api(), path, &[], Bytes::new()).await;
    answer.ok().map(|answer| answer.status)
}

async fn inject(network: Network, fault: Fault) {
    let control = network.platform_control();
    http_client::post_json(control, FAULT_PATH, &fault)
        .await
        .unwrap();
}

#[gtest]
#[tokio::test]
async fn write_wakes_a_watch() {
    let network = start(400).await;
    let path = "/v1/watch?after=0&wait_ms=4000";
    let watch = http_client::get_json::<Listing<Change>>(network.object_api(), path);
    let write = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        create(network, "a").await
    };
    let (changes, written) = tokio::join!(watch, write);
    expect_that!(written, some(eq(StatusCode::OK)));
    let changes = changes.unwrap();
    expect_that!(changes.revision, eq(1));
    expect_that!(changes.entries[0].name, eq("a"));
}

#[gtest]
#[tokio::test]
async fn watch_times_out_without_changes() {
    let network = start(400).await;
    let path = "/v1/watch?after=0&wait_ms=20";
    let changes: Listing<Change> = http_client::get_json(network.object_api(), path)
        .await
        .unwrap();
    expect_that!(changes.entries, is_empty());
}

#[gtest]
#[tokio::test]
async fn write_without_precondition_is_rejected() {
    let network = start(400).await;
    let rejected = status(network, Method::PUT, "/v1/objects/Drain/a").await;
    expect_that!(rejected, some(eq(StatusCode::PRECONDITION_REQUIRED)));
    let missing = status(network, Method::GET, "/v1/objects/Drain/a").await;
    expect_that!(missing, some(eq(StatusCode::NOT_FOUND)));
}

#[gtest]
#[tokio::test]
async fn drops_responses_after_the_write() {
    let network = start(400).await;
    inject(network, Fault::LoseAnswers { percent: 100 }).await;
    expect_that!(create(network, "a").await, none());
    inject(network, Fault::LoseAnswers { percent: 0 }).await;
    let repeated = create(network, "a").await;
    expect_that!(repeated, some(eq(StatusCode::PRECONDITION_FAILED)));
    let report: Report = http_client::get_json(network.platform_control(), REPORT_PATH)
        .await
        .unwrap();
    let counts = (report.writes, report.answers_lost, report.conflicts);
    expect_that!(counts, eq((1, 1, 1)));
}

#[gtest]
#[tokio::test]
async fn outage_has_no_effect_on_objects() {
    let network = start(400).await;
    inject(network, Fault::Down { on: true }).await;
    expect_that!(create(network, "a").await, none());
    inject(network, Fault::Down { on: false }).await;
    let missing = status(network, Method::GET, "/v1/objects/Drain/a").await;
    expect_that!(missing, some(eq(StatusCode::NOT_FOUND)));
    expect_that!(create(network, "a").await, some(eq(StatusCode::OK)));
}

#[gtest]
#[tokio::test]
async fn rejects_writes_above_the_rate() {
    let network = start(1).await;
    let mut rejected = 0;
    for number in 0..5 {
        let name = format!("a{number}");
        let answered = create(network, &name).await;
        if answered == Some(StatusCode::TOO_MANY_REQUESTS) {
            rejected += 1;
            let path = format!("/v1/objects/Drain/{name}");
            let stored = status(network, Method::GET, &path).await;
            expect_that!(stored, some(eq(StatusCode::NOT_FOUND)));
        }
    }
    expect_that!(rejected, ge(1));
}

/// A restored store loses acknowledged writes, assigns their revisions again, and rejects a watch
/// from a revision that it doesn't have; operators' writes come back, others don't.
#[gtest]
#[tokio::test]
async fn a_return_from_a_copy_loses_writes_and_assigns_revisions_again() {
    let network = start(400).await;
    expect_that!(create(network, "a").await, some(eq(StatusCode::OK)));
    tokio::time::sleep(Duration::from_millis(600)).await;
    expect_that!(create(network, "b").await, some(eq(StatusCode::OK)));
    expect_that!(create(network, "c").await, some(eq(StatusCode::OK)));
    let restore = Fault::Restore {
        age_ms: 400,
        rewrite_after_ms: 200,
    };
    inject(network, restore).await;
    let lost = status(network, Method::GET, "/v1/objects/Drain/b").await;
    expect_that!(lost, some(eq(StatusCode::NOT_FOUND)));
    let kept = status(network, Method::GET, "/v1/objects/Drain/a").await;
    expect_that!(kept, some(eq(StatusCode::OK)));
    let watch = status(network, Method::GET, "/v1/watch?after=3&wait_ms=10").await;
    expect_that!(watch, some(eq(StatusCode::GONE)));
    tokio::time::sleep(Duration::from_millis(400)).await;
    let path = "/v1/watch?after=1&wait_ms=10";
    let changes: Listing<Change> = http_client::get_json(network.object_api(), path)
        .await
        .unwrap();
    let revisions: Vec<u64> = changes
        .entries
        .iter()
        .map(|change| change.revision)
        .collect();
    expect_that!(revisions, elements_are![eq(&2), eq(&3)]);
    let report: Report = http_client::get_json(network.platform_control(), REPORT_PATH)
        .await
        .unwrap();
    expect_that!(report.restored_revisions, elements_are![eq(&1)]);
}
