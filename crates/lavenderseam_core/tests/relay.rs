//! The relay of records among many processes, in virtual time and with faults.

mod fixture;

use std::time::Duration;

use fixture::fleet::Fleet;
use fixture::records;
use googletest::prelude::*;
use lavenderseam_core::record::{DomainState, Id, Kind};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn settled(count: usize, regions: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(count, regions, seed);
    fleet
        .until(seconds(20), Fleet::converged)
        .expect("the fleet starts");
    fleet.run(seconds(20));
    fleet
}

#[gtest]
fn a_change_is_in_force_everywhere_at_once() {
    let mut fleet = settled(60, 2, 1);
    let id = fleet.set_domain("suva-a", DomainState::Out);
    let took = fleet.until(seconds(9), |fleet| fleet.in_force(&id));
    assert_that!(took, some(lt(Duration::from_millis(500))));
}

#[gtest]
fn only_few_processes_call_the_store() {
    let mut fleet = settled(60, 2, 2);
    let before = fleet.store.calls;
    fleet.run(seconds(100));
    // Three watches a second, and a watch returns a little late.
    assert_that!(fleet.store.calls - before, le(310));
    let watching = fleet
        .processes
        .iter()
        .filter(|process| process.node.is_watching());
    assert_that!(watching.count(), eq(3));
}

#[gtest]
fn other_processes_watch_when_all_watchers_die() {
    let mut fleet = settled(60, 2, 3);
    for process in &mut fleet.processes {
        process.alive = !process.node.is_watching();
    }
    let id = fleet.set_domain("suva-a", DomainState::Out);
    let took = fleet.until(seconds(9), |fleet| fleet.in_force(&id));
    assert_that!(took, some(lt(seconds(9))));
}

#[gtest]
fn a_paused_watcher_is_not_needed() {
    let mut fleet = settled(60, 2, 4);
    let watchers: Vec<usize> = (0..60)
        .filter(|index| fleet.processes[*index].node.is_watching())
        .collect();
    for watcher in &watchers[..2] {
        fleet.pause(*watcher, seconds(30));
    }
    let id = fleet.set_domain("suva-a", DomainState::Out);
    fleet.run(seconds(2));
    let held = fleet
        .processes
        .iter()
        .filter(|process| process.node.catalog().entry(&id).is_some());
    assert_that!(held.count(), eq(58));
    fleet.run(seconds(35));
    assert_that!(fleet.converged(), eq(true));
}

#[gtest]
fn a_resumed_process_is_closed_until_it_has_caught_up() {
    let mut fleet = settled(30, 1, 5);
    fleet.pause(7, seconds(10));
    fleet.run(seconds(1));
    let id = fleet.set_domain("suva-a", DomainState::Out);
    fleet.run(seconds(9) + Duration::from_millis(1));
    let mut opened = None;
    for _ in 0..400 {
        fleet.run(Duration::from_millis(5));
        let node = &fleet.processes[7].node;
        if node.is_open() && node.catalog().entry(&id).is_none() {
            let resumed = fleet.processes[7].paused_until;
            // Only a process that hasn't run yet since the pause may look open.
            assert_that!(fleet.now.since(resumed), lt(Duration::from_millis(260)));
        }
        if node.is_open() && node.catalog().entry(&id).is_some() {
            opened.get_or_insert(fleet.now);
        }
    }
    assert_that!(opened, some(anything()));
}

#[gtest]
fn a_process_joins_by_its_peers_while_the_store_is_away() {
    let mut fleet = settled(30, 1, 6);
    fleet.store.away = true;
    let seed = fleet.address(0);
    let joined = fleet.join(1, vec![seed]);
    fleet.run(seconds(5));
    assert_that!(fleet.converged(), eq(true));
    assert_that!(fleet.processes[joined].node.is_open(), eq(true));
}

#[gtest]
fn a_restarted_process_without_seeds_starts_from_the_store() {
    let mut fleet = settled(30, 1, 7);
    fleet.restart(9, Vec::new());
    let took = fleet.until(seconds(3), Fleet::converged);
    assert_that!(took, some(lt(seconds(3))));
}

