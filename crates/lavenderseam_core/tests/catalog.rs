//! What a catalog takes, and which deletions it may forget.

mod fixture;

use std::collections::BTreeSet;

use fixture::records;
use googletest::prelude::*;
use lavenderseam_core::catalog::{Applied, Catalog, Entry, Revision};
use lavenderseam_core::record::{DomainState, Id};

fn entry(name: &str, revision: u64) -> Entry {
    Entry::with_document(
        Revision(revision),
        records::failure_domain(name, DomainState::In),
    )
}

#[gtest]
fn a_forgotten_deletion_still_holds() {
    let mut catalog = Catalog::default();
    catalog.apply(entry("a", 1));
    catalog.apply(Entry::new(entry("a", 1).id, Revision(4)));
    catalog.confirm(Revision(5));
    assert_that!(catalog.len(), eq(0));
    assert_that!(catalog.apply(entry("a", 1)), eq(Applied::Stale));
    assert_that!(catalog.apply(entry("a", 6)), eq(Applied::Newer));
}

#[gtest]
fn a_deletion_above_what_is_complete_is_kept() {
    let mut catalog = Catalog::default();
    catalog.apply(Entry::new(entry("a", 1).id, Revision(7)));
    catalog.confirm(Revision(5));
    assert_that!(catalog.len(), eq(1));
    assert_that!(catalog.apply(entry("a", 6)), eq(Applied::Stale));
}

#[gtest]
fn records_missing_from_a_whole_were_deleted() {
    let mut catalog = Catalog::default();
    catalog.apply(entry("a", 1));
    catalog.apply(entry("b", 2));
    catalog.apply(entry("c", 9));
    let present = BTreeSet::from([entry("b", 2).id]);
    let missing = catalog.missing(Revision(5), &present, |_: &Id| true);
    assert_that!(missing, elements_are![eq(&entry("a", 1).id)]);
}

#[gtest]
fn the_digest_does_not_depend_on_forgotten_deletions() {
    let mut one = Catalog::default();
    one.apply(entry("a", 1));
    one.apply(entry("b", 2));
    one.apply(Entry::new(entry("a", 1).id, Revision(3)));
    let mut other = Catalog::default();
    other.apply(entry("b", 2));
    assert_that!(one.digest(), eq(other.digest()));
}
