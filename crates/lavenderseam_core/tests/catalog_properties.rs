//! Documents keep unknown fields, and a catalog doesn't depend on the order of the entries that it
//! applies.

use lavenderseam_core::catalog::{Catalog, Entry, Revision};
use lavenderseam_core::record::{
    Balancer, Document, Domain, DomainState, Drain, Group, Id, Kind, Record, Schema, Service,
    Target, Verdict,
};
use proptest::prelude::*;
use serde_json::{Map, Value, json};

fn json_value() -> impl Strategy<Value = Value> {
    let scalar = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "\\PC{0,10}".prop_map(Value::from),
    ];
    scalar.prop_recursive(3, 24, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(field_name(), inner, 0..5)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

fn field_name() -> impl Strategy<Value = String> {
    let known = [
        "kind",
        "name",
        "schema",
        "spec",
        "address",
        "addresses",
        "group",
        "slots",
        "connections",
        "state",
        "target",
        "down",
        "peer",
        "rpc",
        "incarnation",
        "phase",
        "domain",
        "region",
    ];
    prop_oneof![
        prop::sample::select(known.to_vec()).prop_map(str::to_owned),
        "[a-z]{1,6}",
    ]
}

fn kind() -> impl Strategy<Value = Kind> {
    prop::sample::select(Kind::ALL.to_vec())
}

fn unknown_fields() -> impl Strategy<Value = Map<String, Value>> {
    prop::collection::btree_map("x[a-z]{1,6}", "[a-z]{0,6}".prop_map(Value::from), 0..5)
        .prop_map(|map| map.into_iter().collect())
}

/// Generates writes and deletions of three records, each at its own revision in the store's order.
fn writes() -> impl Strategy<Value = Vec<Entry>> {
    let write = (0..3u32, prop::option::of(0..3u32));
    prop::collection::vec(write, 1..12).prop_map(|writes| {
        let entry = |(index, (name, content)): (usize, (u32, Option<u32>))| {
            let revision = Revision(index as u64 + 1);
            let name = format!("domain-{name}");
            let Some(content) = content else {
                return Entry::deletion(Id::new(Kind::FailureDomain, name), revision);
            };
            let mut document = Document::new(Kind::FailureDomain, name, Schema(1));
            document.spec.insert("content".into(), json!(content));
            Entry::written(revision, document)
        };
        writes.into_iter().enumerate().map(entry).collect()
    })
}

fn catalog_of(entries: &[Entry]) -> Catalog {
    let mut catalog = Catalog::default();
    for entry in entries {
        catalog.apply(entry.clone());
    }
    catalog
}

fn live_entries(catalog: &Catalog) -> Vec<Entry> {
    let live_entries = catalog.entries().filter(|entry| entry.document.is_some());
    live_entries.cloned().collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: prop::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn parsing_any_json_as_a_document_does_not_panic(value in json_value()) {
        let _ = serde_json::from_value::<Document>(value);
    }

    #[test]
    fn reading_any_document_as_a_record_does_not_panic(
        kind in kind(),
        schema in 0..4u32,
        spec in prop::collection::btree_map(field_name(), json_value(), 0..8),
    ) {
        let mut document = Document::new(kind, "name", Schema(schema));
        document.spec = spec.into_iter().collect();
        let _ = Service::read(&document);
        let _ = Group::read(&document);
        let _ = Domain::read(&document);
        let _ = Drain::read(&document);
        let _ = Target::read(&document);
        let _ = Balancer::read(&document);
        let _ = Verdict::read(&document);
    }

    #[test]
    fn a_change_keeps_unknown_fields_and_the_schema_version(
        schema in 1..3u32,
        inner in unknown_fields(),
        outer in unknown_fields(),
    ) {
        let mut document = Document::new(Kind::FailureDomain, "suva-a", Schema(schema));
        document.spec = inner.clone();
        document.spec.insert("state".into(), json!("in"));
        document.unknown_fields = outer.clone();
        let text = serde_json::to_string(&document).unwrap();
        let mut read: Document = serde_json::from_str(&text).unwrap();
        let mut domain = Domain::read(&read).unwrap();
        domain.state = DomainState::Out;
        domain.write(&mut read);
        for (field, value) in &inner {
            prop_assert_eq!(&read.spec[field], value);
        }
        prop_assert_eq!(&read.unknown_fields, &outer);
        prop_assert_eq!(read.schema, Schema(schema));
        prop_assert_eq!(Domain::read(&read).unwrap().state, DomainState::Out);
    }

    #[test]
    fn the_order_and_repetition_of_entries_do_not_matter(
        (writes, shuffled) in writes().prop_flat_map(|writes| {
            let doubled: Vec<Entry> = writes.iter().chain(&writes).cloned().collect();
            (Just(writes), Just(doubled).prop_shuffle())
        }),
    ) {
        let ordered = catalog_of(&writes);
        let other = catalog_of(&shuffled);
        prop_assert_eq!(ordered.entries().collect::<Vec<_>>(), other.entries().collect::<Vec<_>>());
        prop_assert_eq!(ordered.digest(), other.digest());
        prop_assert_eq!(ordered.highest_revision(), other.highest_revision());
    }

    #[test]
    fn digests_are_equal_if_and_only_if_the_records_are_equal(
        writes in writes(),
        some in prop::collection::vec(any::<bool>(), 12),
        others in prop::collection::vec(any::<bool>(), 12),
    ) {
        let select = |chosen: &[bool]| -> Vec<Entry> {
            let chosen = writes.iter().zip(chosen).filter(|(_, chosen)| **chosen);
            chosen.map(|(entry, _)| entry.clone()).collect()
        };
        let one = catalog_of(&select(&some));
        let other = catalog_of(&select(&others));
        let same = live_entries(&one) == live_entries(&other);
        prop_assert_eq!(one.digest() == other.digest(), same);
        prop_assert_eq!(one.digest().differing_buckets(other.digest()).next().is_none(), same);
    }
}
