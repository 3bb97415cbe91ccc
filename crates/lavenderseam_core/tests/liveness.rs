//! Health checks and verdicts of balancers in virtual time.

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

const TICK_INTERVAL: Duration = Duration::from_millis(250);
const BALANCERS: usize = 3;

/// Balancers and targets in one region. Targets answer probes unless listed in
/// `unresponsive_targets`, and balancers receive answers unless listed in `isolated_balancers`.
struct Fixture {
    now: Instant,
    catalog: Catalog,
    probers: Vec<Prober>,
    unresponsive_targets: Vec<usize>,
    isolated_balancers: Vec<usize>,
    write_counts: Vec<usize>,
    probe_count: usize,
    deleted_targets: Vec<String>,
}

fn documents(balancers: usize, targets: usize, regions: usize) -> Vec<Document> {
    let balancers = (0..balancers).map(|index| records::balancer(index, index % regions));
    let targets = (0..targets).map(|index| records::target(1000 + index, index % regions));
    balancers.chain(targets).collect()
}

fn catalog_of(documents: Vec<Document>) -> Catalog {
    let mut catalog = Catalog::default();
    for (index, document) in documents.into_iter().enumerate() {
        catalog.apply(Entry::written(Revision(index as u64 + 1), document));
    }
    catalog
}

