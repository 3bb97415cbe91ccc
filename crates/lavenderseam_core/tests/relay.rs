//! Replication of records among many processes, in virtual time and with faults.

mod fixture;

use std::time::Duration;

use fixture::fleet::Fleet;
use fixture::records;
use googletest::prelude::*;
use lavenderseam_core::record::{DomainState, Id, Kind};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn settled_fleet(count: usize, regions: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(count, regions, seed);
    fleet
        .run_until(seconds(20), Fleet::has_converged)
        .expect("the fleet should converge after its start");
    fleet.run(seconds(20));
    fleet
}

#[gtest]
fn a_change_reaches_all_processes_within_half_a_second() {
    let mut fleet = settled_fleet(60, 2, 1);
    let id = fleet.set_domain("suva-a", DomainState::Out);
    let elapsed = fleet.run_until(seconds(9), |fleet| fleet.is_applied_everywhere(&id));
    assert_that!(elapsed, some(lt(Duration::from_millis(500))));
}

#[gtest]
fn only_the_regular_watchers_call_the_store() {
    let mut fleet = settled_fleet(60, 2, 2);
    let before = fleet.store.calls;
    fleet.run(seconds(100));
    // Three watches per second; the margin allows for timing.
    assert_that!(fleet.store.calls - before, le(310));
    let watching = fleet
        .processes
        .iter()
        .filter(|process| process.node.is_watching());
    assert_that!(watching.count(), eq(3));
}

#[gtest]
fn other_processes_watch_the_store_when_all_watchers_fail() {
    let mut fleet = settled_fleet(60, 2, 3);
    for process in &mut fleet.processes {
        process.is_running = !process.node.is_watching();
    }
    let id = fleet.set_domain("suva-a", DomainState::Out);
    let elapsed = fleet.run_until(seconds(9), |fleet| fleet.is_applied_everywhere(&id));
    assert_that!(elapsed, some(lt(seconds(9))));
}

#[gtest]
fn paused_watchers_do_not_delay_a_change() {
    let mut fleet = settled_fleet(60, 2, 4);
    let watchers: Vec<usize> = (0..60)
        .filter(|index| fleet.processes[*index].node.is_watching())
        .collect();
    for watcher in &watchers[..2] {
        fleet.pause(*watcher, seconds(30));
    }
    let id = fleet.set_domain("suva-a", DomainState::Out);
    fleet.run(seconds(2));
    let holders = fleet
        .processes
        .iter()
        .filter(|process| process.node.catalog().entry(&id).is_some());
    assert_that!(holders.count(), eq(58));
    fleet.run(seconds(35));
    assert_that!(fleet.has_converged(), eq(true));
}

#[gtest]
fn a_resumed_process_stays_closed_until_its_records_are_current() {
    let mut fleet = settled_fleet(30, 1, 5);
    fleet.pause(7, seconds(10));
    fleet.run(seconds(1));
    let id = fleet.set_domain("suva-a", DomainState::Out);
    fleet.run(seconds(9) + Duration::from_millis(1));
    let mut opened = None;
    for _ in 0..400 {
        fleet.run(Duration::from_millis(5));
        let node = &fleet.processes[7].node;
        if node.is_confirmed() && node.catalog().entry(&id).is_none() {
            let resumed = fleet.processes[7].paused_until;
            // A resumed process may look open only until it handles its first event.
            assert_that!(fleet.now.since(resumed), lt(Duration::from_millis(260)));
        }
        if node.is_confirmed() && node.catalog().entry(&id).is_some() {
            opened.get_or_insert(fleet.now);
        }
    }
    assert_that!(opened, some(anything()));
}

#[gtest]
fn a_process_joins_through_its_peers_while_the_store_is_unreachable() {
    let mut fleet = settled_fleet(30, 1, 6);
    fleet.store.unreachable = true;
    let seed = fleet.address(0);
    let joined = fleet.join(1, vec![seed]);
    fleet.run(seconds(5));
    assert_that!(fleet.has_converged(), eq(true));
    assert_that!(fleet.processes[joined].node.is_confirmed(), eq(true));
}

#[gtest]
fn a_restarted_process_without_seeds_starts_from_the_store() {
    let mut fleet = settled_fleet(30, 1, 7);
    fleet.restart(9, Vec::new());
    let elapsed = fleet.run_until(seconds(3), Fleet::has_converged);
    assert_that!(elapsed, some(lt(seconds(3))));
}

