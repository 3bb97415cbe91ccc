//! Every parser on arbitrary bytes, round trips, and changed bits.

use std::net::SocketAddr;

use googletest::prelude::*;
use lavenderseam_core::catalog::Revision;
use lavenderseam_core::flow::{Key as FlowKey, Token};
use lavenderseam_core::id::{Incarnation, Tag};
use lavenderseam_wire::{
    Body, Echo, Error, Forward, Frame, Hint, Key, Kind, Probe, TRAIL_LIMIT, connection, fabric,
};
use proptest::prelude::*;

fn bytes(limit: usize) -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..limit)
}

fn keys() -> impl Strategy<Value = Key> {
    any::<[u8; 32]>().prop_map(Key::new)
}

fn tokens() -> impl Strategy<Value = Token> {
    (any::<u64>(), any::<u32>()).prop_map(|(owner, nonce)| Token {
        owner: Tag(owner),
        nonce,
    })
}

fn forwards() -> impl Strategy<Value = Forward> {
    let addresses = (
        any::<SocketAddr>(),
        any::<SocketAddr>(),
        any::<SocketAddr>(),
    );
    let trail = prop::collection::vec(any::<u64>().prop_map(Tag), 0..=TRAIL_LIMIT);
    let kind = prop_oneof![Just(Kind::Opener), Just(Kind::Continuing)];
    let token = prop::option::of(tokens());
    let rest = (any::<u64>(), any::<bool>());
    (addresses, any::<u128>(), kind, token, trail, rest).prop_map(
        |((caller, service, balancer), flow, kind, token, trail, (revision, asks))| Forward {
            flow: FlowKey(flow),
            caller: plain(caller),
            service: plain(service),
            kind,
            token,
            trail,
            revision: Revision(revision),
            balancer: plain(balancer),
            asks,
        },
    )
}

/// Addresses travel without flow label and scope.
fn plain(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), address.port())
}

fn bodies() -> impl Strategy<Value = Body> {
    prop_oneof![
        forwards().prop_map(Body::Forward),
        (any::<u128>(), any::<u64>(), any::<bool>(), any::<u32>()).prop_map(
            |(flow, owner, established, flows)| Body::Hint(Hint {
                flow: FlowKey(flow),
                owner: Tag(owner),
                established,
                flows,
            })
        ),
        any::<u64>().prop_map(|nonce| Body::Probe(Probe { nonce })),
        (any::<[u64; 3]>(), any::<bool>(), any::<u32>()).prop_map(
            |([nonce, target, incarnation], admits, flows)| Body::Echo(Echo {
                nonce,
                target: Tag(target),
                incarnation: Incarnation(incarnation),
                admits,
                flows,
            })
        ),
        any::<u128>().prop_map(|flow| Body::Yield(FlowKey(flow))),
    ]
}

