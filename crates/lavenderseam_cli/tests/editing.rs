//! Tests of changes through a store that loses responses, is unavailable or has other writers.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_cli::command::apply::apply_records;
use lavenderseam_cli::command::{delete, drain, failure_domain, read};
use lavenderseam_cli::deadline_store::DeadlineStore;
use lavenderseam_cli::record::{Format, parse};
use lavenderseam_cli::{Error, ExitStatus};
use lavenderseam_core::id;
use lavenderseam_core::record::{Document, DomainState, Id, Kind, Schema};
use lavenderseam_platform::fake::{FakeStore, Faults};
use lavenderseam_platform::{Condition, Store};
use serde_json::json;

const TIMEOUT: Duration = Duration::from_millis(350);

const SERVICE: &str = r#"
[[record]]
kind = "Service"
name = "trail-status"
schema = 1
spec = { address = "192.0.2.1:443", group = "trail-status" }
"#;

const GROUP: &str = r#"
[[record]]
kind = "BackendGroup"
name = "trail-status"
schema = 2
spec = { slots = 4, connections = 2000, cold_slots = 1, drain_seconds = 30 }
"#;

async fn apply(
    store: &FakeStore,
    text: &str,
) -> std::result::Result<lavenderseam_cli::Report, Error> {
    let records = parse(text, Format::Toml)?;
    apply_records(&DeadlineStore::new(store, TIMEOUT), &records, false).await
}

async fn stored(store: &FakeStore, kind: Kind, name: &str) -> Document {
    let entry = store.get(&Id::new(kind, name)).await.unwrap().unwrap();
    entry.document.unwrap()
}

async fn put(store: &FakeStore, document: &Document) {
    let stored_entry = store.get(&document.id()).await.unwrap();
    let condition = stored_entry.map_or(Condition::Absent, |entry| {
        Condition::AtRevision(entry.revision)
    });
    store.put(document, condition).await.unwrap();
}

fn failure_domain_command(arguments: &[&str]) -> failure_domain::FailureDomain {
    argh::FromArgs::from_args(&["failure-domain"], arguments).unwrap()
}

#[gtest]
#[tokio::test]
async fn applying_several_records_again_writes_nothing() {
    let store = FakeStore::new();
    let records = format!("{SERVICE}{GROUP}");
    apply(&store, &records).await.unwrap();
    let revision = store.list().await.unwrap().revision;
    let second_report = apply(&store, &records).await.unwrap();
    expect_that!(store.list().await.unwrap().revision, eq(revision));
    expect_that!(second_report.text, contains_substring("unchanged"));
}

#[gtest]
#[tokio::test]
async fn dry_run_writes_nothing() {
    let store = FakeStore::new();
    let records = parse(SERVICE, Format::Toml).unwrap();
    let report = apply_records(&DeadlineStore::new(&store, TIMEOUT), &records, true)
        .await
        .unwrap();
    expect_that!(report.text, contains_substring("would be written"));
    expect_that!(store.list().await.unwrap().entries, is_empty());
}

#[gtest]
#[tokio::test]
async fn a_lost_response_is_resolved_by_the_write_token() {
    let store = FakeStore::new();
    store.set_faults(Faults {
        lost_responses: 1,
        ..Faults::default()
    });
    apply(&store, SERVICE).await.unwrap();
    expect_that!(store.list().await.unwrap().entries, len(eq(1)));
}

#[gtest]
#[tokio::test]
async fn a_lost_write_is_resent() {
    let store = FakeStore::new();
    store.set_faults(Faults {
        lost_writes: 1,
        ..Faults::default()
    });
    apply(&store, SERVICE).await.unwrap();
    expect_that!(store.list().await.unwrap().entries, len(eq(1)));
}

