//! Replays every sequence of steps of `model/configuration.pml`, up to a bound, against the real
//! catalog.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod explorer;

use explorer::{Path, explore};
use googletest::prelude::*;
use lavenderseam_core::catalog::{ApplyOutcome, Catalog, Entry, Revision};
use lavenderseam_core::record::{Document, Id, Kind, Schema};

const PROCESSES: usize = 2;
const REVISIONS: u64 = 4;
const STEPS: usize = 5;
/// Revision at which the record is deleted; all others write it.
const DELETION: u64 = 3;

fn record_id() -> Id {
    Id::new(Kind::FailureDomain, "suva-a")
}

fn entry(revision: u64) -> Entry {
    if revision == DELETION {
        return Entry::deletion(record_id(), Revision(revision));
    }
    let mut document = Document::new(Kind::FailureDomain, "suva-a", Schema(1));
    document.spec.insert("write".into(), revision.into());
    Entry::written(Revision(revision), document)
}

fn held_revision(catalog: &Catalog) -> u64 {
    catalog
        .entry(&record_id())
        .map_or(0, |entry| entry.revision.0)
}

/// Applies a revision to the catalog and to the model's state. Like the model's `apply`, it
/// replaces the revision held only if it is higher.
fn apply(catalog: &mut Catalog, model_revision: &mut u64, offered: u64) {
    let applied = catalog.apply(entry(offered));
    let expected = match offered.cmp(model_revision) {
        std::cmp::Ordering::Greater => ApplyOutcome::Newer,
        std::cmp::Ordering::Equal => ApplyOutcome::AlreadyHeld,
        std::cmp::Ordering::Less => ApplyOutcome::Stale,
    };
    assert_eq!(applied, expected);
    *model_revision = offered.max(*model_revision);
    assert_eq!(held_revision(catalog), *model_revision);
    assert_eq!(
        catalog.entry(&record_id()).unwrap(),
        &entry(*model_revision)
    );
}

fn run(path: &mut Path) {
    let mut catalogs: [Catalog; PROCESSES] = Default::default();
    let mut model_revisions = [0; PROCESSES];
    for _ in 0..STEPS {
        let process = path.choose(PROCESSES);
        let event = path.choose(usize::try_from(REVISIONS).unwrap() + 1);
        // The last event pulls the revision that the other process holds.
        let offered = if event < usize::try_from(REVISIONS).unwrap() {
            u64::try_from(event).unwrap() + 1
        } else {
            held_revision(&catalogs[1 - process])
        };
        if offered > 0 {
            apply(
                &mut catalogs[process],
                &mut model_revisions[process],
                offered,
            );
        }
    }
    converge(&mut catalogs, &mut model_revisions);
}

/// Lets both processes pull the newest revision, after which their digests must be equal.
fn converge(catalogs: &mut [Catalog; PROCESSES], model_revisions: &mut [u64; PROCESSES]) {
    let newest = *model_revisions.iter().max().unwrap();
    for process in 0..PROCESSES {
        if newest > 0 {
            apply(
                &mut catalogs[process],
                &mut model_revisions[process],
                newest,
            );
        }
    }
    assert_eq!(catalogs[0].digest(), catalogs[1].digest());
    assert_eq!(
        catalogs[0].highest_revision(),
        catalogs[1].highest_revision()
    );
}

#[gtest]
fn catalogs_take_the_steps_of_the_model() {
    let paths = explore(run);
    expect_that!(paths, eq(100_000));
}