/// Bytes before the payload: version, length, header, tag.
fn header_length(datagram: &[u8]) -> usize {
    3 + usize::from(u16::from_be_bytes([datagram[1], datagram[2]])) + 16
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: prop::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_never_panic(key in keys(), datagram in bytes(600)) {
        prop_assert!(Frame::open(&key, &datagram).is_err());
        prop_assert!(connection::decode(&key, &datagram).is_none());
        let _ = fabric::Packet::decode(&datagram);
        let _ = String::from_utf8_lossy(&datagram).parse::<Key>();
    }

    /// A peer that holds the key may be of another version and send any header.
    #[test]
    fn an_arbitrary_sealed_header_never_panics(key in keys(), header in bytes(300)) {
        let length = u16::try_from(header.len()).unwrap_or_default().to_be_bytes();
        let signed = [&[1], &length[..], &header].concat();
        let datagram = [&signed[..], &key.tag(&signed)].concat();
        let _ = Frame::open(&key, &datagram);
    }

    #[test]
    fn a_frame_survives_the_round_trip(key in keys(), body in bodies(), payload in bytes(1_500)) {
        let frame = match body {
            Body::Forward(forward) => Frame::with_payload(forward, &payload),
            body => Frame::new(body),
        };
        let mut datagram = Vec::new();
        prop_assert_eq!(frame.seal(&key, &mut datagram), Ok(()));
        prop_assert_eq!(Frame::open(&key, &datagram), Ok(frame));
    }

    #[test]
    fn a_changed_bit_of_the_header_is_rejected(
        key in keys(),
        body in bodies(),
        payload in bytes(64),
        place in any::<prop::sample::Index>(),
        bit in 0..8u8,
    ) {
        let frame = Frame { body, payload: &payload };
        let mut datagram = Vec::new();
        prop_assert_eq!(frame.seal(&key, &mut datagram), Ok(()));
        let place = place.index(header_length(&datagram));
        datagram[place] ^= 1 << bit;
        prop_assert!(Frame::open(&key, &datagram).is_err());
    }

    #[test]
    fn a_cut_header_is_rejected(
        key in keys(),
        body in bodies(),
        place in any::<prop::sample::Index>(),
    ) {
        let mut datagram = Vec::new();
        prop_assert_eq!(Frame::new(body).seal(&key, &mut datagram), Ok(()));
        let cut = place.index(header_length(&datagram));
        prop_assert_eq!(Frame::open(&key, &datagram[..cut]), Err(Error::Short));
    }

    #[test]
    fn another_key_is_rejected(key in keys(), other in keys(), body in bodies()) {
        prop_assume!(key != other);
        let mut datagram = Vec::new();
        prop_assert_eq!(Frame::new(body).seal(&key, &mut datagram), Ok(()));
        prop_assert_eq!(Frame::open(&other, &datagram), Err(Error::Tag));
    }

    #[test]
    fn a_fabric_packet_survives_the_round_trip(
        caller in any::<SocketAddr>(),
        service in any::<SocketAddr>(),
        payload in bytes(1_500),
    ) {
        let ends = fabric::Ends { caller: plain(caller), service: plain(service) };
        let packet = fabric::Packet::new(ends, &payload);
        let mut datagram = Vec::new();
        prop_assert_eq!(packet.encode(&mut datagram), Ok(()));
        prop_assert_eq!(fabric::Packet::decode(&datagram), Ok(packet));
    }

    #[test]
    fn a_connection_id_survives_the_round_trip_and_no_changed_bit(
        key in keys(),
        token in tokens(),
        place in 0..connection::LENGTH,
        bit in 0..8u8,
    ) {
        let mut id = connection::encode(&key, token);
        prop_assert_eq!(connection::decode(&key, &id), Some(token));
        id[place] ^= 1 << bit;
        prop_assert_eq!(connection::decode(&key, &id), None);
    }

    #[test]
    fn a_key_survives_the_round_trip(bytes in any::<[u8; 32]>()) {
        let text: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        prop_assert_eq!(text.parse(), Ok(Key::new(bytes)));
        prop_assert!(text[1..].parse::<Key>().is_err());
        let sign = format!("+{}", &text[1..]);
        prop_assert!(sign.parse::<Key>().is_err());
    }
}

#[gtest]
fn the_longest_trail_fits() {
    let address = SocketAddr::from(([0xffff; 8], u16::MAX));
    let forward = Forward {
        flow: FlowKey(u128::MAX),
        caller: address,
        service: address,
        kind: Kind::Continuing,
        token: Some(Token {
            owner: Tag(u64::MAX),
            nonce: u32::MAX,
        }),
        trail: vec![Tag(u64::MAX); TRAIL_LIMIT],
        revision: Revision(u64::MAX),
        balancer: address,
        asks: true,
    };
    let mut datagram = Vec::new();
    let sealed = Frame::with_payload(forward, &[]).seal(&Key::new([1; 32]), &mut datagram);
    expect_that!(sealed, ok(anything()));
}

#[gtest]
fn another_version_is_rejected_by_name() {
    let key = Key::new([1; 32]);
    let mut datagram = Vec::new();
    let sealed = Frame::new(Body::Probe(Probe { nonce: 1 })).seal(&key, &mut datagram);
    assert_that!(sealed, ok(anything()));
    datagram[0] = 9;
    expect_that!(Frame::open(&key, &datagram), err(eq(&Error::Version(9))));
}