impl Fixture {
    fn new(targets: usize) -> Self {
        let now = Instant(1_000_000);
        let catalog = catalog_of(documents(BALANCERS, targets, 1));
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
            unresponsive_targets: Vec::new(),
            isolated_balancers: Vec::new(),
            write_counts: vec![0; BALANCERS],
            probe_count: 0,
            deleted_targets: Vec::new(),
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK_INTERVAL;
            for index in 0..BALANCERS {
                self.tick(index);
            }
        }
    }

    fn observe_restore(&mut self) {
        for prober in &mut self.probers {
            prober.handle_restore(self.now);
        }
    }

    fn tick(&mut self, index: usize) {
        for action in self.probers[index].tick(self.now) {
            match action {
                Action::Probe { peer, nonce } => self.probe(index, peer, nonce),
                Action::WriteVerdict(verdict) => self.write(index, &verdict),
                Action::DeleteTarget(down) => self.deleted_targets.push(down.target.to_string()),
            }
        }
    }

    fn probe(&mut self, index: usize, peer: std::net::SocketAddr, nonce: u64) {
        self.probe_count += 1;
        let (name, target) = self
            .catalog
            .records::<Target>()
            .find(|(_, target)| target.peer == peer)
            .unwrap();
        let number: usize = name.trim_start_matches("target-").parse().unwrap();
        if self.unresponsive_targets.contains(&number) || self.isolated_balancers.contains(&index) {
            return;
        }
        let echo = Echo {
            target: Tag::new(&id::Target::new(name).unwrap()),
            nonce,
            incarnation: target.incarnation,
        };
        self.probers[index].handle_echo(echo, self.now);
    }

    fn write(&mut self, index: usize, verdict: &Verdict) {
        self.write_counts[index] += 1;
        let mut document = Document::new(Kind::Verdict, format!("balancer-{index}"), Schema(1));
        verdict.write(&mut document);
        self.put(document);
        self.probers[index].handle_write_result(true, self.now);
    }

    fn put(&mut self, document: Document) {
        let revision = Revision(self.catalog.highest_revision().0 + 1);
        let entry = Entry::written(revision, document);
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
    let catalog = catalog_of(documents(90, 400, 3));
    let mut probed: BTreeMap<Tag, usize> = BTreeMap::new();
    let mut loads = Vec::new();
    for index in 0..90 {
        let id = MemberId::new(&Id::new(Kind::Balancer, format!("balancer-{index}")));
        let mut assignment = Assignment::new(id);
        catalog.entries().for_each(|entry| {
            assignment.apply(entry);
        });
        let assigned = assignment.assigned_targets();
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
fn an_unresponsive_target_is_reported_down_until_it_answers_again() {
    let mut fixture = Fixture::new(10);
    fixture.run(Duration::from_secs(10));
    fixture.unresponsive_targets = vec![1003];
    fixture.run(Duration::from_secs(6));
    for index in 0..BALANCERS {
        assert_that!(fixture.down(index), elements_are![eq("target-1003")]);
    }
    fixture.unresponsive_targets.clear();
    fixture.run(Duration::from_secs(6));
    for index in 0..BALANCERS {
        assert_that!(fixture.down(index), is_empty());
    }
    // One write for the failure and one for the recovery.
    assert_that!(fixture.write_counts, each(eq(&2)));
}

#[gtest]
fn a_single_lost_probe_marks_no_target_down() {
    let mut fixture = Fixture::new(10);
    fixture.run(Duration::from_secs(10));
    for target in 1000..1010 {
        fixture.unresponsive_targets = vec![target];
        fixture.run(Duration::from_millis(1000));
    }
    assert_that!(fixture.write_counts, each(eq(&0)));
}

#[gtest]
fn an_isolated_balancer_marks_no_target_down() {
    let mut fixture = Fixture::new(10);
    fixture.run(Duration::from_secs(10));
    fixture.isolated_balancers = vec![0];
    fixture.run(Duration::from_secs(60));
    assert_that!(fixture.down(0), is_empty());
    assert_that!(fixture.write_counts[0], eq(0));
}

#[gtest]
fn a_paused_balancer_marks_no_target_down() {
    let mut fixture = Fixture::new(10);
    fixture.run(Duration::from_secs(10));
    fixture.isolated_balancers = vec![0, 1, 2];
    fixture.run(Duration::from_millis(750));
    fixture.isolated_balancers.clear();
    // All balancers are paused, and the answers to earlier probes are lost.
    fixture.now = fixture.now + Duration::from_secs(30);
    fixture.run(Duration::from_secs(10));
    assert_that!(fixture.write_counts, each(eq(&0)));
}

#[gtest]
fn loss_of_ten_targets_causes_at_most_ten_writes() {
    let mut fixture = Fixture::new(30);
    fixture.run(Duration::from_secs(10));
    fixture.unresponsive_targets = (1000..1010).collect();
    fixture.run(Duration::from_secs(20));
    for index in 0..BALANCERS {
        assert_that!(fixture.down(index).len(), eq(10));
        assert_that!(fixture.write_counts[index], le(10));
    }
}

#[gtest]
fn the_probe_rate_of_a_balancer_is_bounded() {
    let mut fixture = Fixture::new(200);
    fixture.run(Duration::from_secs(10));
    let before = fixture.probe_count;
    fixture.run(Duration::from_secs(100));
    assert_that!(fixture.probe_count - before, le(BALANCERS * 8 * 105));
}

#[gtest]
fn a_restarted_balancer_replaces_its_old_verdict() {
    let mut fixture = Fixture::new(10);
    fixture.unresponsive_targets = vec![1003];
    fixture.run(Duration::from_secs(10));
    let name = id::Balancer::new("balancer-0").unwrap();
    fixture.unresponsive_targets.clear();
    fixture.probers[0] = Prober::new(&name, 99, fixture.now);
    for entry in fixture.catalog.entries() {
        fixture.probers[0].apply(entry);
    }
    fixture.run(Duration::from_secs(10));
    let verdict = fixture
        .catalog
        .records::<Verdict>()
        .find(|(name, _)| *name == "balancer-0");
    assert_that!(verdict.unwrap().1.down, is_empty());
}

#[gtest]
fn a_new_run_of_a_target_counts_as_up() {
    let mut fixture = Fixture::new(10);
    fixture.unresponsive_targets = vec![1003];
    fixture.run(Duration::from_secs(10));
    assert_that!(fixture.down(0), len(eq(1)));
    let mut document = records::target(1003, 0);
    let mut target = Target::read(&document).unwrap();
    target.incarnation = Incarnation(77);
    target.write(&mut document);
    fixture.put(document);
    fixture.unresponsive_targets.clear();
    fixture.run(TICK_INTERVAL);
    assert_that!(fixture.down(0), is_empty());
}

#[gtest]
fn the_record_of_a_target_down_for_an_hour_is_deleted() {
    let mut fixture = Fixture::new(10);
    fixture.unresponsive_targets = vec![1003];
    fixture.run(Duration::from_secs(3590));
    assert_that!(fixture.deleted_targets, is_empty());
    fixture.run(Duration::from_secs(30));
    assert_that!(fixture.deleted_targets, len(eq(BALANCERS)));
}

#[gtest]
fn rejected_writes_are_retried_with_exponential_delay() {
    let now = Instant(1_000_000);
    let catalog = catalog_of(documents(BALANCERS, 10, 1));
    let name = id::Balancer::new("balancer-0").unwrap();
    let mut prober = Prober::new(&name, 1, now);
    catalog.entries().for_each(|entry| prober.apply(entry));
    let mut writes = 0;
    for tick in 1..=4 * 600 {
        let now = now + TICK_INTERVAL * tick;
        for action in prober.tick(now) {
            match action {
                // Two of the ten targets don't answer probes.
                Action::Probe { peer, nonce } => {
                    let target = catalog
                        .records::<Target>()
                        .find(|(_, target)| target.peer == peer);
                    let (name, target) = target.unwrap();
                    if !name.ends_with('1') && !name.ends_with('2') {
                        let target_tag = Tag::new(&id::Target::new(name).unwrap());
                        let incarnation = target.incarnation;
                        prober.handle_echo(
                            Echo {
                                target: target_tag,
                                nonce,
                                incarnation,
                            },
                            now,
                        );
                    }
                }
                Action::WriteVerdict(_) => {
                    writes += 1;
                    prober.handle_write_result(false, now);
                }
                Action::DeleteTarget(_) => {}
            }
        }
    }
    assert_that!(writes, all!(ge(8), le(30)));
}

/// Guards against a verdict that the store lacks after a restore, since its balancer takes it for
/// stored.
#[gtest]
fn a_verdict_that_a_restore_may_have_discarded_is_written_again() {
    let mut fixture = Fixture::new(10);
    fixture.unresponsive_targets = vec![1003];
    fixture.run(Duration::from_secs(10));
    let writes = fixture.write_counts.clone();
    assert_that!(writes, each(ge(&1)));
    fixture.observe_restore();
    fixture.run(Duration::from_secs(5));
    let rewritten: Vec<usize> = writes.iter().map(|count| count + 1).collect();
    expect_that!(fixture.write_counts, eq(&rewritten));
    // No copy is older than a minute.
    fixture.run(Duration::from_secs(120));
    fixture.observe_restore();
    fixture.run(Duration::from_secs(5));
    expect_that!(fixture.write_counts, eq(&rewritten));
}
