//! Replication of records when the store is restored from a copy that lacks recent writes.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod fixture;

use std::time::Duration;

use fixture::fleet::Fleet;
use googletest::prelude::*;
use lavenderseam_core::catalog::Entry;
use lavenderseam_core::record::{Domain, DomainState, Id, Kind, Record};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn settled_fleet(count: usize, regions: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(count, regions, seed);
    // The reference state of the fixture knows one epoch only.
    fleet.checks_steps = false;
    fleet
        .run_until(seconds(20), Fleet::has_converged)
        .expect("the fleet should converge after its start");
    fleet.run(seconds(20));
    fleet
}

/// Changes a failure domain `count` times, one second apart; the last state is in service.
fn change_domain(fleet: &mut Fleet, count: usize) -> Id {
    for index in (0..count).rev() {
        let state = if index.is_multiple_of(2) {
            DomainState::In
        } else {
            DomainState::Out
        };
        fleet.set_domain("suva-a", state);
        fleet.run(seconds(1));
    }
    Id::new(Kind::FailureDomain, "suva-a")
}

fn state_at(fleet: &Fleet, process: usize, id: &Id) -> Option<DomainState> {
    let entry = fleet.processes[process].node.catalog().entry(id)?;
    let domain = Domain::read(entry.document.as_ref()?).ok()?;
    Some(domain.state)
}

fn all_hold(fleet: &Fleet, id: &Id, state: DomainState) -> bool {
    let running = (0..fleet.processes.len()).filter(|index| fleet.processes[*index].is_running);
    running
        .into_iter()
        .all(|index| state_at(fleet, index, id) == Some(state))
}

/// Writes again what the operators had written.
fn write_again(fleet: &mut Fleet, lost: Vec<Entry>) {
    for entry in lost
        .into_iter()
        .filter(|entry| entry.id.kind == Kind::FailureDomain)
    {
        match entry.document {
            Some(document) => fleet.store.put(document),
            None => fleet.store.delete(&entry.id),
        };
    }
}

/// Guards against changes that are ignored after a restore, since their numbers are lower than
/// those of the lost writes.
#[gtest]
fn changes_after_a_restore_take_effect_everywhere() {
    let mut fleet = settled_fleet(60, 2, 21);
    let copy = fleet.store.head().number();
    let id = change_domain(&mut fleet, 5);
    let lost = fleet.store.restore(copy);
    fleet.run(seconds(1));
    write_again(&mut fleet, lost);
    fleet.run(seconds(1));
    fleet.set_domain("suva-a", DomainState::Out);
    let elapsed = fleet.run_until(seconds(9), |fleet| all_hold(fleet, &id, DomainState::Out));
    assert_that!(elapsed, some(lt(seconds(2))));
    fleet.run(seconds(30));
    expect_that!(fleet.has_converged(), eq(true));
}

/// Guards against accepted changes that are undone by the older records of a restored store.
#[gtest]
fn a_lost_change_stays_in_force_until_it_is_written_again() {
    let mut fleet = settled_fleet(60, 2, 22);
    let id = fleet.set_domain("suva-a", DomainState::In);
    fleet.run(seconds(5));
    let copy = fleet.store.head().number();
    fleet.set_domain("suva-a", DomainState::Out);
    let new = fleet.set_domain("suva-b", DomainState::Out);
    fleet.run(seconds(2));
    let lost = fleet.store.restore(copy);
    for _ in 0..40 {
        fleet.run(Duration::from_millis(200));
        assert_that!(all_hold(&fleet, &id, DomainState::Out), eq(true));
        assert_that!(all_hold(&fleet, &new, DomainState::Out), eq(true));
    }
    write_again(&mut fleet, lost);
    for _ in 0..100 {
        fleet.run(Duration::from_millis(200));
        assert_that!(all_hold(&fleet, &id, DomainState::Out), eq(true));
        assert_that!(all_hold(&fleet, &new, DomainState::Out), eq(true));
    }
    fleet.run(seconds(15));
    expect_that!(fleet.has_converged(), eq(true));
}

