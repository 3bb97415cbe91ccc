//! Scaling of memory use, as the number of targets and flows grows.

use std::net::SocketAddr;
use std::time::Duration;

use lavenderseam_core::catalog::Entry;
use lavenderseam_core::flow::router::{Router, Settings};
use lavenderseam_core::flow::{Hint, Key};
use lavenderseam_core::id::Tag;
use lavenderseam_core::liveness::Assignment;
use lavenderseam_core::record::Kind;
use lavenderseam_core::relay::{Event, Member, MemberId, Node};
use lavenderseam_core::time::Instant;
use lavenderseam_core::view::{Compiler, View};

use super::Report;
use super::sample::{PLANNED_TARGETS, catalog, documents, entries, resident_bytes};

/// Measures the memory of the control plane by number of targets, with everything else in
/// proportion. The values built for one size are never freed, so that no size reuses memory of
/// another.
pub(crate) fn memory(seed: u64) -> Report {
    let columns = [
        "catalog MB",
        "compiler and view MB",
        "relay MB",
        "probes MB",
        "B a target",
        "B a service",
        "B a member",
    ];
    let mut report = Report::new("memory", seed, "targets", &columns);
    for divisor in [16, 8, 4, 2, 1] {
        let entries = entries(documents(PLANNED_TARGETS / divisor));
        let [target, service, member] = [Kind::Target, Kind::Service, Kind::Balancer].map(|kind| {
            let of_kind: Vec<Entry> = entries
                .iter()
                .filter(|entry| entry.id.kind == kind)
                .cloned()
                .collect();
            let count = of_kind.len() as f64;
            let of_kind = std::mem::ManuallyDrop::new(of_kind);
            resident_growth(|| catalog(&of_kind)) / count
        });
        let catalog = resident_growth(|| catalog(&entries));
        let compiler = resident_growth(|| {
            let mut compiler = Compiler::default();
            entries.iter().for_each(|entry| compiler.apply(entry));
            let view = compiler.compile();
            (compiler, view)
        });
        let relay = resident_growth(|| node(seed, &entries)) - catalog;
        let probes = resident_growth(|| {
            let own = entries
                .first()
                .map_or(MemberId(0), |entry| MemberId::new(&entry.id));
            let mut assignment = Assignment::new(own);
            for entry in &entries {
                assignment.apply(entry);
            }
            assignment.assigned_targets();
            assignment
        });
        let megabytes = [catalog, compiler, relay, probes].map(|bytes| bytes / 1e6);
        report.add_row(
            PLANNED_TARGETS / divisor,
            [&megabytes[..], &[target, service, member]].concat(),
        );
        std::mem::forget(entries);
    }
    report
}

/// Returns a relay node that knows the entries.
fn node(seed: u64, entries: &[Entry]) -> Option<Node> {
    let own = entries.first().and_then(Member::new)?;
    let now = Instant(1_000_000);
    let mut node = Node::new(own, Vec::new(), seed, now);
    // In chunks, so that the entries are never copied as a whole.
    for chunk in entries.chunks(512) {
        let event = Event::StoreWatched {
            queried_at: now,
            entries: chunk.to_vec(),
            revision: chunk.last().map(|entry| entry.revision).unwrap_or_default(),
        };
        node.handle(event, now);
    }
    node.handle(Event::Tick, now);
    Some(node)
}

/// Returns the growth of the resident memory when a value is built, in bytes. The value is leaked.
fn resident_growth<T>(build: impl FnOnce() -> T) -> f64 {
    let before = resident_bytes();
    std::mem::forget(build());
    resident_bytes() - before
}

/// Measures the memory of a balancer's cache by number of flows.
pub(crate) fn flows(seed: u64) -> Report {
    let columns = ["cache MB", "B a flow"];
    let mut report = Report::new("flows", seed, "flows", &columns);
    for count in [50_000_usize, 100_000, 200_000, 400_000, 800_000] {
        let bytes = resident_growth(|| {
            let settings = Settings {
                shard_count: 16,
                capacity: count,
                answer_timeout: Duration::from_secs(3),
                ..Settings::default()
            };
            let router: Router = Router::new(settings);
            let service = SocketAddr::from(([203, 0, 113, 1], 443));
            for index in 0..count {
                let [.., a, b, c] = (index as u32).to_be_bytes();
                let caller = SocketAddr::from(([198, a, b, c], 5000));
                let hint = Hint {
                    flow: Key::new(seed, caller, service),
                    owner: Tag(index as u64 % 7),
                    established: true,
                    flows: 1,
                };
                router.apply_hint(&hint, &View::default(), Instant(1_000_000));
            }
            router
        });
        report.add_row(count, vec![bytes / 1e6, bytes / count as f64]);
    }
    report
}
