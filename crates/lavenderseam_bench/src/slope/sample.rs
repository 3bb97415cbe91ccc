//! Measuring time and memory, and documents of the size that deployments have.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lavenderseam_core::catalog::{Catalog, Entry, Revision};
use lavenderseam_core::id;
use lavenderseam_core::record::{self, Document, Record, Schema, Slots};

use super::fixture::records;

/// Regions of the two-year size.
pub(crate) const REGIONS: usize = 3;
/// Targets at the two-year size.
pub(crate) const TARGETS: usize = 42_000;
/// Services at the two-year size.
const SERVICES: usize = 18_000;
/// Balancers at the two-year size.
pub(crate) const BALANCERS: usize = 7_000;
/// Number of the first target; balancers are numbered from zero.
pub(crate) const FIRST_TARGET: usize = 100_000;

/// Seconds of processor-bound work, the least of several runs.
pub(crate) fn least_time(runs: usize, mut work: impl FnMut()) -> Duration {
    let once = |_| {
        let start = Instant::now();
        work();
        start.elapsed()
    };
    (0..runs).map(once).min().unwrap_or_default()
}

/// Resident memory of this process, in bytes.
pub(crate) fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * 4096.0
}

/// Documents of a deployment with this many targets, everything else in proportion.
pub(crate) fn documents(targets: usize) -> Vec<Document> {
    let share = |of: usize| (of * targets).div_ceil(TARGETS);
    let balancers = (0..share(BALANCERS)).map(|index| records::balancer(index, index % REGIONS));
    let services = (0..share(SERVICES)).flat_map(service);
    let targets = (0..targets).map(|index| records::target(FIRST_TARGET + index, index % REGIONS));
    balancers.chain(services).chain(targets).collect()
}

/// A service and its group.
fn service(index: usize) -> [Document; 2] {
    let name = format!("group-{}", FIRST_TARGET / 4 + index);
    let mut service = Document::new(record::Kind::Service, &name, Schema(1));
    let [.., a, b, c] = (index as u32).to_be_bytes();
    if let Ok(group) = id::Group::new(&name) {
        let addresses = vec![SocketAddr::from(([203, a, b, c], 443))];
        record::Service { addresses, group }.write(&mut service);
    }
    let mut group = Document::new(record::Kind::BackendGroup, &name, Schema(2));
    let bears = record::Group {
        slots: Slots(4),
        connections: 2_000,
        cold_slots: Slots(1),
        drain: Duration::from_secs(30),
    };
    bears.write(&mut group);
    [service, group]
}

/// The documents as entries, numbered from one.
pub(crate) fn entries(documents: Vec<Document>) -> Vec<Entry> {
    let numbered = documents.into_iter().zip(1..);
    numbered
        .map(|(document, revision)| Entry::with_document(Revision(revision), document))
        .collect()
}

/// A catalog that holds the entries.
pub(crate) fn catalog(entries: &[Entry]) -> Catalog {
    let mut catalog = Catalog::default();
    for entry in entries {
        catalog.apply(entry.clone());
    }
    catalog
}
