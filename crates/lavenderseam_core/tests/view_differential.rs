//! Compares the incremental compiler with a view compiled from scratch after every change.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod naive;

use std::collections::HashMap;
use std::net::SocketAddr;

use lavenderseam_core::catalog::{ApplyOutcome, Catalog, Entry, Revision};
use lavenderseam_core::id::{self, Incarnation};
use lavenderseam_core::record::{
    self, Document, DownTarget, Id, Kind, Phase, Record, Schema, Slots,
};
use lavenderseam_core::view::{Candidate, Compiler, View};
use proptest::prelude::*;

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, index], 443))
}

fn document<R: Record>(name: &str, schema: u32, record: &R) -> Document {
    let mut document = Document::new(R::KIND, name, Schema(schema));
    record.write(&mut document);
    document
}

fn group(index: u8) -> id::Group {
    id::Group::new(&format!("group-{index}")).unwrap()
}

fn target(index: u8) -> id::Target {
    id::Target::new(&format!("target-{index}")).unwrap()
}

fn domain(index: u8) -> id::Domain {
    id::Domain::new(&format!("domain-{index}")).unwrap()
}

fn services() -> impl Strategy<Value = Document> {
    (0..3u8, prop::collection::vec(0..4u8, 1..3), 0..3u8).prop_map(|(name, addresses, of)| {
        let addresses = addresses.into_iter().map(address).collect();
        document(
            &format!("service-{name}"),
            2,
            &record::Service {
                addresses,
                group: group(of),
            },
        )
    })
}

fn groups() -> impl Strategy<Value = Document> {
    (0..3u8, 1..9u32).prop_map(|(name, slots)| {
        let limits = record::Group {
            slots: Slots(slots),
            connections: 2000,
            cold_slots: Slots(1),
            drain_timeout: std::time::Duration::from_secs(30),
        };
        document(group(name).as_str(), 2, &limits)
    })
}

fn domains() -> impl Strategy<Value = Document> {
    (0..2u8, any::<bool>()).prop_map(|(name, out)| {
        let state = if out {
            record::DomainState::Out
        } else {
            record::DomainState::In
        };
        document(
            domain(name).as_str(),
            1,
            &record::Domain {
                state,
                reason: None,
            },
        )
    })
}

fn drains() -> impl Strategy<Value = Document> {
    (0..3u8, 0..5u8).prop_map(|(name, of)| {
        document(
            &format!("drain-{name}"),
            1,
            &record::Drain { target: target(of) },
        )
    })
}

fn targets() -> impl Strategy<Value = Document> {
    (0..5u8, 0..3u8, 0..2u8, 0..2u64, any::<bool>()).prop_map(|(name, of, inside, run, leaving)| {
        let target_record = record::Target {
            group: group(of),
            domain: domain(inside),
            region: id::Region::new("region").unwrap(),
            peer: address(name + 100),
            rpc: address(name + 100),
            incarnation: Incarnation(run),
            phase: if leaving {
                Phase::Leaving
            } else {
                Phase::Serving
            },
        };
        document(target(name).as_str(), 1, &target_record)
    })
}

fn verdicts() -> impl Strategy<Value = Document> {
    let down = (0..5u8, 0..2u64).prop_map(|(of, run)| DownTarget {
        target: target(of),
        incarnation: Incarnation(run),
    });
    (0..3u8, prop::collection::vec(down, 0..4)).prop_map(|(name, down)| {
        document(&format!("balancer-{name}"), 1, &record::Verdict { down })
    })
}

fn changes() -> impl Strategy<Value = (Document, bool, u64)> {
    let any_document = prop_oneof![
        services(),
        groups(),
        domains(),
        drains(),
        targets(),
        verdicts()
    ];
    (any_document, prop::bool::weighted(0.2), 1..60u64)
}

fn check_equal(view: &View, catalog: &Catalog) -> Result<(), TestCaseError> {
    let (services, targets) = naive::view::compile(catalog);
    let compiled: HashMap<SocketAddr, _> = view
        .services()
        .map(|(address, service)| (address, service.clone()))
        .collect();
    prop_assert_eq!(compiled, services);
    let mut compiled: Vec<Candidate> = view.targets().cloned().collect();
    compiled.sort_by(|a, b| a.name.cmp(&b.name));
    prop_assert_eq!(compiled, targets);
    prop_assert_eq!(view.revision(), catalog.highest_revision());
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: prop::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn incremental_compilation_equals_compilation_from_scratch(
        changes in prop::collection::vec(changes(), 1..40),
    ) {
        let mut catalog = Catalog::default();
        let mut compiler = Compiler::default();
        for (document, delete, revision) in changes {
            let revision = Revision(revision);
            let entry = if delete {
                Entry::deletion(document.id(), revision)
            } else {
                Entry::written(revision, document)
            };
            if catalog.apply(entry.clone()) == ApplyOutcome::Newer {
                compiler.apply(&entry);
            }
            let view = compiler.compile();
            check_equal(&view, &catalog)?;
        }
    }
}

#[googletest::gtest]
fn a_stale_entry_does_not_change_the_record() {
    let id = Id::new(Kind::FailureDomain, "suva-a");
    let mut catalog = Catalog::default();
    catalog.apply(Entry::deletion(id.clone(), Revision(9)));
    let stale = Document::new(Kind::FailureDomain, "suva-a", Schema(1));
    googletest::expect_that!(
        catalog.apply(Entry::written(Revision(8), stale)),
        googletest::prelude::eq(ApplyOutcome::Stale)
    );
    let revision = catalog.entry(&id).map(|entry| entry.revision);
    googletest::expect_that!(
        revision,
        googletest::prelude::some(googletest::prelude::eq(Revision(9)))
    );
}
