//! Measures time and memory, and builds the records of deployments of a given size.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lavenderseam_core::catalog::{Catalog, Entry, Revision};
use lavenderseam_core::id;
use lavenderseam_core::record::{self, Document, Record, Schema, Slots};

use super::fixture::records;

/// Number of regions at the planned size in two years.
pub(crate) const REGIONS: usize = 3;
/// Number of targets at the planned size in two years.
pub(crate) const PLANNED_TARGETS: usize = 42_000;
/// Number of services at the planned size in two years.
const PLANNED_SERVICES: usize = 18_000;
/// Number of balancers at the planned size in two years.
pub(crate) const PLANNED_BALANCERS: usize = 7_000;
/// Index of the first target; balancers are numbered from zero.
pub(crate) const FIRST_TARGET_INDEX: usize = 100_000;

/// Returns the shortest time of several runs of `work`, which must be CPU-bound.
pub(crate) fn min_time(runs: usize, mut work: impl FnMut()) -> Duration {
    let timed_run = |_| {
        let start = Instant::now();
        work();
        start.elapsed()
    };
    (0..runs).map(timed_run).min().unwrap_or_default()
}

/// Returns the resident memory of this process, in bytes.
pub(crate) fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * 4096.0
}

/// Returns the documents of a deployment with `targets` targets and everything else in proportion.
pub(crate) fn documents(targets: usize) -> Vec<Document> {
    let in_proportion = |planned: usize| (planned * targets).div_ceil(PLANNED_TARGETS);
    let balancers = (0..in_proportion(PLANNED_BALANCERS))
        .map(|index| records::balancer(index, index % REGIONS));
    let services = (0..in_proportion(PLANNED_SERVICES)).flat_map(service);
    let targets =
        (0..targets).map(|index| records::target(FIRST_TARGET_INDEX + index, index % REGIONS));
    balancers.chain(services).chain(targets).collect()
}

/// Returns a service and its group.
fn service(index: usize) -> [Document; 2] {
    let name = format!("group-{}", FIRST_TARGET_INDEX / 4 + index);
    let mut service = Document::new(record::Kind::Service, &name, Schema(1));
    let [.., a, b, c] = (index as u32).to_be_bytes();
    if let Ok(group) = id::Group::new(&name) {
        let addresses = vec![SocketAddr::from(([203, a, b, c], 443))];
        record::Service { addresses, group }.write(&mut service);
    }
    let mut group = Document::new(record::Kind::BackendGroup, &name, Schema(2));
    let group_record = record::Group {
        slots: Slots(4),
        connections: 2_000,
        cold_slots: Slots(1),
        drain_timeout: Duration::from_secs(30),
    };
    group_record.write(&mut group);
    [service, group]
}

/// Converts documents to entries with revisions from 1.
pub(crate) fn entries(documents: Vec<Document>) -> Vec<Entry> {
    let numbered = documents.into_iter().zip(1..);
    numbered
        .map(|(document, revision)| Entry::written(Revision(revision), document))
        .collect()
}

/// Returns a catalog that holds the entries.
pub(crate) fn catalog(entries: &[Entry]) -> Catalog {
    let mut catalog = Catalog::default();
    for entry in entries {
        catalog.apply(entry.clone());
    }
    catalog
}
