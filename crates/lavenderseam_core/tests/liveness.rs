//! Probes and verdicts in virtual time.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod fixture;

use std::collections::BTreeMap;
use std::time::Duration;

use fixture::records;
use googletest::prelude::*;
use lavenderseam_core::catalog::{Catalog, Entry, Revision};
use lavenderseam_core::id::{self, Incarnation, Tag};
use lavenderseam_core::liveness::{Action, Assignment, Echo, PROBERS_PER_TARGET, Prober};
use lavenderseam_core::record::{Document, Id, Kind, Record, Schema, Target, Verdict};
use lavenderseam_core::relay::MemberId;
use lavenderseam_core::time::Instant;

const TICK: Duration = Duration::from_millis(250);
const BALANCERS: usize = 3;

/// Balancers and targets in one region; targets answer unless named in `silent`.
struct Fixture {
    now: Instant,
    catalog: Catalog,
    probers: Vec<Prober>,
    silent: Vec<usize>,
    cut: Vec<usize>,
    writes: Vec<usize>,
    probes: usize,
    forgotten: Vec<String>,
}

fn entries(balancers: usize, targets: usize, regions: usize) -> Vec<Document> {
    let balancers = (0..balancers).map(|index| records::balancer(index, index % regions));
    let targets = (0..targets).map(|index| records::target(1000 + index, index % regions));
    balancers.chain(targets).collect()
}

fn catalog(documents: Vec<Document>) -> Catalog {
    let mut catalog = Catalog::default();
    for (index, document) in documents.into_iter().enumerate() {
        catalog.apply(Entry::with_document(Revision(index as u64 + 1), document));
    }
    catalog
}

