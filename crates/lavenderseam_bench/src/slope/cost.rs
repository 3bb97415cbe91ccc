//! Scaling of CPU time: time that the control plane takes for an operation, as the number of
//! records grows.

use std::hint::black_box;
use std::time::Duration;

use lavenderseam_core::catalog::{Entry, Revision};
use lavenderseam_core::liveness::Assignment;
use lavenderseam_core::relay::{Event, Member, MemberId, Node, Push, Stamp};
use lavenderseam_core::time::Instant;
use lavenderseam_core::view::{Compiler, View};

use super::Report;
use super::fixture::records;
use super::sample::{FIRST_TARGET_INDEX, PLANNED_TARGETS, catalog, documents, entries, min_time};

/// Divisors of the planned size in two years that give the measured sizes.
const SIZE_DIVISORS: [usize; 5] = [16, 8, 4, 2, 1];
/// Number of repetitions per run of a short operation.
const REPETITIONS: u64 = 200;

/// Returns a changed record of one target.
fn announcement(revision: u64) -> Entry {
    let mut document = records::target(FIRST_TARGET_INDEX + 7, 1);
    document.spec.insert("note".to_owned(), revision.into());
    Entry::written(Revision(revision), document)
}

/// Measures the steps of relaying one pushed record: the relay's state machine, decoding the
/// message, and encoding it for six children.
pub(crate) fn apply(seed: u64) -> Report {
    let columns = ["push µs", "decode µs", "encode µs"];
    let mut report = Report::new("apply", seed, "targets", &columns);
    for divisor in SIZE_DIVISORS {
        let entries = entries(documents(PLANNED_TARGETS / divisor));
        let own = entries.first().and_then(Member::new);
        let Some(own) = own else {
            continue;
        };
        let mut node = Node::new(own, Vec::new(), seed, Instant(1_000_000));
        let revision = Revision(entries.len() as u64);
        let queried_at = Instant(1_000_000);
        node.handle(
            Event::StoreListed {
                queried_at,
                entries,
                revision,
            },
            Instant(1_000_000),
        );
        node.handle(Event::Tick, Instant(1_000_000));
        let mut next_revision = revision.0;
        let stamp = stamp(&node);
        let push = min_time(5, || {
            for _ in 0..REPETITIONS {
                next_revision += 1;
                let push = Push {
                    from: MemberId(1),
                    entries: vec![announcement(next_revision)],
                    stamp,
                };
                black_box(node.handle(Event::PushReceived(push), Instant(1_000_001)));
            }
        });
        let message = Push {
            from: MemberId(1),
            entries: vec![announcement(next_revision)],
            stamp,
        };
        let text = serde_json::to_string(&message).unwrap_or_default();
        let decode = min_time(5, || {
            for _ in 0..REPETITIONS {
                black_box(serde_json::from_str::<Push>(&text).ok());
            }
        });
        let encode = min_time(5, || {
            for _ in 0..REPETITIONS {
                black_box(serde_json::to_string(&message).ok());
            }
        });
        report.add_row(
            PLANNED_TARGETS / divisor,
            [push, decode, encode].map(micros_per_repetition).to_vec(),
        );
    }
    report
}

fn stamp(node: &Node) -> Stamp {
    Stamp {
        complete: node.catalog().complete_revision(),
        root: node.catalog().digest().root(),
        restore: None,
        age_ms: Some(0),
        watcher: MemberId(1),
        watcher_age_ms: Some(0),
    }
}

/// Converts the time of all repetitions to microseconds per repetition.
fn micros_per_repetition(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6 / REPETITIONS as f64
}

/// Measures the compilation of the view after one change, and from scratch.
pub(crate) fn compile(seed: u64) -> Report {
    let columns = ["one change ms", "whole ms"];
    let mut report = Report::new("compile", seed, "targets", &columns);
    for divisor in SIZE_DIVISORS {
        let entries = entries(documents(PLANNED_TARGETS / divisor));
        let mut compiler = Compiler::default();
        entries.iter().for_each(|entry| compiler.apply(entry));
        let _initial_view = compiler.compile();
        let mut next_revision = entries.len() as u64;
        let incremental = min_time(5, || {
            next_revision += 1;
            compiler.apply(&announcement(next_revision));
            black_box(compiler.compile());
        });
        let catalog = catalog(&entries);
        let full = min_time(3, || {
            black_box(View::new(&catalog));
        });
        report.add_row(
            PLANNED_TARGETS / divisor,
            [incremental, full]
                .map(|span| span.as_secs_f64() * 1e3)
                .to_vec(),
        );
    }
    report
}

/// Measures the assignment of probes after a target has changed and after a balancer was added.
pub(crate) fn probes(seed: u64) -> Report {
    let columns = [
        "target changed µs",
        "balancer arrived ms",
        "targets of a balancer",
    ];
    let mut report = Report::new("probes", seed, "targets", &columns);
    for divisor in SIZE_DIVISORS {
        let entries = entries(documents(PLANNED_TARGETS / divisor));
        let Some(own) = entries.first().map(|entry| MemberId::new(&entry.id)) else {
            continue;
        };
        let mut assignment = Assignment::new(own);
        for entry in &entries {
            assignment.apply(entry);
        }
        let assigned = assignment.assigned_targets().len() as f64;
        let target = min_time(5, || {
            for revision in 0..REPETITIONS {
                assignment.apply(&announcement(revision));
                black_box(assignment.assigned_targets().len());
            }
        });
        let mut balancer_index = 50_000;
        let balancer = min_time(3, || {
            balancer_index += 1;
            let document = records::balancer(balancer_index, balancer_index % 3);
            assignment.apply(&Entry::written(Revision(1), document));
            black_box(assignment.assigned_targets().len());
        });
        report.add_row(
            PLANNED_TARGETS / divisor,
            vec![
                micros_per_repetition(target),
                balancer.as_secs_f64() * 1e3,
                assigned,
            ],
        );
    }
    report
}
