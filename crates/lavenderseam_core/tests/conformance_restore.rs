//! Replays every sequence of steps of `model/restore.pml` with one process, up to a bound, against
//! the real catalog.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod explorer;

use std::collections::BTreeSet;

use explorer::{Path, explore};
use googletest::prelude::*;
use lavenderseam_core::catalog::{Catalog, Entry, Epoch, Revision};
use lavenderseam_core::record::{Document, Id, Kind, Schema};

const STEPS: usize = 6;
const EVENTS: usize = 7;

/// State of the model; fields are named as its variables.
#[derive(Debug, Default)]
struct Model {
    epoch: u64,
    number: u64,
    content: u64,
    history: Vec<u64>,
    copy_number: u64,
    copy_content: u64,
    last_id: u64,
    wanted: u64,
    abandoned: bool,
    held_epoch: u64,
    held_number: u64,
    held: u64,
    position_epoch: u64,
    position: u64,
    settled: u64,
    memory: u64,
    superseded: BTreeSet<(u64, u64)>,
}

/// The model and the real catalog, which take the same steps.
#[derive(Default)]
struct Pair {
    model: Model,
    catalog: Catalog,
}

fn record_id() -> Id {
    Id::new(Kind::FailureDomain, "suva-a")
}

fn entry(epoch: u64, number: u64, id: u64) -> Entry {
    let mut document = Document::new(Kind::FailureDomain, "suva-a", Schema(1));
    document.spec.insert("write".into(), id.into());
    Entry::written(Revision::new(Epoch(epoch), number).unwrap(), document)
}

impl Model {
    fn write(&mut self, id: u64) {
        self.number += 1;
        self.content = id;
        self.history.truncate(self.number as usize - 1);
        self.history.push(id);
    }

    /// Applies a step of the store or its owner; a step that isn't enabled has no effect.
    fn step(&mut self, event: usize) {
        let is_stored = self.content == self.wanted;
        match event {
            0 if is_stored => {
                self.last_id += 1;
                self.wanted = self.last_id;
                self.write(self.wanted);
            }
            1 if is_stored => {
                self.copy_number = self.number;
                self.copy_content = self.content;
            }
            2 if is_stored && self.copy_number < self.number => {
                self.epoch += 1;
                self.number = self.copy_number;
                self.content = self.copy_content;
            }
            3 if !is_stored => self.write(self.wanted),
            4 if !is_stored => {
                self.abandoned = true;
                self.wanted = self.content;
            }
            _ => {}
        }
    }

    fn offer(&mut self, number: u64, id: u64, listed: bool) {
        let is_older_epoch = self.held_epoch < self.position_epoch;
        let is_from_copy = self.superseded.contains(&(number, id))
            || (is_older_epoch
                && number < self.held_number
                && number <= self.memory
                && id != self.held);
        let unsettled = listed && self.settled < self.position_epoch;
        let is_newer = (self.position_epoch, number) > (self.held_epoch, self.held_number);
        if !is_newer || (unsettled && is_from_copy) {
            return;
        }
        assert!(
            id >= self.held || (self.abandoned && self.settled == self.position_epoch),
            "the process went back from {} to {id}",
            self.held
        );
        // The catalog keeps the older revision of a write that the restore left alone.
        if (number, id) != (self.held_number, self.held) {
            self.superseded.insert((self.held_number, self.held));
            self.held_epoch = self.position_epoch;
        }
        self.held_number = number;
        self.held = id;
    }
}

impl Pair {
    fn list(&mut self) {
        let Model {
            epoch,
            number,
            content,
            ..
        } = self.model;
        let revision = Revision::new(Epoch(epoch), number).unwrap();
        self.model.position_epoch = epoch;
        self.model.position = number;
        self.catalog.limit_copy(revision);
        if content > 0 {
            self.model.offer(number, content, true);
            self.catalog.apply_unverified(entry(epoch, number, content));
        }
        self.model.memory = number;
        self.catalog.set_memory_start(Some(revision));
    }

    /// Lists or watches the store, as the position allows.
    fn advance(&mut self) {
        if self.model.position_epoch != self.model.epoch {
            return self.list();
        }
        if self.model.position < self.model.number {
            self.model.position += 1;
            let number = self.model.position;
            let id = self.model.history[number as usize - 1];
            self.model.offer(number, id, false);
            let epoch = self.model.epoch;
            self.catalog.apply(entry(epoch, number, id));
        }
    }

    fn settle(&mut self) {
        let model = &self.model;
        let is_stored = model.content == model.wanted;
        if model.settled < model.position_epoch && model.position_epoch == model.epoch && is_stored
        {
            self.model.settled = self.model.epoch;
            self.catalog.settle(Epoch(self.model.epoch));
            self.list();
        }
    }

    fn check(&self) {
        let held = self.catalog.entry(&record_id());
        let held_id = held.map_or(0, |entry| {
            let document = entry.document.as_ref().unwrap();
            document.spec["write"].as_u64().unwrap()
        });
        assert_eq!(held_id, self.model.held, "{:?}", self.model);
    }
}

fn run(path: &mut Path) {
    let mut pair = Pair::default();
    pair.catalog.set_memory_start(Some(Revision(0)));
    // The process has seen the first write.
    pair.model.step(0);
    pair.advance();
    for _ in 0..STEPS {
        match path.choose(EVENTS) {
            5 => pair.advance(),
            6 => pair.settle(),
            event => pair.model.step(event),
        }
        pair.check();
    }
}

#[gtest]
fn a_catalog_takes_the_steps_of_the_model() {
    let paths = explore(run);
    expect_that!(paths, eq(117_649));
}
