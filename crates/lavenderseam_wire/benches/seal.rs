//! Measures sealing and opening a frame, with copying the datagram as the baseline.

use std::hint::black_box;
use std::net::SocketAddr;

use criterion::{Criterion, criterion_group, criterion_main};
use lavenderseam_core::catalog::Revision;
use lavenderseam_core::flow::{self, Token};
use lavenderseam_core::id::Tag;
use lavenderseam_wire::{ForwardHeader, Frame, Kind, SymmetricKey, connection_id};

const KEY: SymmetricKey = SymmetricKey::new([7; 32]);
const PAYLOAD: [u8; 1200] = [3; 1200];

fn forwarded_packet() -> ForwardHeader {
    let caller = SocketAddr::from(([127, 0, 0, 1], 40_000));
    let service = SocketAddr::from(([127, 1, 0, 1], 443));
    ForwardHeader {
        flow: flow::Key::new(1, caller, service),
        caller,
        service,
        kind: Kind::Continuing,
        token: Some(Token {
            owner: Tag(u64::MAX / 3),
            nonce: 9,
        }),
        visited: vec![Tag(u64::MAX / 3)],
        revision: Revision(100_000),
        balancer: SocketAddr::from(([127, 0, 0, 2], 7000)),
        wants_hint: true,
    }
}

fn seal(criterion: &mut Criterion) {
    let frame = Frame::with_payload(forwarded_packet(), &PAYLOAD);
    let mut sealed = Vec::new();
    let _ = frame.seal(&KEY, &mut sealed);
    let mut buffer = Vec::with_capacity(2048);
    criterion.bench_function("copy a datagram (baseline)", |bencher| {
        bencher.iter(|| {
            buffer.clear();
            buffer.extend_from_slice(black_box(&sealed));
        });
    });
    criterion.bench_function("seal a frame", |bencher| {
        bencher.iter(|| black_box(&frame).seal(&KEY, &mut buffer));
    });
    criterion.bench_function("open a frame", |bencher| {
        bencher.iter(|| Frame::open(&KEY, black_box(&sealed)).map(|frame| frame.payload.len()));
    });
    criterion.bench_function("tag header and payload (rejected way)", |bencher| {
        bencher.iter(|| KEY.authentication_tag(black_box(&sealed)));
    });
    let id = connection_id::encode(
        &KEY,
        Token {
            owner: Tag(5),
            nonce: 9,
        },
    );
    criterion.bench_function("read the owner from a connection id", |bencher| {
        bencher.iter(|| connection_id::decode(&KEY, black_box(&id)));
    });
}

criterion_group!(benches, seal);
criterion_main!(benches);