impl Fixture {
    fn new(targets: usize) -> Self {
        let now = Instant(1_000_000);
        let catalog = catalog(entries(BALANCERS, targets, 1));
        let probers = (0..BALANCERS).map(|index| {
            let name = id::Balancer::new(&format!("balancer-{index}")).unwrap();
            let mut prober = Prober::new(&name, index as u64, now);
            catalog.entries().for_each(|entry| prober.apply(entry));
            prober
        });
        Self {
            now,
            probers: probers.collect(),
            catalog,
            silent: Vec::new(),
            cut: Vec::new(),
            writes: vec![0; BALANCERS],
            probes: 0,
            forgotten: Vec::new(),
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            for index in 0..BALANCERS {
                self.tick(index);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        for action in self.probers[index].tick(self.now) {
            match action {
                Action::Probe { peer, nonce } => self.probe(index, peer, nonce),
                Action::Write(verdict) => self.write(index, &verdict),
                Action::Forget(down) => self.forgotten.push(down.target.to_string()),
            }
        }
    }

    fn probe(&mut self, index: usize, peer: std::net::SocketAddr, nonce: u64) {
        self.probes += 1;
        let (name, target) = self
            .catalog
            .records::<Target>()
            .find(|(_, target)| target.peer == peer)
            .unwrap();
        let number: usize = name.trim_start_matches("target-").parse().unwrap();
        if self.silent.contains(&number) || self.cut.contains(&index) {
            return;
        }
        let echo = Echo {
            target: Tag::new(&id::Target::new(name).unwrap()),
            nonce,
            incarnation: target.incarnation,
        };
        self.probers[index].echo(echo, self.now);
    }

    fn write(&mut self, index: usize, verdict: &Verdict) {
        self.writes[index] += 1;
        let mut document = Document::new(Kind::Verdict, format!("balancer-{index}"), Schema(1));
        verdict.write(&mut document);
        self.put(document);
        self.probers[index].written(true, self.now);
    }

    fn put(&mut self, document: Document) {
        let revision = Revision(self.catalog.head().0 + 1);
        let entry = Entry::with_document(revision, document);
        self.probers
            .iter_mut()
            .for_each(|prober| prober.apply(&entry));
        self.catalog.apply(entry);
    }

    fn down(&self, index: usize) -> Vec<String> {
        let verdict = self.probers[index].verdict();
        verdict
            .down
            .iter()
            .map(|down| down.target.to_string())
            .collect()
    }
}

#[gtest]
fn every_target_is_probed_by_three_balancers_of_its_region() {
    let catalog = catalog(entries(90, 400, 3));
    let mut probed: BTreeMap<Tag, usize> = BTreeMap::new();
    let mut loads = Vec::new();
    for index in 0..90 {
        let id = MemberId::new(&Id::new(Kind::Balancer, format!("balancer-{index}")));
        let mut assignment = Assignment::new(id);
        catalog.entries().for_each(|entry| {
            assignment.apply(entry);
        });
        let assigned = assignment.assigned();
        loads.push(assigned.len());
        for (tag, target) in assigned {
            *probed.entry(*tag).or_default() += 1;
            let number: usize = target.target.as_str()[7..].parse().unwrap();
            assert_that!((number - 1000) % 3, eq(index % 3));
        }
    }
    assert_that!(probed.len(), eq(400));
    assert_that!(
        probed.values().all(|count| *count == PROBERS_PER_TARGET),
        eq(true)
    );
    assert_that!(loads.iter().max(), some(le(&40)));
}

#[gtest]
fn a_silent_target_is_found_and_so_is_its_return() {
    let mut fixture = Fixture::new(10);
    fixture.run(Duration::from_secs(10));
    fixture.silent = vec![1003];
    fixture.run(Duration::from_secs(6));
    for index in 0..BALANCERS {
        assert_that!(fixture.down(index), elements_are![eq("target-1003")]);
    }
    fixture.silent.clear();
    fixture.run(Duration::from_secs(6));
    for index in 0..BALANCERS {
        assert_that!(fixture.down(index), is_empty());
    }
    // One write for each change.
    assert_that!(fixture.writes, each(eq(&2)));
}

#[gtest]
fn a_single_lost_probe_condemns_no_one() {
    let mut fixture = Fixture::new(10);
    fixture.run(Duration::from_secs(10));
    for target in 1000..1010 {
        fixture.silent = vec![target];
        fixture.run(Duration::from_millis(1000));
    }
    assert_that!(fixture.writes, each(eq(&0)));
}

#[gtest]
fn a_balancer_that_is_cut_off_condemns_no_one() {
    let mut fixture = Fixture::new(10);
    fixture.run(Duration::from_secs(10));
    fixture.cut = vec![0];
    fixture.run(Duration::from_secs(60));
    assert_that!(fixture.down(0), is_empty());
    assert_that!(fixture.writes[0], eq(0));
}

#[gtest]
fn a_balancer_that_was_paused_condemns_no_one() {
    let mut fixture = Fixture::new(10);
    fixture.run(Duration::from_secs(10));
    fixture.cut = vec![0, 1, 2];
    fixture.run(Duration::from_millis(750));
    fixture.cut.clear();
    // All are paused; the answers of before are lost.
    fixture.now = fixture.now + Duration::from_secs(30);
    fixture.run(Duration::from_secs(10));
    assert_that!(fixture.writes, each(eq(&0)));
}

#[gtest]
fn a_lost_failure_domain_is_one_write_a_second_at_most() {
    let mut fixture = Fixture::new(30);
    fixture.run(Duration::from_secs(10));
    fixture.silent = (1000..1010).collect();
    fixture.run(Duration::from_secs(20));
    for index in 0..BALANCERS {
        assert_that!(fixture.down(index).len(), eq(10));
        assert_that!(fixture.writes[index], le(10));
    }
}

#[gtest]
fn the_probes_of_a_balancer_are_bounded() {
    let mut fixture = Fixture::new(200);
    fixture.run(Duration::from_secs(10));
    let before = fixture.probes;
    fixture.run(Duration::from_secs(100));
    assert_that!(fixture.probes - before, le(BALANCERS * 8 * 105));
}

#[gtest]
fn a_restarted_balancer_takes_back_its_old_verdict() {
    let mut fixture = Fixture::new(10);
    fixture.silent = vec![1003];
    fixture.run(Duration::from_secs(10));
    let name = id::Balancer::new("balancer-0").unwrap();
    fixture.silent.clear();
    fixture.probers[0] = Prober::new(&name, 99, fixture.now);
    for entry in fixture.catalog.entries() {
        fixture.probers[0].apply(entry);
    }
    fixture.run(Duration::from_secs(10));
    let held = fixture
        .catalog
        .records::<Verdict>()
        .find(|(name, _)| *name == "balancer-0");
    assert_that!(held.unwrap().1.down, is_empty());
}

#[gtest]
fn a_new_run_of_a_target_starts_anew() {
    let mut fixture = Fixture::new(10);
    fixture.silent = vec![1003];
    fixture.run(Duration::from_secs(10));
    assert_that!(fixture.down(0), len(eq(1)));
    let mut document = records::target(1003, 0);
    let mut target = Target::read(&document).unwrap();
    target.incarnation = Incarnation(77);
    target.write(&mut document);
    fixture.put(document);
    fixture.silent.clear();
    fixture.run(TICK);
    assert_that!(fixture.down(0), is_empty());
}

#[gtest]
fn a_target_that_is_down_for_long_is_forgotten() {
    let mut fixture = Fixture::new(10);
    fixture.silent = vec![1003];
    fixture.run(Duration::from_secs(3590));
    assert_that!(fixture.forgotten, is_empty());
    fixture.run(Duration::from_secs(30));
    assert_that!(fixture.forgotten, len(eq(BALANCERS)));
}

#[gtest]
fn a_refused_write_is_tried_ever_more_rarely() {
    let now = Instant(1_000_000);
    let catalog = catalog(entries(BALANCERS, 10, 1));
    let name = id::Balancer::new("balancer-0").unwrap();
    let mut prober = Prober::new(&name, 1, now);
    catalog.entries().for_each(|entry| prober.apply(entry));
    let mut writes = 0;
    for tick in 1..=4 * 600 {
        let now = now + TICK * tick;
        for action in prober.tick(now) {
            match action {
                // Two of the ten targets don't answer.
                Action::Probe { peer, nonce } => {
                    let target = catalog
                        .records::<Target>()
                        .find(|(_, target)| target.peer == peer);
                    let (name, target) = target.unwrap();
                    if !name.ends_with('1') && !name.ends_with('2') {
                        let target_tag = Tag::new(&id::Target::new(name).unwrap());
                        let incarnation = target.incarnation;
                        prober.echo(
                            Echo {
                                target: target_tag,
                                nonce,
                                incarnation,
                            },
                            now,
                        );
                    }
                }
                Action::Write(_) => {
                    writes += 1;
                    prober.written(false, now);
                }
                Action::Forget(_) => {}
            }
        }
    }
    assert_that!(writes, all!(ge(8), le(30)));
}
