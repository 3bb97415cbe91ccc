//! The record reader: typed errors for every bad input, and no panic for any.

use googletest::prelude::*;
use lavenderseam_cli::record::{Draft, Error, Format, merge, parse};
use lavenderseam_cli::{Output, hoist};
use proptest::prelude::*;
use serde_json::{Value, json};

fn group(spec: &Value) -> Value {
    json!({ "kind": "BackendGroup", "name": "map-store", "schema": 2, "spec": spec })
}

fn key_of(value: &Value) -> String {
    match parse(&value.to_string(), Format::Json) {
        Err(Error::Key { key, .. }) => key,
        Err(other) => other.to_string(),
        Ok(_) => "accepted".to_owned(),
    }
}

#[gtest]
fn bad_values_are_named_by_their_key() {
    let good = json!({ "slots": 4, "connections": 2000 });
    expect_that!(key_of(&group(&good)), eq("accepted"));
    let cases = [
        (json!({ "slots": 0, "connections": 1 }), "spec.slots"),
        (json!({ "slots": "four", "connections": 1 }), "spec.slots"),
        (json!({ "slots": 4 }), "spec.connections"),
        (
            json!({ "slots": 4, "connections": 1, "cold_slots": 5 }),
            "spec.cold_slots",
        ),
        (
            json!({ "slots": 4, "connections": 1, "drain_seconds": -1 }),
            "spec.drain_seconds",
        ),
    ];
    for (spec, key) in cases {
        expect_that!(key_of(&group(&spec)), eq(key));
    }
    let mut record = group(&good);
    record["schema"] = json!(3);
    expect_that!(key_of(&record), eq("schema"));
    record["schema"] = json!(1);
    record["name"] = json!("Map Store");
    expect_that!(key_of(&record), eq("name"));
    record["kind"] = json!("Verdict");
    expect_that!(key_of(&record), eq("kind"));
    record["kind"] = json!("Mountain");
    expect_that!(key_of(&record), eq("kind"));
    expect_that!(key_of(&json!({ "records": [] })), eq("records"));
}

#[gtest]
fn a_record_in_a_file_twice_is_an_error() {
    let record = group(&json!({ "slots": 4, "connections": 2000 }));
    let text = json!([record, record]).to_string();
    expect_that!(
        parse(&text, Format::Json),
        err(matches_pattern!(Error::Twice(_)))
    );
}

#[gtest]
fn one_address_cannot_replace_several() {
    let spec = json!({ "addresses": ["192.0.2.1:443", "192.0.2.2:443"], "group": "g" });
    let held = json!({ "kind": "Service", "name": "s", "schema": 2, "spec": spec });
    let spec = json!({ "address": "192.0.2.1:443", "group": "g" });
    let wanted = json!({ "kind": "Service", "name": "s", "schema": 1, "spec": spec });
    let read = |value: &Value| {
        parse(&value.to_string(), Format::Json)
            .unwrap()
            .remove(0)
            .document
    };
    let merged = merge(Some(&read(&held)), &read(&wanted));
    expect_that!(merged, err(matches_pattern!(Error::Narrow { .. })));
}

#[gtest]
fn common_options_may_follow_the_command() {
    let given = ["status", "--output", "json", "Service", "--dry-run"].map(str::to_owned);
    let hoisted = hoist(&given).join(" ");
    expect_that!(hoisted, eq("--output json --dry-run status Service"));
    expect_that!("yaml".parse::<Output>().is_err(), eq(true));
}

fn json_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        "[a-z0-9.:-]{0,12}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 24, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(key(), inner, 0..5)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

fn key() -> impl Strategy<Value = String> {
    let known = [
        "kind",
        "name",
        "schema",
        "spec",
        "record",
        "revision",
        "document",
        "slots",
        "connections",
        "address",
        "addresses",
        "group",
        "state",
        "target",
        "write_token",
    ];
    prop_oneof![
        prop::sample::select(known.to_vec()).prop_map(str::to_owned),
        "[a-z]{1,6}",
    ]
}

fn extra_fields() -> impl Strategy<Value = serde_json::Map<String, Value>> {
    prop::collection::btree_map("x[a-z]{1,6}", json_value(), 0..4)
        .prop_map(|map| map.into_iter().collect())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_is_read_or_refused(text in "\\PC{0,200}") {
        let _ = parse(&text, Format::Toml);
        let _ = parse(&text, Format::Json);
    }

    #[test]
    fn any_json_is_read_or_refused(value in json_value()) {
        let _ = parse(&value.to_string(), Format::Json);
    }

    #[test]
    fn any_fields_of_a_known_kind_are_read_or_refused(
        kind in prop::sample::select(vec!["Service", "BackendGroup", "FailureDomain", "Drain"]),
        schema in 0..4u32,
        spec in json_value(),
    ) {
        let record = json!({ "kind": kind, "name": "n", "schema": schema, "spec": spec });
        let _ = parse(&record.to_string(), Format::Json);
    }

    #[test]
    fn merging_keeps_unknown_fields(
        held in extra_fields(),
        top in extra_fields(),
        held_schema in 1..3u32,
        schema in 1..3u32,
        slots in 1..9u32,
    ) {
        let mut stored = group(&json!({ "slots": 1, "connections": 1 }));
        stored["schema"] = json!(held_schema);
        stored["spec"].as_object_mut().unwrap().extend(held.clone());
        stored.as_object_mut().unwrap().extend(top.clone());
        let mut wanted = group(&json!({ "slots": slots, "connections": 2 }));
        wanted["schema"] = json!(schema);
        let read = |value: &Value| -> Draft {
            parse(&value.to_string(), Format::Json).unwrap().remove(0)
        };
        let merged = merge(Some(&read(&stored).document), &read(&wanted).document).unwrap();
        for (field, value) in &held {
            prop_assert_eq!(&merged.spec[field], value);
        }
        prop_assert_eq!(&merged.other, &top);
        prop_assert_eq!(merged.schema.0, held_schema.max(schema));
        prop_assert_eq!(&merged.spec["slots"], &json!(slots));
    }
}