/// Guards against records that stay in force forever although nobody writes them again.
#[gtest]
fn the_stores_records_count_after_the_grace_period() {
    let mut fleet = settled_fleet(60, 2, 23);
    let id = fleet.set_domain("suva-a", DomainState::In);
    fleet.run(seconds(5));
    let copy = fleet.store.head().number();
    fleet.set_domain("suva-a", DomainState::Out);
    fleet.set_domain("suva-b", DomainState::Out);
    fleet.run(seconds(2));
    fleet.store.restore(copy);
    let elapsed = fleet.run_until(seconds(40), Fleet::has_converged);
    assert_that!(elapsed, some(lt(seconds(30))));
    expect_that!(all_hold(&fleet, &id, DomainState::In), eq(true));
}

/// Guards against a deleted record that comes back because the copy still has it.
#[gtest]
fn a_lost_deletion_stays_in_force_until_it_is_repeated() {
    let mut fleet = settled_fleet(60, 2, 24);
    let id = fleet.set_domain("suva-a", DomainState::Out);
    fleet.run(seconds(5));
    let copy = fleet.store.head().number();
    fleet.store.delete(&id);
    fleet.run(seconds(2));
    let lost = fleet.store.restore(copy);
    let is_absent = |fleet: &Fleet| (0..60).all(|index| state_at(fleet, index, &id).is_none());
    for _ in 0..25 {
        fleet.run(Duration::from_millis(200));
        assert_that!(is_absent(&fleet), eq(true));
    }
    write_again(&mut fleet, lost);
    for _ in 0..100 {
        fleet.run(Duration::from_millis(200));
        assert_that!(is_absent(&fleet), eq(true));
    }
    expect_that!(fleet.has_converged(), eq(true));
}

/// Guards against a process that has missed a restore, or two of them in a row, and keeps its old
/// records.
#[gtest]
fn a_process_that_missed_two_restores_catches_up() {
    let mut fleet = settled_fleet(40, 2, 25);
    fleet.pause(7, seconds(30));
    fleet.pause(13, seconds(30));
    for _ in 0..2 {
        let copy = fleet.store.head().number();
        change_domain(&mut fleet, 4);
        let lost = fleet.store.restore(copy);
        fleet.run(seconds(2));
        write_again(&mut fleet, lost);
        fleet.run(seconds(2));
    }
    let id = fleet.set_domain("suva-a", DomainState::Out);
    fleet.run(seconds(20));
    let elapsed = fleet.run_until(seconds(9), |fleet| all_hold(fleet, &id, DomainState::Out));
    assert_that!(elapsed, some(lt(seconds(9))));
    fleet.run(seconds(30));
    expect_that!(fleet.has_converged(), eq(true));
}

/// Guards against a restart or a partition during a restore.
#[gtest]
fn a_restart_and_a_partition_during_a_restore_lose_no_change() {
    let mut fleet = settled_fleet(60, 3, 26);
    fleet.partitioned = true;
    fleet.regions_without_store = vec![1];
    fleet.run(seconds(5));
    let copy = fleet.store.head().number();
    let id = change_domain(&mut fleet, 4);
    let seed = fleet.address(0);
    let lost = fleet.store.restore(copy);
    fleet.restart(9, vec![seed]);
    fleet.run(seconds(2));
    write_again(&mut fleet, lost);
    fleet.set_domain("suva-a", DomainState::Out);
    fleet.run(seconds(15));
    fleet.partitioned = false;
    fleet.regions_without_store.clear();
    let elapsed = fleet.run_until(seconds(9), |fleet| all_hold(fleet, &id, DomainState::Out));
    assert_that!(elapsed, some(lt(seconds(9))));
    fleet.run(seconds(60));
    expect_that!(fleet.has_converged(), eq(true));
}

