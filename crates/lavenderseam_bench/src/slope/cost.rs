//! Processor time against the records held.

use std::hint::black_box;
use std::time::Duration;

use lavenderseam_core::catalog::{Entry, Revision};
use lavenderseam_core::liveness::Assignment;
use lavenderseam_core::relay::{Event, Member, MemberId, Node, Push, Stamp};
use lavenderseam_core::time::Instant;
use lavenderseam_core::view::{Compiler, View};

use super::Report;
use super::fixture::records;
use super::sample::{FIRST_TARGET, TARGETS, catalog, documents, entries, least_time};

/// Fractions of the two-year size.
const SHARES: [usize; 5] = [16, 8, 4, 2, 1];
/// Repetitions within a run of a short operation.
const REPEAT: u64 = 200;

fn announcement(revision: u64) -> Entry {
    let mut document = records::target(FIRST_TARGET + 7, 1);
    document.spec.insert("note".to_owned(), revision.into());
    Entry::with_document(Revision(revision), document)
}

/// Taking one pushed record: decoding it, the relay's state machine, encoding it for six children.
pub(crate) fn apply(seed: u64) -> Report {
    let columns = ["push µs", "decode µs", "encode µs"];
    let mut report = Report::new("apply", seed, "targets", &columns);
    for share in SHARES {
        let entries = entries(documents(TARGETS / share));
        let own = entries.first().and_then(Member::new);
        let Some(own) = own else {
            continue;
        };
        let mut node = Node::new(own, Vec::new(), seed, Instant(1_000_000));
        let revision = Revision(entries.len() as u64);
        let asked = Instant(1_000_000);
        node.handle(
            Event::Listed {
                asked,
                entries,
                revision,
            },
            Instant(1_000_000),
        );
        node.handle(Event::Tick, Instant(1_000_000));
        let mut next = revision.0;
        let stamp = stamp(&node);
        let push = least_time(5, || {
            for _ in 0..REPEAT {
                next += 1;
                let push = Push {
                    from: MemberId(1),
                    entries: vec![announcement(next)],
                    stamp,
                };
                black_box(node.handle(Event::Pushed(push), Instant(1_000_001)));
            }
        });
        let message = Push {
            from: MemberId(1),
            entries: vec![announcement(next)],
            stamp,
        };
        let text = serde_json::to_string(&message).unwrap_or_default();
        let decode = least_time(5, || {
            for _ in 0..REPEAT {
                black_box(serde_json::from_str::<Push>(&text).ok());
            }
        });
        let encode = least_time(5, || {
            for _ in 0..REPEAT {
                black_box(serde_json::to_string(&message).ok());
            }
        });
        report.add(TARGETS / share, [push, decode, encode].map(each).to_vec());
    }
    report
}

fn stamp(node: &Node) -> Stamp {
    Stamp {
        complete: node.catalog().complete(),
        root: node.catalog().digest().root(),
        age_ms: Some(0),
        watcher: MemberId(1),
        watcher_age_ms: Some(0),
    }
}

/// Microseconds of one repetition.
fn each(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6 / REPEAT as f64
}

/// Compiling the view after one change, and whole.
pub(crate) fn compile(seed: u64) -> Report {
    let columns = ["one change ms", "whole ms"];
    let mut report = Report::new("compile", seed, "targets", &columns);
    for share in SHARES {
        let entries = entries(documents(TARGETS / share));
        let mut compiler = Compiler::default();
        entries.iter().for_each(|entry| compiler.apply(entry));
        let _held = compiler.compile();
        let mut next = entries.len() as u64;
        let one = least_time(5, || {
            next += 1;
            compiler.apply(&announcement(next));
            black_box(compiler.compile());
        });
        let catalog = catalog(&entries);
        let whole = least_time(3, || {
            black_box(View::new(&catalog));
        });
        report.add(
            TARGETS / share,
            [one, whole].map(|span| span.as_secs_f64() * 1e3).to_vec(),
        );
    }
    report
}

/// Assigning probes: after one target's change, and after a balancer's arrival.
pub(crate) fn probes(seed: u64) -> Report {
    let columns = [
        "target changed µs",
        "balancer arrived ms",
        "targets of a balancer",
    ];
    let mut report = Report::new("probes", seed, "targets", &columns);
    for share in SHARES {
        let entries = entries(documents(TARGETS / share));
        let Some(own) = entries.first().map(|entry| MemberId::new(&entry.id)) else {
            continue;
        };
        let mut assignment = Assignment::new(own);
        for entry in &entries {
            assignment.apply(entry);
        }
        let assigned = assignment.assigned().len() as f64;
        let target = least_time(5, || {
            for revision in 0..REPEAT {
                assignment.apply(&announcement(revision));
                black_box(assignment.assigned().len());
            }
        });
        let mut arrived = 50_000;
        let balancer = least_time(3, || {
            arrived += 1;
            let document = records::balancer(arrived, arrived % 3);
            assignment.apply(&Entry::with_document(Revision(1), document));
            black_box(assignment.assigned().len());
        });
        report.add(
            TARGETS / share,
            vec![each(target), balancer.as_secs_f64() * 1e3, assigned],
        );
    }
    report
}
