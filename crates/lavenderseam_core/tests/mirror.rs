//! What a process keeps of the objects that it has read, across restores of the store.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::collections::BTreeMap;
use std::time::Duration;

use googletest::prelude::*;
use lavenderseam_core::catalog::restore::RESTORE_GRACE;
use lavenderseam_core::catalog::{Epoch, Mirror, Object, Revision};
use lavenderseam_core::time::Instant;

fn revision(epoch: u64, number: u64) -> Revision {
    Revision::new(Epoch(epoch), number).unwrap()
}

fn at(seconds: u64) -> Instant {
    Instant(1_000_000) + Duration::from_secs(seconds)
}

/// Returns a list of objects, given by name, number and content.
fn list(
    epoch: u64,
    objects: &[(&str, u64, &'static str)],
) -> BTreeMap<String, Object<&'static str>> {
    let objects = objects.iter().map(|(name, number, content)| {
        let revision = revision(epoch, *number);
        (
            (*name).to_owned(),
            Object {
                revision,
                content: *content,
            },
        )
    });
    objects.collect()
}

fn contents<'a>(mirror: &'a Mirror<&'static str>) -> Vec<(&'a str, &'static str)> {
    let objects = mirror.objects().iter();
    objects
        .map(|(name, object)| (name.as_str(), object.content))
        .collect()
}

fn carried_over<'a>(mirror: &'a Mirror<&'static str>) -> Vec<&'a str> {
    mirror.carried_over().keys().map(String::as_str).collect()
}

/// Returns a mirror in epoch 1 that has seen `a` change from `old` to `new`, `b` created and `c`
/// deleted after revision 10.
fn mirror() -> Mirror<&'static str> {
    let mut mirror = Mirror::default();
    mirror.apply_list(
        list(1, &[("a", 8, "old"), ("c", 9, "gone")]),
        revision(1, 10),
        at(0),
        at(0),
    );
    mirror.apply_change("a".to_owned(), revision(1, 11), Some("new"));
    mirror.apply_change("b".to_owned(), revision(1, 12), Some("lost"));
    mirror.apply_change("c".to_owned(), revision(1, 13), None);
    mirror.set_position(revision(1, 13));
    mirror
}

/// Guards against a restored store that undoes a change, a creation and a deletion.
#[gtest]
fn lost_changes_stay_in_force_after_a_restore() {
    let mut mirror = mirror();
    mirror.apply_list(
        list(2, &[("a", 8, "old"), ("c", 9, "gone")]),
        revision(2, 10),
        at(20),
        at(20),
    );
    expect_that!(contents(&mirror), elements_are![eq(&("a", "new"))]);
    expect_that!(carried_over(&mirror), elements_are![eq(&"b")]);
    // The version that is kept takes precedence over the restored one at other processes.
    expect_that!(mirror.objects()["a"].revision, eq(revision(2, 10)));
    expect_that!(mirror.position(at(21)), some(eq(revision(2, 10))));
}

/// Guards against writes of the new epoch that are taken for restored ones.
#[gtest]
fn writes_after_a_restore_count_at_once() {
    let mut mirror = mirror();
    // Both were written again before the list, with numbers that lost writes had.
    let listed = list(
        2,
        &[("a", 11, "newest"), ("b", 12, "lost"), ("c", 9, "gone")],
    );
    mirror.apply_list(listed, revision(2, 12), at(20), at(20));
    expect_that!(
        contents(&mirror),
        elements_are![eq(&("a", "newest")), eq(&("b", "lost"))]
    );
    mirror.apply_change("c".to_owned(), revision(2, 13), Some("back"));
    mirror.apply_change("b".to_owned(), revision(2, 14), None);
    expect_that!(
        contents(&mirror),
        elements_are![eq(&("a", "newest")), eq(&("c", "back"))]
    );
    expect_that!(carried_over(&mirror), is_empty());
}

/// Guards against lost records that stay in force although nobody writes them again.
#[gtest]
fn the_store_counts_once_the_grace_period_has_passed() {
    let mut mirror = mirror();
    let copy = list(2, &[("a", 8, "old"), ("c", 9, "gone")]);
    mirror.apply_list(copy.clone(), revision(2, 10), at(20), at(20));
    let end = at(20) + RESTORE_GRACE;
    expect_that!(mirror.position(end), none());
    mirror.apply_list(copy, revision(2, 10), end, end);
    expect_that!(
        contents(&mirror),
        elements_are![eq(&("a", "old")), eq(&("c", "gone"))]
    );
    expect_that!(carried_over(&mirror), is_empty());
    expect_that!(mirror.position(end), some(eq(revision(2, 10))));
}

/// Guards against a compaction or a second restore within the grace period.
#[gtest]
fn further_lists_within_the_grace_period_keep_lost_changes() {
    let mut mirror = mirror();
    let copy = [("a", 8, "old"), ("c", 9, "gone")];
    mirror.apply_list(list(2, &copy), revision(2, 10), at(20), at(20));
    mirror.apply_change("d".to_owned(), revision(2, 11), Some("short-lived"));
    mirror.apply_list(list(2, &copy), revision(2, 12), at(21), at(21));
    expect_that!(contents(&mirror), elements_are![eq(&("a", "new"))]);
    expect_that!(carried_over(&mirror), elements_are![eq(&"b")]);
    mirror.apply_list(list(3, &copy), revision(3, 10), at(22), at(22));
    expect_that!(contents(&mirror), elements_are![eq(&("a", "new"))]);
    expect_that!(carried_over(&mirror), elements_are![eq(&"b")]);
    expect_that!(mirror.settles_at(), some(eq(at(22) + RESTORE_GRACE)));
}

/// Guards against a plain loss of history that is treated like a restore.
#[gtest]
fn a_list_of_the_same_epoch_replaces_everything() {
    let mut mirror = mirror();
    mirror.discard_position();
    mirror.apply_list(list(1, &[("a", 8, "old")]), revision(1, 20), at(20), at(20));
    expect_that!(contents(&mirror), elements_are![eq(&("a", "old"))]);
    expect_that!(mirror.settles_at(), none());
}

#[gtest]
fn revisions_are_written_with_their_epoch() {
    expect_that!(revision(0, 45).to_string(), eq("45"));
    expect_that!(revision(2, 45).to_string(), eq("2:45"));
    for text in ["45", "2:45"] {
        expect_that!(
            text.parse::<Revision>().map(|read| read.to_string()),
            ok(eq(text))
        );
    }
    expect_that!(Revision::new(Epoch(0), 1 << 44), none());
    expect_that!(Revision::new(Epoch(1 << 20), 1), none());
}

/// Guards against a process that reaches the store late after a restore and then keeps for another
/// grace period what was withdrawn meanwhile.
#[gtest]
fn the_grace_period_begins_when_the_restore_becomes_known() {
    let mut mirror = mirror();
    let copy = list(2, &[("a", 8, "old"), ("c", 9, "gone")]);
    mirror.apply_list(copy, revision(2, 14), at(20), at(40));
    expect_that!(carried_over(&mirror), is_empty());
    expect_that!(mirror.settles_at(), none());
}
