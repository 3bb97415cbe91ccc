//! Changes through a store that loses answers, goes away and has other writers.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_cli::command::apply::apply_drafts;
use lavenderseam_cli::command::{delete, domain, drain, read};
use lavenderseam_cli::edit::Editor;
use lavenderseam_cli::record::{Format, parse};
use lavenderseam_cli::{Error, Exit};
use lavenderseam_core::id;
use lavenderseam_core::record::{Document, DomainState, Id, Kind, Schema};
use lavenderseam_platform::fake::{Fake, Faults};
use lavenderseam_platform::{Condition, Store};
use serde_json::json;

const SHORT: Duration = Duration::from_millis(350);

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

async fn apply(store: &Fake, text: &str) -> std::result::Result<lavenderseam_cli::Report, Error> {
    let drafts = parse(text, Format::Toml)?;
    apply_drafts(&Editor::new(store, SHORT), &drafts, false).await
}

async fn stored(store: &Fake, kind: Kind, name: &str) -> Document {
    let entry = store.get(&Id::new(kind, name)).await.unwrap().unwrap();
    entry.document.unwrap()
}

async fn put(store: &Fake, document: &Document) {
    let held = store.get(&document.id()).await.unwrap();
    let condition = held.map_or(Condition::Absent, |entry| Condition::At(entry.revision));
    store.put(document, condition).await.unwrap();
}

fn domain_order(words: &[&str]) -> domain::FailureDomain {
    argh::FromArgs::from_args(&["failure-domain"], words).unwrap()
}

#[gtest]
#[tokio::test]
async fn writes_several_records_and_leaves_unchanged_ones_alone() {
    let store = Fake::new();
    let both = format!("{SERVICE}{GROUP}");
    apply(&store, &both).await.unwrap();
    let before = store.list().await.unwrap().revision;
    let again = apply(&store, &both).await.unwrap();
    expect_that!(store.list().await.unwrap().revision, eq(before));
    expect_that!(again.text, contains_substring("unchanged"));
}

#[gtest]
#[tokio::test]
async fn dry_run_writes_nothing() {
    let store = Fake::new();
    let drafts = parse(SERVICE, Format::Toml).unwrap();
    let report = apply_drafts(&Editor::new(&store, SHORT), &drafts, true)
        .await
        .unwrap();
    expect_that!(report.text, contains_substring("would be written"));
    expect_that!(store.list().await.unwrap().entries, is_empty());
}

#[gtest]
#[tokio::test]
async fn a_lost_answer_is_settled_by_the_token() {
    let store = Fake::new();
    store.set(Faults {
        lost_answers: 1,
        ..Faults::default()
    });
    apply(&store, SERVICE).await.unwrap();
    expect_that!(store.list().await.unwrap().entries, len(eq(1)));
}

#[gtest]
#[tokio::test]
async fn a_lost_write_is_sent_again() {
    let store = Fake::new();
    store.set(Faults {
        lost_writes: 1,
        ..Faults::default()
    });
    apply(&store, SERVICE).await.unwrap();
    expect_that!(store.list().await.unwrap().entries, len(eq(1)));
}

#[gtest]
#[tokio::test]
async fn a_store_that_stays_away_is_told_with_its_own_exit_code() {
    let store = Fake::new();
    store.set(Faults {
        away: true,
        ..Faults::default()
    });
    let error = apply(&store, SERVICE).await.unwrap_err();
    expect_that!(error.exit(), eq(Exit::Away));
}

#[gtest]
#[tokio::test]
async fn writes_that_are_never_answered_have_an_unknown_outcome() {
    let store = Fake::new();
    store.set(Faults {
        lost_writes: 1000,
        ..Faults::default()
    });
    let error = apply(&store, SERVICE).await.unwrap_err();
    expect_that!(error.exit(), eq(Exit::Unknown));
}

#[gtest]
#[tokio::test]
async fn a_racing_edit_is_a_conflict_that_shows_both_versions() {
    let store = Fake::new();
    apply(&store, SERVICE).await.unwrap();
    let id = Id::new(Kind::Service, "trail-status");
    let base = store.get(&id).await.unwrap().unwrap();
    let mut theirs = base.document.clone().unwrap();
    theirs.spec.insert("address".into(), json!("192.0.2.9:443"));
    put(&store, &theirs).await;
    let mut mine = base.document.clone().unwrap();
    mine.spec.insert("address".into(), json!("192.0.2.2:443"));
    let editor = Editor::new(&store, SHORT);
    let error = editor.put(Some(&base), mine).await.unwrap_err();
    expect_that!(error.exit(), eq(Exit::Conflict));
    expect_that!(error.to_string(), contains_substring("192.0.2.9"));
    expect_that!(error.to_string(), contains_substring("192.0.2.2"));
    let held = stored(&store, Kind::Service, "trail-status").await;
    expect_that!(held.spec["address"], eq(&json!("192.0.2.9:443")));
}