#[gtest]
#[tokio::test]
async fn an_unavailable_store_has_its_own_exit_code() {
    let store = FakeStore::new();
    store.set_faults(Faults {
        unreachable: true,
        ..Faults::default()
    });
    let error = apply(&store, SERVICE).await.unwrap_err();
    expect_that!(error.exit_status(), eq(ExitStatus::Unavailable));
}

#[gtest]
#[tokio::test]
async fn writes_without_a_response_have_an_unknown_outcome() {
    let store = FakeStore::new();
    store.set_faults(Faults {
        lost_writes: 1000,
        ..Faults::default()
    });
    let error = apply(&store, SERVICE).await.unwrap_err();
    expect_that!(error.exit_status(), eq(ExitStatus::UnknownOutcome));
}

#[gtest]
#[tokio::test]
async fn a_concurrent_change_is_a_conflict_that_shows_both_versions() {
    let store = FakeStore::new();
    apply(&store, SERVICE).await.unwrap();
    let id = Id::new(Kind::Service, "trail-status");
    let base = store.get(&id).await.unwrap().unwrap();
    let mut theirs = base.document.clone().unwrap();
    theirs.spec.insert("address".into(), json!("192.0.2.9:443"));
    put(&store, &theirs).await;
    let mut mine = base.document.clone().unwrap();
    mine.spec.insert("address".into(), json!("192.0.2.2:443"));
    let client = DeadlineStore::new(&store, TIMEOUT);
    let error = client.put(Some(&base), mine).await.unwrap_err();
    expect_that!(error.exit_status(), eq(ExitStatus::Conflict));
    expect_that!(error.to_string(), contains_substring("192.0.2.9"));
    expect_that!(error.to_string(), contains_substring("192.0.2.2"));
    let stored_document = stored(&store, Kind::Service, "trail-status").await;
    expect_that!(stored_document.spec["address"], eq(&json!("192.0.2.9:443")));
}

#[gtest]
#[tokio::test]
async fn a_lost_write_after_a_concurrent_change_has_an_unknown_outcome() {
    let store = FakeStore::new();
    apply(&store, SERVICE).await.unwrap();
    let id = Id::new(Kind::Service, "trail-status");
    let base = store.get(&id).await.unwrap().unwrap();
    put(&store, &base.document.clone().unwrap()).await;
    store.set_faults(Faults {
        lost_writes: 1,
        ..Faults::default()
    });
    let client = DeadlineStore::new(&store, TIMEOUT);
    let error = client
        .put(Some(&base), base.document.clone().unwrap())
        .await
        .unwrap_err();
    expect_that!(error.exit_status(), eq(ExitStatus::UnknownOutcome));
}

#[gtest]
#[tokio::test]
async fn a_record_based_on_an_older_revision_is_a_conflict() {
    let store = FakeStore::new();
    apply(&store, SERVICE).await.unwrap();
    let stale = SERVICE.replace("schema = 1", "schema = 1\nrevision = 77");
    let error = apply(&store, &stale).await.unwrap_err();
    expect_that!(error.exit_status(), eq(ExitStatus::Conflict));
}

#[gtest]
#[tokio::test]
async fn printed_records_can_be_applied_again() {
    let store = FakeStore::new();
    apply(&store, &format!("{SERVICE}{GROUP}")).await.unwrap();
    let client = DeadlineStore::new(&store, TIMEOUT);
    let all_records = read::Get { record: Vec::new() };
    let printed = read::get(&client, &all_records)
        .await
        .unwrap()
        .json
        .to_string();
    let records = parse(&printed, Format::Json).unwrap();
    let report = apply_records(&client, &records, false).await.unwrap();
    expect_that!(report.text.matches("unchanged").count(), eq(2));
}