/// Guards against a load on the store that grows with the fleet when all processes learn of a
/// restore at once.
#[gtest]
fn a_restore_costs_few_calls_to_the_store() {
    let mut fleet = settled_fleet(200, 2, 27);
    let copy = fleet.store.head().number();
    change_domain(&mut fleet, 3);
    let before = fleet.store.calls;
    let lost = fleet.store.restore(copy);
    write_again(&mut fleet, lost);
    fleet.run(seconds(30));
    // Three watches per second, and two lists by each watcher.
    assert_that!(fleet.store.calls - before, le(3 * 30 + 30));
}

/// Guards against a process that has started after a change, so that it hasn't seen the change
/// replace anything, and takes the older record of the copy for a new one.
#[gtest]
fn a_process_that_started_after_a_lost_change_keeps_it() {
    let mut fleet = settled_fleet(30, 1, 28);
    let id = fleet.set_domain("suva-a", DomainState::In);
    fleet.run(seconds(5));
    let copy = fleet.store.head().number();
    fleet.set_domain("suva-a", DomainState::Out);
    fleet.run(seconds(1));
    for index in 0..30 {
        fleet.restart(index, Vec::new());
    }
    fleet.run(seconds(3));
    assert_that!(all_hold(&fleet, &id, DomainState::Out), eq(true));
    let lost = fleet.store.restore(copy);
    for _ in 0..20 {
        fleet.run(Duration::from_millis(200));
        assert_that!(all_hold(&fleet, &id, DomainState::Out), eq(true));
    }
    write_again(&mut fleet, lost);
    fleet.run(seconds(20));
    expect_that!(all_hold(&fleet, &id, DomainState::Out), eq(true));
    fleet.run(seconds(20));
    expect_that!(fleet.has_converged(), eq(true));
}

/// Guards against a process that takes changes late after a partition, since it begins a grace
/// period that all others have behind them.
#[gtest]
fn a_process_that_missed_a_restore_takes_later_changes_at_once() {
    let mut fleet = settled_fleet(60, 3, 29);
    let copy = fleet.store.head().number();
    let id = change_domain(&mut fleet, 5);
    fleet.run(seconds(5));
    fleet.partitioned = true;
    fleet.regions_without_store = vec![2];
    fleet.run(seconds(5));
    let lost = fleet.store.restore(copy);
    fleet.run(seconds(1));
    write_again(&mut fleet, lost);
    fleet.set_domain("suva-a", DomainState::Out);
    fleet.run(seconds(30));
    fleet.partitioned = false;
    let elapsed = fleet.run_until(seconds(30), |fleet| all_hold(fleet, &id, DomainState::Out));
    assert_that!(elapsed, some(lt(seconds(9))));
}

/// Guards against a process that starts within the grace period, takes the store's list for
/// complete, and has the others delete what the store has lost.
#[gtest]
fn a_process_that_starts_within_the_grace_period_deletes_nothing() {
    let mut fleet = settled_fleet(60, 2, 30);
    let copy = fleet.store.head().number();
    let id = fleet.set_domain("suva-b", DomainState::Out);
    fleet.run(seconds(2));
    let lost = fleet.store.restore(copy);
    fleet.run(seconds(2));
    let seed = fleet.address(0);
    // The regular watchers are among the first processes, which are balancers every fifth.
    for index in [5, 10, 15, 20, 9, 12] {
        fleet.restart(index, vec![seed]);
    }
    for index in [25, 30, 13] {
        fleet.restart(index, Vec::new());
    }
    let others = |fleet: &Fleet| {
        let restarted_alone = [25, 30, 13];
        (0..60)
            .filter(|index| !restarted_alone.contains(index))
            .filter(|index| ![5, 10, 15, 20, 9, 12].contains(index))
            .all(|index| state_at(fleet, index, &id) == Some(DomainState::Out))
    };
    for _ in 0..30 {
        fleet.run(Duration::from_millis(200));
        assert_that!(others(&fleet), eq(true));
    }
    write_again(&mut fleet, lost);
    fleet.run(seconds(30));
    expect_that!(all_hold(&fleet, &id, DomainState::Out), eq(true));
    expect_that!(fleet.has_converged(), eq(true));
}