#[gtest]
fn a_store_that_is_away_is_not_stormed() {
    let mut fleet = settled(60, 2, 8);
    fleet.store.away = true;
    fleet.run(seconds(30));
    let before = fleet.store.calls;
    fleet.run(seconds(100));
    // Three watchers once a second, the others together 1 / 20 ms at most; with 60 processes the
    // pause is bounded below by two seconds each.
    assert_that!(fleet.store.calls - before, le(300 + 57 * 50));
}

#[gtest]
fn parted_regions_follow_the_store_on_their_own() {
    let mut fleet = settled(60, 3, 9);
    fleet.parted = true;
    fleet.run(seconds(10));
    let id = fleet.set_domain("suva-a", DomainState::Out);
    let took = fleet.until(seconds(9), |fleet| fleet.in_force(&id));
    assert_that!(took, some(lt(seconds(9))));
}

#[gtest]
fn parted_regions_revert_nothing_when_they_meet() {
    let mut fleet = settled(60, 3, 10);
    fleet.parted = true;
    fleet.storeless = vec![1, 2];
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
    fleet.parted = false;
    let took = fleet.until(seconds(30), Fleet::converged);
    assert_that!(took, some(lt(seconds(10))));
}

#[gtest]
fn deletions_are_forgotten_and_stay_deleted() {
    let mut fleet = settled(40, 1, 11);
    fleet.pause(13, seconds(60));
    for index in 0..30 {
        let name = format!("drain-{index}");
        fleet.set_domain(&name, DomainState::Out);
        fleet.run(seconds(1));
        fleet.store.delete(&Id::new(Kind::FailureDomain, name));
    }
    fleet.run(seconds(60));
    assert_that!(fleet.converged(), eq(true));
    for process in &fleet.processes {
        assert_that!(process.node.catalog().len(), eq(40));
    }
}

#[gtest]
fn records_written_by_a_member_reach_all_while_the_store_is_away() {
    let mut fleet = settled(40, 2, 12);
    let index = 17;
    fleet.store.away = true;
    fleet.run(seconds(2));
    // The write was taken just before the store went away, and only the writer knows.
    let mut document = records::target(index, index % 2);
    document.spec.insert("phase".to_owned(), "leaving".into());
    let entry = fleet.store.put(document);
    let now = fleet.now;
    fleet.accept(index, entry.clone(), now);
    let took = fleet.until(seconds(9), |fleet| fleet.in_force(&entry.id));
    assert_that!(took, some(lt(seconds(9))));
}

#[gtest]
fn a_dead_balancer_is_forgotten_and_a_parted_one_is_not() {
    let mut fleet = settled(30, 2, 13);
    fleet.checking = false;
    fleet.processes[10].alive = false;
    fleet.run(seconds(900));
    let id = Id::new(Kind::Balancer, "balancer-10");
    assert_that!(fleet.store.present[&id].document, none());
    assert_that!(fleet.converged(), eq(true));
    fleet.parted = true;
    let held = fleet.store.list().len();
    fleet.run(seconds(1800));
    assert_that!(fleet.store.list().len(), eq(held));
}

#[gtest]
fn a_process_whose_parents_are_dead_asks_others() {
    let mut fleet = settled(240, 3, 14);
    for process in fleet.processes.iter_mut().skip(3).step_by(10) {
        process.alive = false;
    }
    for round in 0..5 {
        let id = fleet.set_domain(&format!("domain-{round}"), DomainState::Out);
        let took = fleet.until(seconds(9), |fleet| fleet.in_force(&id));
        assert_that!(took, some(lt(seconds(9))));
    }
}

#[gtest]
fn a_deletion_is_in_force_everywhere_at_once() {
    let mut fleet = settled(60, 2, 15);
    let id = fleet.set_domain("suva-a", DomainState::Out);
    fleet.run(seconds(5));
    fleet.store.delete(&id);
    let took = fleet.until(seconds(9), Fleet::converged);
    assert_that!(took, some(lt(Duration::from_millis(500))));
}
