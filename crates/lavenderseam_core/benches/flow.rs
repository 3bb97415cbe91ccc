//! Benchmarks routing decisions for established flows against a plain hash table lookup of the same
//! size.

use std::collections::HashMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use lavenderseam_core::catalog::{Catalog, Entry, Revision};
use lavenderseam_core::flow::owner::{self, ForwardedPacket};
use lavenderseam_core::flow::{Hint, Key, Kind, Owner, Packet, Router, Token, router};
use lavenderseam_core::id::{self, Incarnation, Tag};
use lavenderseam_core::record::{self, Document, Phase, Record, Schema, Slots};
use lavenderseam_core::time::Instant;
use lavenderseam_core::view::View;

/// Number of established flows.
const FLOWS: u32 = 300_000;
const TARGETS: u16 = 7;
/// Stride that visits all flows in an order without locality, so that CPU caches don't help.
const STRIDE: u32 = 179_424_673 % FLOWS;

fn service() -> SocketAddr {
    SocketAddr::from(([192, 0, 2, 1], 443))
}

fn expect_valid<T>(result: Result<T, id::Error>) -> T {
    result.unwrap_or_else(|error| panic!("{error}"))
}

fn target(index: u16) -> id::Target {
    expect_valid(id::Target::new(&format!("target-{index}")))
}

fn tag(index: u32) -> Tag {
    let index = u16::try_from(index % u32::from(TARGETS)).unwrap_or_default();
    Tag::new(&target(index))
}

fn view() -> View {
    let mut catalog = Catalog::default();
    let mut put = |name: &str, document: Document| {
        let document = Document {
            name: name.to_owned(),
            ..document
        };
        let revision = Revision(catalog.highest_revision().0 + 1);
        catalog.apply(Entry::written(revision, document));
    };
    let group = expect_valid(id::Group::new("group"));
    let capacity = record::Group {
        slots: Slots(4),
        connections: 2_000,
        cold_slots: Slots(1),
        drain_timeout: Duration::from_secs(30),
    };
    put("group", document(&capacity));
    let addresses = vec![service()];
    let of = group.clone();
    put(
        "service",
        document(&record::Service {
            addresses,
            group: of,
        }),
    );
    for index in 0..TARGETS {
        let peer = SocketAddr::from(([127, 0, 0, 1], 7_000 + index));
        let record = record::Target {
            group: group.clone(),
            domain: expect_valid(id::Domain::new("domain")),
            region: expect_valid(id::Region::new("region")),
            peer,
            rpc: peer,
            incarnation: Incarnation(1),
            phase: Phase::Serving,
        };
        put(target(index).as_str(), document(&record));
    }
    View::new(&catalog)
}

fn document<R: Record>(record: &R) -> Document {
    let mut document = Document::new(R::KIND, "", Schema(1));
    record.write(&mut document);
    document
}

fn flows() -> Vec<Key> {
    (0..FLOWS)
        .map(|index| {
            let caller = SocketAddr::from((index.to_be_bytes(), 4_000));
            Key::new(1, caller, service())
        })
        .collect()
}

fn packet(flow: Key, token: Option<Token>) -> Packet {
    Packet {
        flow,
        service: service(),
        kind: Kind::Continuing,
        token,
    }
}

fn bench_decisions(criterion: &mut Criterion) {
    let view = view();
    let flows = flows();
    let now = Instant::default() + Duration::from_secs(1);
    let mut position = 0;
    let mut next = move || {
        position = (position + STRIDE) % FLOWS;
        position as usize
    };
    let tags: Vec<Tag> = (0..FLOWS).map(tag).collect();

    let table: HashMap<Key, Tag> = flows.iter().copied().zip(tags.iter().copied()).collect();
    criterion.bench_function("bare hash table", |bencher| {
        bencher.iter(|| black_box(table.get(&flows[next()])));
    });

    let router = Router::<router::StdLocks>::default();
    for (flow, owner) in flows.iter().zip(&tags) {
        let hint = Hint {
            flow: *flow,
            owner: *owner,
            established: true,
            flows: 1,
        };
        router.apply_hint(&hint, &view, now);
    }
    println!("{} of {FLOWS} flows cached", router.cached_flow_count());
    criterion.bench_function("balancer, cached flow", |bencher| {
        bencher.iter(|| black_box(router.route(&packet(flows[next()], None), &view, now)));
    });
    criterion.bench_function("balancer, token", |bencher| {
        bencher.iter(|| {
            let index = next();
            let token = Token {
                owner: tags[index],
                nonce: 1,
            };
            black_box(router.route(&packet(flows[index], Some(token)), &view, now))
        });
    });

    let settings = owner::Settings {
        max_flows: FLOWS as usize,
        ..owner::Settings::default()
    };
    let group = expect_valid(id::Group::new("group"));
    let domain = expect_valid(id::Domain::new("domain"));
    let mut owner = Owner::with_settings(tag(0), group, domain, settings);
    flows
        .iter()
        .for_each(|flow| owner.mark_established(*flow, now));
    criterion.bench_function("agent, own flow", |bencher| {
        bencher.iter(|| {
            let forwarded = ForwardedPacket {
                packet: packet(flows[next()], None),
                visited: &[],
                revision: view.revision(),
            };
            black_box(owner.handle_packet(&forwarded, &view, now, true))
        });
    });
}

criterion_group!(benches, bench_decisions);
criterion_main!(benches);
