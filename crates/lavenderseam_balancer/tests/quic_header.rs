//! The QUIC header parser on arbitrary, truncated and well-formed input.

use googletest::prelude::*;
use lavenderseam_balancer::quic_header::{Error, RoutingHeader};
use proptest::prelude::*;

fn long_header(first: u8, version: u32, id: &[u8], rest: &[u8]) -> Vec<u8> {
    let length = u8::try_from(id.len()).unwrap_or(u8::MAX);
    let version = version.to_be_bytes();
    [&[first], &version[..], &[length], id, rest].concat()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: prop::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_never_panic(datagram in prop::collection::vec(any::<u8>(), 0..64)) {
        if let Ok(header) = RoutingHeader::parse(&datagram) {
            prop_assert!(header.connection_id.len() <= 20);
        }
    }

    #[test]
    fn a_long_header_gives_its_id(
        first in 0x80..=0xffu8,
        version in any::<u32>(),
        id in prop::collection::vec(any::<u8>(), 0..=20),
        rest in prop::collection::vec(any::<u8>(), 0..8),
    ) {
        let datagram = long_header(first, version, &id, &rest);
        prop_assert_eq!(
            RoutingHeader::parse(&datagram).map(|header| header.connection_id),
            Ok(&id[..])
        );
    }

    #[test]
    fn a_truncated_header_is_rejected(
        first in any::<u8>(),
        id in prop::collection::vec(any::<u8>(), 16..=20),
        cut in any::<prop::sample::Index>(),
    ) {
        let datagram = long_header(first, 1, &id, &[]);
        let needed = if first & 0x80 == 0 { 17 } else { datagram.len() };
        let truncated_length = cut.index(needed);
        prop_assert_eq!(RoutingHeader::parse(&datagram[..truncated_length]), Err(Error::Truncated));
    }

    #[test]
    fn a_short_header_gives_16_bytes(
        first in 0..0x80u8,
        rest in prop::collection::vec(any::<u8>(), 16..64),
    ) {
        let datagram = [&[first], &rest[..]].concat();
        let expected = RoutingHeader { may_open: false, connection_id: &rest[..16] };
        prop_assert_eq!(RoutingHeader::parse(&datagram), Ok(expected));
    }
}

#[gtest]
fn only_initial_and_early_data_packets_open_connections() {
    let may_open = |first, version| {
        let datagram = long_header(first, version, &[7; 16], &[]);
        RoutingHeader::parse(&datagram).map(|header| header.may_open)
    };
    expect_that!(may_open(0xc0, 1), ok(eq(true)), "Initial");
    expect_that!(may_open(0xd0, 1), ok(eq(true)), "0-RTT");
    expect_that!(may_open(0xe0, 1), ok(eq(false)), "Handshake");
    expect_that!(may_open(0xf0, 1), ok(eq(false)), "Retry");
    expect_that!(may_open(0xc0, 0), ok(eq(false)), "version negotiation");
    expect_that!(may_open(0xf0, 0xbabababa), ok(eq(true)), "unknown version");
}

#[gtest]
fn a_connection_id_over_20_bytes_is_rejected() {
    let datagram = long_header(0xc0, 1, &[7; 21], &[]);
    expect_that!(
        RoutingHeader::parse(&datagram),
        err(eq(Error::IdTooLong(21)))
    );
}