#[gtest]
fn calls_to_an_unreachable_store_are_rate_limited() {
    let mut fleet = settled_fleet(60, 2, 8);
    fleet.store.unreachable = true;
    fleet.run(seconds(30));
    let before = fleet.store.calls;
    fleet.run(seconds(100));
    // Three watchers call once per second each, and the others together at most once per 20 ms;
    // with 60 processes each of the others waits at least two seconds between calls.
    assert_that!(fleet.store.calls - before, le(300 + 57 * 50));
}

#[gtest]
fn partitioned_regions_receive_changes_from_the_store() {
    let mut fleet = settled_fleet(60, 3, 9);
    fleet.partitioned = true;
    fleet.run(seconds(10));
    let id = fleet.set_domain("suva-a", DomainState::Out);
    let elapsed = fleet.run_until(seconds(9), |fleet| fleet.is_applied_everywhere(&id));
    assert_that!(elapsed, some(lt(seconds(9))));
}

#[gtest]
fn a_healed_partition_reverts_no_record() {
    let mut fleet = settled_fleet(60, 3, 10);
    fleet.partitioned = true;
    fleet.regions_without_store = vec![1, 2];
    let gone = Id::new(Kind::Target, "target-1");
    for round in 0..20 {
        let state = if round % 2 == 0 {
            DomainState::Out
        } else {
            DomainState::In
        };
        fleet.set_domain("suva-a", state);
        fleet.run(seconds(5));
    }
    fleet.store.delete(&gone);
    fleet.run(seconds(60));
    fleet.partitioned = false;
    let elapsed = fleet.run_until(seconds(30), Fleet::has_converged);
    assert_that!(elapsed, some(lt(seconds(10))));
}

#[gtest]
fn discarded_deletions_stay_deleted() {
    let mut fleet = settled_fleet(40, 1, 11);
    fleet.pause(13, seconds(60));
    for index in 0..30 {
        let name = format!("drain-{index}");
        fleet.set_domain(&name, DomainState::Out);
        fleet.run(seconds(1));
        fleet.store.delete(&Id::new(Kind::FailureDomain, name));
    }
    fleet.run(seconds(60));
    assert_that!(fleet.has_converged(), eq(true));
    for process in &fleet.processes {
        assert_that!(process.node.catalog().len(), eq(40));
    }
}

#[gtest]
fn a_record_written_by_a_member_reaches_all_while_the_store_is_unreachable() {
    let mut fleet = settled_fleet(40, 2, 12);
    let index = 17;
    fleet.store.unreachable = true;
    fleet.run(seconds(2));
    // The store accepted the write just before it became unreachable; only the writer knows of it.
    let mut document = records::target(index, index % 2);
    document.spec.insert("phase".to_owned(), "leaving".into());
    let entry = fleet.store.put(document);
    let now = fleet.now;
    fleet.accept(index, entry.clone(), now);
    let elapsed = fleet.run_until(seconds(9), |fleet| fleet.is_applied_everywhere(&entry.id));
    assert_that!(elapsed, some(lt(seconds(9))));
}

#[gtest]
fn the_record_of_a_failed_balancer_is_deleted_but_not_of_a_partitioned_one() {
    let mut fleet = settled_fleet(30, 2, 13);
    fleet.checks_steps = false;
    fleet.processes[10].is_running = false;
    fleet.run(seconds(900));
    let id = Id::new(Kind::Balancer, "balancer-10");
    assert_that!(fleet.store.present[&id].document, none());
    assert_that!(fleet.has_converged(), eq(true));
    fleet.partitioned = true;
    let record_count = fleet.store.list().len();
    fleet.run(seconds(1800));
    assert_that!(fleet.store.list().len(), eq(record_count));
}

#[gtest]
fn a_process_whose_parents_failed_pulls_from_others() {
    let mut fleet = settled_fleet(240, 3, 14);
    for process in fleet.processes.iter_mut().skip(3).step_by(10) {
        process.is_running = false;
    }
    for round in 0..5 {
        let id = fleet.set_domain(&format!("domain-{round}"), DomainState::Out);
        let elapsed = fleet.run_until(seconds(9), |fleet| fleet.is_applied_everywhere(&id));
        assert_that!(elapsed, some(lt(seconds(9))));
    }
}

#[gtest]
fn a_deletion_reaches_all_processes_within_half_a_second() {
    let mut fleet = settled_fleet(60, 2, 15);
    let id = fleet.set_domain("suva-a", DomainState::Out);
    fleet.run(seconds(5));
    fleet.store.delete(&id);
    let elapsed = fleet.run_until(seconds(9), Fleet::has_converged);
    assert_that!(elapsed, some(lt(Duration::from_millis(500))));
}
