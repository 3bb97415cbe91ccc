//! Parsers of all wire formats: arbitrary input, round trips, truncation and flipped bits.

use std::net::SocketAddr;

use googletest::prelude::*;
use lavenderseam_core::catalog::Revision;
use lavenderseam_core::flow::{Key as FlowKey, Token};
use lavenderseam_core::id::{Incarnation, Tag};
use lavenderseam_wire::{
    Error, ForwardHeader, Frame, FrameHeader, Hint, Kind, MAX_VISITED_TARGETS, Probe, ProbeReply,
    SymmetricKey, connection_id, fabric,
};
use proptest::prelude::*;

fn byte_strings(limit: usize) -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..limit)
}

fn any_key() -> impl Strategy<Value = SymmetricKey> {
    any::<[u8; 32]>().prop_map(SymmetricKey::new)
}

fn any_token() -> impl Strategy<Value = Token> {
    (any::<u64>(), any::<u32>()).prop_map(|(owner, nonce)| Token {
        owner: Tag(owner),
        nonce,
    })
}

fn any_forward() -> impl Strategy<Value = ForwardHeader> {
    let addresses = (
        any::<SocketAddr>(),
        any::<SocketAddr>(),
        any::<SocketAddr>(),
    );
    let visited = prop::collection::vec(any::<u64>().prop_map(Tag), 0..=MAX_VISITED_TARGETS);
    let kind = prop_oneof![Just(Kind::Opener), Just(Kind::Continuing)];
    let token = prop::option::of(any_token());
    let rest = (any::<u64>(), any::<bool>());
    (addresses, any::<u128>(), kind, token, visited, rest).prop_map(
        |((caller, service, balancer), flow, kind, token, visited, (revision, hint_requested))| {
            ForwardHeader {
                flow: FlowKey(flow),
                caller: without_flow_label(caller),
                service: without_flow_label(service),
                kind,
                token,
                visited,
                revision: Revision(revision),
                balancer: without_flow_label(balancer),
                wants_hint: hint_requested,
            }
        },
    )
}

/// Removes the IPv6 flow label and scope, which aren't encoded.
fn without_flow_label(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), address.port())
}

fn any_body() -> impl Strategy<Value = FrameHeader> {
    prop_oneof![
        any_forward().prop_map(FrameHeader::Forward),
        (any::<u128>(), any::<u64>(), any::<bool>(), any::<u32>()).prop_map(
            |(flow, owner, established, flows)| FrameHeader::Hint(Hint {
                flow: FlowKey(flow),
                owner: Tag(owner),
                established,
                flows,
            })
        ),
        any::<u64>().prop_map(|nonce| FrameHeader::Probe(Probe { nonce })),
        (any::<[u64; 3]>(), any::<bool>(), any::<u32>()).prop_map(
            |([nonce, target, incarnation], admits, flows)| FrameHeader::Echo(ProbeReply {
                nonce,
                target: Tag(target),
                incarnation: Incarnation(incarnation),
                admits_flows: admits,
                flows,
            })
        ),
        any::<u128>().prop_map(|flow| FrameHeader::Yield(FlowKey(flow))),
    ]
}

