//! Under random faults, every process converges to the records of the store and never replaces a
//! record by an older revision. Each step is checked against a reference table that never discards
//! deletions.

mod fixture;

use std::time::Duration;

use fixture::fleet::Fleet;
use fixture::records;
use lavenderseam_core::record::{DomainState, Id, Kind};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Fault {
    ChangeDomain(u8),
    DeleteDomain(u8),
    MarkLeaving(u8),
    Kill(u8),
    Restart(u8),
    Pause(u8, u8),
    PartitionRegions(bool),
    StoreUnreachable(bool),
    RegionWithoutStore(u8),
    PacketLossPercent(u8),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => any::<u8>().prop_map(Fault::ChangeDomain),
        2 => any::<u8>().prop_map(Fault::DeleteDomain),
        1 => any::<u8>().prop_map(Fault::MarkLeaving),
        1 => any::<u8>().prop_map(Fault::Kill),
        1 => any::<u8>().prop_map(Fault::Restart),
        2 => (any::<u8>(), 1..20u8).prop_map(|(who, span)| Fault::Pause(who, span)),
        1 => any::<bool>().prop_map(Fault::PartitionRegions),
        1 => any::<bool>().prop_map(Fault::StoreUnreachable),
        1 => any::<u8>().prop_map(Fault::RegionWithoutStore),
        1 => (0..40u8).prop_map(Fault::PacketLossPercent),
    ]
}

fn inject(fleet: &mut Fleet, fault: &Fault) {
    let count = fleet.processes.len();
    let pick = |who: u8| usize::from(who) % count;
    match *fault {
        Fault::ChangeDomain(which) => {
            let state = if which % 2 == 0 {
                DomainState::Out
            } else {
                DomainState::In
            };
            fleet.set_domain(&format!("domain-{}", which % 6), state);
        }
        Fault::DeleteDomain(which) => {
            let id = Id::new(Kind::FailureDomain, format!("domain-{}", which % 6));
            if fleet.store.list().iter().any(|entry| entry.id == id) {
                fleet.store.delete(&id);
            }
        }
        Fault::MarkLeaving(who) if !fleet.store.unreachable => {
            let index = pick(who);
            let mut document = if index.is_multiple_of(5) {
                records::balancer(index, index % 3)
            } else {
                records::target(index, index % 3)
            };
            document.spec.insert("phase".to_owned(), "leaving".into());
            let entry = fleet.store.put(document);
            let now = fleet.now;
            fleet.accept(index, entry, now);
        }
        Fault::MarkLeaving(_) => {}
        Fault::Kill(who) => fleet.processes[pick(who)].is_running = false,
        Fault::Restart(who) => {
            let seed = fleet.address(pick(who.wrapping_add(1)));
            fleet.restart(pick(who), vec![seed]);
        }
        Fault::Pause(who, span) => fleet.pause(pick(who), Duration::from_secs(span.into())),
        Fault::PartitionRegions(parted) => fleet.partitioned = parted,
        Fault::StoreUnreachable(away) => fleet.store.unreachable = away,
        Fault::RegionWithoutStore(region) => {
            fleet.regions_without_store = vec![usize::from(region % 3)];
        }
        Fault::PacketLossPercent(percent) => fleet.loss = f64::from(percent) / 100.0,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_process_converges_and_no_record_reverts(
        seed in any::<u64>(),
        faults in prop::collection::vec((fault(), 0..4000u64), 1..40),
    ) {
        let mut fleet = Fleet::new(24, 3, seed);
        fleet.run(Duration::from_secs(10));
        for (fault, wait) in &faults {
            inject(&mut fleet, fault);
            fleet.run(Duration::from_millis(*wait));
        }
        fleet.partitioned = false;
        fleet.store.unreachable = false;
        fleet.regions_without_store.clear();
        fleet.loss = 0.0;
        let elapsed = fleet.run_until(Duration::from_secs(60), Fleet::has_converged);
        prop_assert!(elapsed.is_some(), "not converged 60 s after the last fault");
    }
}
