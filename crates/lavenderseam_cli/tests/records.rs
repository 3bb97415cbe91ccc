//! Tests of record parsing and merging: every invalid input gives an error, and none a panic.

use googletest::prelude::*;
use lavenderseam_cli::record::{DesiredRecord, Error, Format, merge, parse};
use lavenderseam_cli::{Output, move_global_options_first};
use proptest::prelude::*;
use serde_json::{Value, json};

fn group(spec: &Value) -> Value {
    json!({ "kind": "BackendGroup", "name": "map-store", "schema": 2, "spec": spec })
}

fn rejected_key(value: &Value) -> String {
    match parse(&value.to_string(), Format::Json) {
        Err(Error::InvalidValue { key, .. }) => key,
        Err(other) => other.to_string(),
        Ok(_) => "accepted".to_owned(),
    }
}

#[gtest]
fn invalid_values_are_reported_by_key() {
    let valid = json!({ "slots": 4, "connections": 2000 });
    expect_that!(rejected_key(&group(&valid)), eq("accepted"));
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
        expect_that!(rejected_key(&group(&spec)), eq(key));
    }
    let mut record = group(&valid);
    record["schema"] = json!(3);
    expect_that!(rejected_key(&record), eq("schema"));
    record["schema"] = json!(1);
    record["name"] = json!("Map Store");
    expect_that!(rejected_key(&record), eq("name"));
    record["kind"] = json!("Verdict");
    expect_that!(rejected_key(&record), eq("kind"));
    record["kind"] = json!("Mountain");
    expect_that!(rejected_key(&record), eq("kind"));
    expect_that!(rejected_key(&json!({ "records": [] })), eq("records"));
}

#[gtest]
fn a_duplicate_record_in_a_file_is_an_error() {
    let record = group(&json!({ "slots": 4, "connections": 2000 }));
    let text = json!([record, record]).to_string();
    expect_that!(
        parse(&text, Format::Json),
        err(matches_pattern!(Error::Duplicate(_)))
    );
}

#[gtest]
fn one_address_cannot_replace_several() {
    let spec = json!({ "addresses": ["192.0.2.1:443", "192.0.2.2:443"], "group": "g" });
    let stored = json!({ "kind": "Service", "name": "s", "schema": 2, "spec": spec });
    let spec = json!({ "address": "192.0.2.1:443", "group": "g" });
    let desired = json!({ "kind": "Service", "name": "s", "schema": 1, "spec": spec });
    let parse_one = |value: &Value| {
        parse(&value.to_string(), Format::Json)
            .unwrap()
            .remove(0)
            .document
    };
    let merged = merge(Some(&parse_one(&stored)), &parse_one(&desired));
    expect_that!(merged, err(matches_pattern!(Error::SchemaTooOld { .. })));
}

#[gtest]
fn global_options_may_follow_the_command() {
    let arguments = ["status", "--output", "json", "Service", "--dry-run"].map(str::to_owned);
    let reordered = move_global_options_first(&arguments).join(" ");
    expect_that!(reordered, eq("--output json --dry-run status Service"));
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
    fn any_text_is_parsed_or_rejected(text in "\\PC{0,200}") {
        let _ = parse(&text, Format::Toml);
        let _ = parse(&text, Format::Json);
    }

    #[test]
    fn any_json_is_parsed_or_rejected(value in json_value()) {
        let _ = parse(&value.to_string(), Format::Json);
    }

    #[test]
    fn any_fields_of_a_known_kind_are_parsed_or_rejected(
        kind in prop::sample::select(vec!["Service", "BackendGroup", "FailureDomain", "Drain"]),
        schema in 0..4u32,
        spec in json_value(),
    ) {
        let record = json!({ "kind": kind, "name": "n", "schema": schema, "spec": spec });
        let _ = parse(&record.to_string(), Format::Json);
    }

    #[test]
    fn merging_keeps_unknown_fields(
        spec_fields in extra_fields(),
        top_fields in extra_fields(),
        stored_schema in 1..3u32,
        schema in 1..3u32,
        slots in 1..9u32,
    ) {
        let mut stored = group(&json!({ "slots": 1, "connections": 1 }));
        stored["schema"] = json!(stored_schema);
        stored["spec"].as_object_mut().unwrap().extend(spec_fields.clone());
        stored.as_object_mut().unwrap().extend(top_fields.clone());
        let mut desired = group(&json!({ "slots": slots, "connections": 2 }));
        desired["schema"] = json!(schema);
        let parse_one = |value: &Value| -> DesiredRecord {
            parse(&value.to_string(), Format::Json).unwrap().remove(0)
        };
        let merged =
            merge(Some(&parse_one(&stored).document), &parse_one(&desired).document).unwrap();
        for (field, value) in &spec_fields {
            prop_assert_eq!(&merged.spec[field], value);
        }
        prop_assert_eq!(&merged.unknown_fields, &top_fields);
        prop_assert_eq!(merged.schema.0, stored_schema.max(schema));
        prop_assert_eq!(&merged.spec["slots"], &json!(slots));
    }
}