/// Number of bytes before the payload: version, header length, header, tag.
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
    fn arbitrary_bytes_never_panic(key in any_key(), datagram in byte_strings(600)) {
        prop_assert!(Frame::open(&key, &datagram).is_err());
        prop_assert!(connection_id::decode(&key, &datagram).is_none());
        let _ = fabric::Packet::decode(&datagram);
        let _ = String::from_utf8_lossy(&datagram).parse::<SymmetricKey>();
    }

    /// A peer that holds the key may run another version and send any header.
    #[test]
    fn an_arbitrary_sealed_header_never_panics(key in any_key(), header in byte_strings(300)) {
        let length = u16::try_from(header.len()).unwrap_or_default().to_be_bytes();
        let authenticated = [&[1], &length[..], &header].concat();
        let datagram = [&authenticated[..], &key.authentication_tag(&authenticated)].concat();
        let _ = Frame::open(&key, &datagram);
    }

    #[test]
    fn a_frame_survives_the_round_trip(
        key in any_key(),
        body in any_body(),
        payload in byte_strings(1_500),
    ) {
        let frame = match body {
            FrameHeader::Forward(forward) => Frame::with_payload(forward, &payload),
            body => Frame::new(body),
        };
        let mut datagram = Vec::new();
        prop_assert_eq!(frame.seal(&key, &mut datagram), Ok(()));
        prop_assert_eq!(Frame::open(&key, &datagram), Ok(frame));
    }

    #[test]
    fn a_flipped_bit_of_the_header_is_rejected(
        key in any_key(),
        body in any_body(),
        payload in byte_strings(64),
        offset in any::<prop::sample::Index>(),
        bit in 0..8u8,
    ) {
        let frame = Frame { header: body, payload: &payload };
        let mut datagram = Vec::new();
        prop_assert_eq!(frame.seal(&key, &mut datagram), Ok(()));
        let offset = offset.index(header_length(&datagram));
        datagram[offset] ^= 1 << bit;
        prop_assert!(Frame::open(&key, &datagram).is_err());
    }

    #[test]
    fn a_truncated_header_is_rejected(
        key in any_key(),
        body in any_body(),
        offset in any::<prop::sample::Index>(),
    ) {
        let mut datagram = Vec::new();
        prop_assert_eq!(Frame::new(body).seal(&key, &mut datagram), Ok(()));
        let truncated_length = offset.index(header_length(&datagram));
        prop_assert_eq!(Frame::open(&key, &datagram[..truncated_length]), Err(Error::Truncated));
    }

    #[test]
    fn another_key_is_rejected(key in any_key(), other in any_key(), body in any_body()) {
        prop_assume!(key != other);
        let mut datagram = Vec::new();
        prop_assert_eq!(Frame::new(body).seal(&key, &mut datagram), Ok(()));
        prop_assert_eq!(Frame::open(&other, &datagram), Err(Error::Unauthenticated));
    }

    #[test]
    fn a_fabric_packet_survives_the_round_trip(
        caller in any::<SocketAddr>(),
        service in any::<SocketAddr>(),
        payload in byte_strings(1_500),
    ) {
        let ends = fabric::Endpoints {
            caller: without_flow_label(caller),
            service: without_flow_label(service),
        };
        let packet = fabric::Packet::new(ends, &payload);
        let mut datagram = Vec::new();
        prop_assert_eq!(packet.encode(&mut datagram), Ok(()));
        prop_assert_eq!(fabric::Packet::decode(&datagram), Ok(packet));
    }

    #[test]
    fn a_connection_id_survives_the_round_trip_and_no_flipped_bit(
        key in any_key(),
        token in any_token(),
        offset in 0..connection_id::LENGTH,
        bit in 0..8u8,
    ) {
        let mut id = connection_id::encode(&key, token);
        prop_assert_eq!(connection_id::decode(&key, &id), Some(token));
        id[offset] ^= 1 << bit;
        prop_assert_eq!(connection_id::decode(&key, &id), None);
    }

    #[test]
    fn a_key_survives_the_round_trip(bytes in any::<[u8; 32]>()) {
        let text: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        prop_assert_eq!(text.parse(), Ok(SymmetricKey::new(bytes)));
        prop_assert!(text[1..].parse::<SymmetricKey>().is_err());
        let signed_text = format!("+{}", &text[1..]);
        prop_assert!(signed_text.parse::<SymmetricKey>().is_err());
    }
}

#[gtest]
fn the_longest_trail_fits() {
    let address = SocketAddr::from(([0xffff; 8], u16::MAX));
    let forward = ForwardHeader {
        flow: FlowKey(u128::MAX),
        caller: address,
        service: address,
        kind: Kind::Continuing,
        token: Some(Token {
            owner: Tag(u64::MAX),
            nonce: u32::MAX,
        }),
        visited: vec![Tag(u64::MAX); MAX_VISITED_TARGETS],
        revision: Revision(u64::MAX),
        balancer: address,
        wants_hint: true,
    };
    let mut datagram = Vec::new();
    let sealed = Frame::with_payload(forward, &[]).seal(&SymmetricKey::new([1; 32]), &mut datagram);
    expect_that!(sealed, ok(anything()));
}

#[gtest]
fn another_version_is_rejected_with_its_number() {
    let key = SymmetricKey::new([1; 32]);
    let mut datagram = Vec::new();
    let sealed = Frame::new(FrameHeader::Probe(Probe { nonce: 1 })).seal(&key, &mut datagram);
    assert_that!(sealed, ok(anything()));
    datagram[0] = 9;
    expect_that!(
        Frame::open(&key, &datagram),
        err(eq(&Error::UnknownVersion(9)))
    );
}
