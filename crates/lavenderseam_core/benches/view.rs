//! Benchmarks updating the routing view after a change of one target's record, against building the
//! whole view from the records. The view has the size expected in two years: 42,000 targets and
//! 18,000 services.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use lavenderseam_core::catalog::{Catalog, Entry, Revision};
use lavenderseam_core::id::{self, Incarnation};
use lavenderseam_core::record::{self, Document, Phase, Record, Schema, Slots};
use lavenderseam_core::view::{Compiler, View};

const SERVICES: u32 = 18_000;
const TARGETS: u32 = 42_000;

fn address(index: u32, port: u16) -> SocketAddr {
    SocketAddr::from(((0x7f00_0000 + index).to_be_bytes(), port))
}

fn entry<R: Record>(name: &str, record: &R, revision: u32) -> Option<Entry> {
    let mut document = Document::new(R::KIND, name, Schema(2));
    if matches!(R::KIND, record::Kind::Target) {
        document.schema = Schema(1);
    }
    record.write(&mut document);
    Some(Entry::written(Revision(revision.into()), document))
}

fn service(index: u32) -> Option<Entry> {
    let name = format!("service-{index}");
    let group = id::Group::new(&name).ok()?;
    entry(
        &name,
        &record::Service {
            addresses: vec![address(index, 443)],
            group,
        },
        index + 1,
    )
}

fn group(index: u32) -> Option<Entry> {
    let capacity = record::Group {
        slots: Slots(4),
        connections: 2000,
        cold_slots: Slots(1),
        drain_timeout: Duration::from_secs(30),
    };
    entry(&format!("service-{index}"), &capacity, index + 1)
}

fn target(index: u32, incarnation: u64) -> Option<Entry> {
    let record = record::Target {
        group: id::Group::new(&format!("service-{}", index % SERVICES)).ok()?,
        domain: id::Domain::new(&format!("domain-{}", index % 8)).ok()?,
        region: id::Region::new(&format!("region-{}", index % 3)).ok()?,
        peer: address(index, 7000),
        rpc: address(index, 7001),
        incarnation: Incarnation(incarnation),
        phase: Phase::Serving,
    };
    entry(
        &format!("target-{index}"),
        &record,
        index + incarnation as u32,
    )
}

fn catalog() -> Catalog {
    let mut catalog = Catalog::default();
    let services = (0..SERVICES).filter_map(service);
    let groups = (0..SERVICES).filter_map(group);
    let targets = (0..TARGETS).filter_map(|index| target(index, 1));
    for entry in services.chain(groups).chain(targets) {
        catalog.apply(entry);
    }
    catalog
}

fn view(criterion: &mut Criterion) {
    let catalog = catalog();
    let mut compiler = Compiler::default();
    for entry in catalog.entries() {
        compiler.apply(entry);
    }
    compiler.compile();
    let mut incarnation = 1;
    criterion.bench_function("compile one target's change", |bencher| {
        bencher.iter(|| {
            incarnation += 1;
            if let Some(entry) = target(7, incarnation) {
                compiler.apply(&entry);
            }
            black_box(compiler.compile())
        });
    });
    criterion.bench_function("compile the whole view (baseline)", |bencher| {
        bencher.iter(|| View::new(black_box(&catalog)));
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10);
    targets = view
}
criterion_main!(benches);
