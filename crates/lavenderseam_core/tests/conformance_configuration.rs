//! The steps of `model/configuration.pml` against the real catalog: every sequence up to a bound.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod explorer;

use explorer::{Path, explore};
use googletest::prelude::*;
use lavenderseam_core::catalog::{Applied, Catalog, Entry, Revision};
use lavenderseam_core::record::{Document, Id, Kind, Schema};

const PROCESSES: usize = 2;
const REVISIONS: u64 = 4;
const STEPS: usize = 5;
/// The revision that deletes the record.
const DELETION: u64 = 3;

fn id() -> Id {
    Id::new(Kind::FailureDomain, "suva-a")
}

fn entry(revision: u64) -> Entry {
    if revision == DELETION {
        return Entry::new(id(), Revision(revision));
    }
    let mut document = Document::new(Kind::FailureDomain, "suva-a", Schema(1));
    document.spec.insert("write".into(), revision.into());
    Entry::with_document(Revision(revision), document)
}

fn held(catalog: &Catalog) -> u64 {
    catalog.entry(&id()).map_or(0, |entry| entry.revision.0)
}

/// The model's `apply`: an offered revision is taken if it is higher.
fn apply(catalog: &mut Catalog, model: &mut u64, offered: u64) {
    let applied = catalog.apply(entry(offered));
    let expected = match offered.cmp(model) {
        std::cmp::Ordering::Greater => Applied::Newer,
        std::cmp::Ordering::Equal => Applied::Same,
        std::cmp::Ordering::Less => Applied::Stale,
    };
    assert_eq!(applied, expected);
    *model = offered.max(*model);
    assert_eq!(held(catalog), *model);
    assert_eq!(catalog.entry(&id()).unwrap(), &entry(*model));
}

fn run(path: &mut Path) {
    let mut catalogs: [Catalog; PROCESSES] = Default::default();
    let mut model = [0; PROCESSES];
    for _ in 0..STEPS {
        let process = path.choose(PROCESSES);
        let event = path.choose(usize::try_from(REVISIONS).unwrap() + 1);
        // The last event pulls what the other process holds.
        let offered = if event < usize::try_from(REVISIONS).unwrap() {
            u64::try_from(event).unwrap() + 1
        } else {
            held(&catalogs[1 - process])
        };
        if offered > 0 {
            apply(&mut catalogs[process], &mut model[process], offered);
        }
    }
    converge(&mut catalogs, &mut model);
}

/// Processes whose digests differ pull from each other.
fn converge(catalogs: &mut [Catalog; PROCESSES], model: &mut [u64; PROCESSES]) {
    let newest = *model.iter().max().unwrap();
    for process in 0..PROCESSES {
        if newest > 0 {
            apply(&mut catalogs[process], &mut model[process], newest);
        }
    }
    assert_eq!(catalogs[0].digest(), catalogs[1].digest());
    assert_eq!(catalogs[0].head(), catalogs[1].head());
}

#[gtest]
fn catalogs_take_the_steps_of_the_model() {
    let paths = explore(run);
    expect_that!(paths, eq(100_000));
}
