//! The QUIC header reader on arbitrary and on well-formed bytes.

use googletest::prelude::*;
use lavenderseam_balancer::quic::{Error, Header};
use proptest::prelude::*;

fn long(first: u8, version: u32, id: &[u8], rest: &[u8]) -> Vec<u8> {
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
        if let Ok(header) = Header::read(&datagram) {
            prop_assert!(header.id.len() <= 20);
        }
    }

    #[test]
    fn a_long_header_gives_its_id(
        first in 0x80..=0xffu8,
        version in any::<u32>(),
        id in prop::collection::vec(any::<u8>(), 0..=20),
        rest in prop::collection::vec(any::<u8>(), 0..8),
    ) {
        let datagram = long(first, version, &id, &rest);
        prop_assert_eq!(Header::read(&datagram).map(|header| header.id), Ok(&id[..]));
    }

    #[test]
    fn a_cut_header_is_rejected(
        first in any::<u8>(),
        id in prop::collection::vec(any::<u8>(), 16..=20),
        cut in any::<prop::sample::Index>(),
    ) {
        let datagram = long(first, 1, &id, &[]);
        let needed = if first & 0x80 == 0 { 17 } else { datagram.len() };
        let cut = cut.index(needed);
        prop_assert_eq!(Header::read(&datagram[..cut]), Err(Error::Short));
    }

    #[test]
    fn a_short_header_gives_16_bytes(
        first in 0..0x80u8,
        rest in prop::collection::vec(any::<u8>(), 16..64),
    ) {
        let datagram = [&[first], &rest[..]].concat();
        let expected = Header { opens: false, id: &rest[..16] };
        prop_assert_eq!(Header::read(&datagram), Ok(expected));
    }
}

#[gtest]
fn only_initial_and_early_data_packets_open_connections() {
    let opens = |first, version| {
        let datagram = long(first, version, &[7; 16], &[]);
        Header::read(&datagram).map(|header| header.opens)
    };
    expect_that!(opens(0xc0, 1), ok(eq(true)), "Initial");
    expect_that!(opens(0xd0, 1), ok(eq(true)), "0-RTT");
    expect_that!(opens(0xe0, 1), ok(eq(false)), "Handshake");
    expect_that!(opens(0xf0, 1), ok(eq(false)), "Retry");
    expect_that!(opens(0xc0, 0), ok(eq(false)), "version negotiation");
    expect_that!(opens(0xf0, 0xbabababa), ok(eq(true)), "unknown version");
}

#[gtest]
fn a_long_id_is_rejected() {
    let datagram = long(0xc0, 1, &[7; 21], &[]);
    expect_that!(Header::read(&datagram), err(eq(Error::LongId(21))));
}