#[gtest]
#[tokio::test]
async fn a_lost_answer_that_another_writer_has_overtaken_is_unknown() {
    let store = Fake::new();
    apply(&store, SERVICE).await.unwrap();
    let id = Id::new(Kind::Service, "trail-status");
    let base = store.get(&id).await.unwrap().unwrap();
    put(&store, &base.document.clone().unwrap()).await;
    store.set(Faults {
        lost_writes: 1,
        ..Faults::default()
    });
    let editor = Editor::new(&store, SHORT);
    let error = editor
        .put(Some(&base), base.document.clone().unwrap())
        .await
        .unwrap_err();
    expect_that!(error.exit(), eq(Exit::Unknown));
}

#[gtest]
#[tokio::test]
async fn a_record_based_on_an_older_revision_is_a_conflict() {
    let store = Fake::new();
    apply(&store, SERVICE).await.unwrap();
    let stale = SERVICE.replace("schema = 1", "schema = 1\nrevision = 77");
    let error = apply(&store, &stale).await.unwrap_err();
    expect_that!(error.exit(), eq(Exit::Conflict));
}

#[gtest]
#[tokio::test]
async fn printed_records_can_be_applied_again() {
    let store = Fake::new();
    apply(&store, &format!("{SERVICE}{GROUP}")).await.unwrap();
    let editor = Editor::new(&store, SHORT);
    let everything = read::Get { record: Vec::new() };
    let printed = read::get(&editor, &everything)
        .await
        .unwrap()
        .json
        .to_string();
    let drafts = parse(&printed, Format::Json).unwrap();
    let report = apply_drafts(&editor, &drafts, false).await.unwrap();
    expect_that!(report.text.matches("unchanged").count(), eq(2));
}

#[gtest]
#[tokio::test]
async fn an_apply_that_stops_midway_says_what_was_applied() {
    let store = Fake::new();
    apply(&store, GROUP).await.unwrap();
    let drafts = parse(&format!("{SERVICE}{GROUP}"), Format::Toml).unwrap();
    let mut changed = drafts.clone();
    changed[1].document.spec.insert("slots".into(), json!(9));
    // Two reads and one write are answered, then the store is at its limit.
    store.set(Faults {
        allowance: Some(3),
        ..Faults::default()
    });
    let error = apply_drafts(&Editor::new(&store, SHORT), &changed, false)
        .await
        .unwrap_err();
    let Error::Partial { applied, left, .. } = &error else {
        panic!("{error}");
    };
    expect_that!(applied, elements_are![eq(&drafts[0].document.id())]);
    expect_that!(left, is_empty());
    expect_that!(error.exit(), eq(Exit::Away));
}

#[gtest]
#[tokio::test]
async fn a_change_keeps_unknown_fields_and_the_schema_version() {
    let store = Fake::new();
    let mut newer = Document::new(Kind::FailureDomain, "suva-a", Schema(1));
    newer.spec.insert("state".into(), json!("in"));
    newer.spec.insert("color".into(), json!("blue"));
    newer
        .other
        .insert("labels".into(), json!({ "owner": "night shift" }));
    put(&store, &newer).await;
    let editor = Editor::new(&store, SHORT);
    let order = domain_order(&["out", "suva-a", "--reason", "flood"]);
    domain::set(&editor, &order, false).await.unwrap();
    let held = stored(&store, Kind::FailureDomain, "suva-a").await;
    expect_that!(held.schema, eq(Schema(1)));
    expect_that!(held.spec["state"], eq(&json!("out")));
    expect_that!(held.spec["reason"], eq(&json!("flood")));
    expect_that!(held.spec["color"], eq(&json!("blue")));
    expect_that!(held.other["labels"]["owner"], eq(&json!("night shift")));
    let back = domain_order(&["in", "suva-a"]);
    expect_that!(back.order().1, eq(DomainState::In));
}

#[gtest]
#[tokio::test]
async fn an_older_record_keeps_the_fields_of_a_newer_one() {
    let store = Fake::new();
    apply(&store, GROUP).await.unwrap();
    let older = r#"
        [[record]]
        kind = "BackendGroup"
        name = "trail-status"
        schema = 1
        spec = { slots = 6, connections = 1000 }
    "#;
    apply(&store, older).await.unwrap();
    let held = stored(&store, Kind::BackendGroup, "trail-status").await;
    expect_that!(held.schema, eq(Schema(2)));
    expect_that!(held.spec["slots"], eq(&json!(6)));
    expect_that!(held.spec["drain_seconds"], eq(&json!(30)));
}

#[gtest]
#[tokio::test]
async fn draining_needs_an_announced_target_and_can_be_undone() {
    let store = Fake::new();
    let target = id::Target::new("t-1").unwrap();
    let editor = Editor::new(&store, SHORT);
    let error = drain::drain(&editor, &target, false).await.unwrap_err();
    expect_that!(error.exit(), eq(Exit::Failure));
    put(&store, &Document::new(Kind::Target, "t-1", Schema(1))).await;
    drain::drain(&editor, &target, false).await.unwrap();
    expect_that!(
        stored(&store, Kind::Drain, "t-1").await.spec["target"],
        eq(&json!("t-1"))
    );
    drain::undrain(&editor, &target, false).await.unwrap();
    let again = drain::undrain(&editor, &target, false).await.unwrap();
    expect_that!(again.text, contains_substring("isn't drained"));
    let missing = delete::delete(&editor, &Id::new(Kind::Drain, "t-1"), false).await;
    expect_that!(missing.unwrap_err().exit(), eq(Exit::Failure));
}
