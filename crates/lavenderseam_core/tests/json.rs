//! Decoding of answers with entries that can't be read.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use googletest::prelude::*;
use lavenderseam_core::json::{Answer, Entry};
use proptest::prelude::*;
use serde_json::{Value, json};

/// Guards against an entry that is lost as a whole although only a part of it can't be read.
#[gtest]
fn the_readable_parts_of_an_entry_are_kept() {
    let text =
        br#"{"meta": {"name": "a, \"b\": {c", "x": 1e999}, "spec": [1, [2, NaN]], "y": "\q"}"#;
    let entry = Entry::decode(text);
    expect_that!(
        entry.value,
        eq(&json!({
            "meta": {"name": "a, \"b\": {c", "x": null},
            "spec": [1, [2, null]],
            "y": null,
        }))
    );
    expect_that!(entry.damage, some(anything()));
}

/// Guards against a text whose brackets or strings don't end, and which is taken for complete.
#[gtest]
fn incomplete_answers_are_errors() {
    for text in [
        "",
        "{",
        "[]",
        "{\"list\":[1e999}",
        "{\"list\":[\"]}",
        "{\"list\":1e999}",
        "}{",
        "{]",
    ] {
        expect_that!(
            Answer::decode(text.as_bytes(), "list").is_err(),
            eq(true),
            "{text}"
        );
    }
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        "[\\PC\"\\\\{}\\[\\],:]{0,8}".prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 32, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map("[a-z\"\\\\:]{0,4}", inner, 0..4)
                .prop_map(|members| Value::Object(members.into_iter().collect())),
        ]
    })
}

proptest! {
    #[test]
    fn decoding_any_bytes_never_panics(text in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Answer::decode(&text, "list");
        let _ = Entry::decode(&text);
    }

    /// An unreadable entry changes nothing about the others, whatever these hold.
    #[test]
    fn entries_beside_an_unreadable_one_are_decoded_as_alone(
        values in prop::collection::vec(any_json(), 0..6),
        odd in "NaN|1e999|\"\\\\q\"|[0-9]{400}|\\[Infinity\\]",
        position in 0_usize..6,
    ) {
        let mut texts: Vec<String> = values.iter().map(Value::to_string).collect();
        let position = position.min(texts.len());
        texts.insert(position, odd);
        let text = format!("{{\"list\": [{}], \"other\": 7}}", texts.join(" , "));
        let answer = Answer::decode(text.as_bytes(), "list").unwrap();
        prop_assert_eq!(&answer.members["other"], &json!(7));
        let mut entries = answer.entries;
        prop_assert!(entries.remove(position).damage.is_some());
        prop_assert!(entries.iter().all(|entry| entry.damage.is_none()));
        let decoded: Vec<Value> = entries.into_iter().map(|entry| entry.value).collect();
        prop_assert_eq!(decoded, values);
    }
}
