//! Which entries a catalog applies, and which deletions it may discard.

mod fixture;

use std::collections::BTreeSet;

use fixture::records;
use googletest::prelude::*;
use lavenderseam_core::catalog::{ApplyOutcome, Catalog, Entry, Revision};
use lavenderseam_core::record::{DomainState, Id};

fn entry(name: &str, revision: u64) -> Entry {
    Entry::written(
        Revision(revision),
        records::failure_domain(name, DomainState::In),
    )
}

#[gtest]
fn a_discarded_deletion_still_rejects_older_writes() {
    let mut catalog = Catalog::default();
    catalog.apply(entry("a", 1));
    catalog.apply(Entry::deletion(entry("a", 1).id, Revision(4)));
    catalog.mark_complete(Revision(5));
    assert_that!(catalog.len(), eq(0));
    assert_that!(catalog.apply(entry("a", 1)), eq(ApplyOutcome::Stale));
    assert_that!(catalog.apply(entry("a", 6)), eq(ApplyOutcome::Newer));
}

#[gtest]
fn a_deletion_newer_than_the_complete_revision_is_kept() {
    let mut catalog = Catalog::default();
    catalog.apply(Entry::deletion(entry("a", 1).id, Revision(7)));
    catalog.mark_complete(Revision(5));
    assert_that!(catalog.len(), eq(1));
    assert_that!(catalog.apply(entry("a", 6)), eq(ApplyOutcome::Stale));
}

#[gtest]
fn records_missing_from_a_complete_list_are_reported_as_deleted() {
    let mut catalog = Catalog::default();
    catalog.apply(entry("a", 1));
    catalog.apply(entry("b", 2));
    catalog.apply(entry("c", 9));
    let present = BTreeSet::from([entry("b", 2).id]);
    let missing = catalog.records_missing_from(Revision(5), &present, |_: &Id| true);
    assert_that!(missing, elements_are![eq(&entry("a", 1).id)]);
}

#[gtest]
fn the_digest_does_not_depend_on_deletions() {
    let mut with_deletion = Catalog::default();
    with_deletion.apply(entry("a", 1));
    with_deletion.apply(entry("b", 2));
    with_deletion.apply(Entry::deletion(entry("a", 1).id, Revision(3)));
    let mut without_deletion = Catalog::default();
    without_deletion.apply(entry("b", 2));
    assert_that!(with_deletion.digest(), eq(without_deletion.digest()));
}