#[gtest]
#[tokio::test]
async fn a_partial_apply_reports_what_was_applied() {
    let store = FakeStore::new();
    apply(&store, GROUP).await.unwrap();
    let records = parse(&format!("{SERVICE}{GROUP}"), Format::Toml).unwrap();
    let mut changed = records.clone();
    changed[1].document.spec.insert("slots".into(), json!(9));
    // The store serves two reads and one write, then throttles every call.
    store.set_faults(Faults {
        calls_until_throttled: Some(3),
        ..Faults::default()
    });
    let error = apply_records(&DeadlineStore::new(&store, TIMEOUT), &changed, false)
        .await
        .unwrap_err();
    let Error::Partial {
        applied, not_tried, ..
    } = &error
    else {
        panic!("{error}");
    };
    expect_that!(applied, elements_are![eq(&records[0].document.id())]);
    expect_that!(not_tried, is_empty());
    expect_that!(error.exit_status(), eq(ExitStatus::Unavailable));
}

#[gtest]
#[tokio::test]
async fn a_change_keeps_unknown_fields_and_the_schema_version() {
    let store = FakeStore::new();
    let mut newer = Document::new(Kind::FailureDomain, "suva-a", Schema(1));
    newer.spec.insert("state".into(), json!("in"));
    newer.spec.insert("color".into(), json!("blue"));
    newer
        .unknown_fields
        .insert("labels".into(), json!({ "owner": "night shift" }));
    put(&store, &newer).await;
    let client = DeadlineStore::new(&store, TIMEOUT);
    let take_out = failure_domain_command(&["out", "suva-a", "--reason", "flood"]);
    failure_domain::set_state(&client, &take_out, false)
        .await
        .unwrap();
    let stored_document = stored(&store, Kind::FailureDomain, "suva-a").await;
    expect_that!(stored_document.schema, eq(Schema(1)));
    expect_that!(stored_document.spec["state"], eq(&json!("out")));
    expect_that!(stored_document.spec["reason"], eq(&json!("flood")));
    expect_that!(stored_document.spec["color"], eq(&json!("blue")));
    expect_that!(
        stored_document.unknown_fields["labels"]["owner"],
        eq(&json!("night shift"))
    );
    let put_back = failure_domain_command(&["in", "suva-a"]);
    expect_that!(put_back.requested_state().1, eq(DomainState::In));
}

#[gtest]
#[tokio::test]
async fn an_older_schema_keeps_the_fields_of_a_newer_one() {
    let store = FakeStore::new();
    apply(&store, GROUP).await.unwrap();
    let older = r#"
        [[record]]
        kind = "BackendGroup"
        name = "trail-status"
        schema = 1
        spec = { slots = 6, connections = 1000 }
    "#;
    apply(&store, older).await.unwrap();
    let stored_document = stored(&store, Kind::BackendGroup, "trail-status").await;
    expect_that!(stored_document.schema, eq(Schema(2)));
    expect_that!(stored_document.spec["slots"], eq(&json!(6)));
    expect_that!(stored_document.spec["drain_seconds"], eq(&json!(30)));
}

#[gtest]
#[tokio::test]
async fn draining_requires_an_announced_target_and_can_be_undone() {
    let store = FakeStore::new();
    let target = id::Target::new("t-1").unwrap();
    let client = DeadlineStore::new(&store, TIMEOUT);
    let error = drain::drain(&client, &target, false).await.unwrap_err();
    expect_that!(error.exit_status(), eq(ExitStatus::Failure));
    put(&store, &Document::new(Kind::Target, "t-1", Schema(1))).await;
    drain::drain(&client, &target, false).await.unwrap();
    expect_that!(
        stored(&store, Kind::Drain, "t-1").await.spec["target"],
        eq(&json!("t-1"))
    );
    drain::undrain(&client, &target, false).await.unwrap();
    let second_report = drain::undrain(&client, &target, false).await.unwrap();
    expect_that!(second_report.text, contains_substring("isn't drained"));
    let missing = delete::delete(&client, &Id::new(Kind::Drain, "t-1"), false).await;
    expect_that!(missing.unwrap_err().exit_status(), eq(ExitStatus::Failure));
}
