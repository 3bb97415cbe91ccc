//! Parser of the version-independent part of a QUIC header (RFC 8999): form, version and
//! destination connection id.
//!
//! Only the fields that routing needs are parsed. Packets of established flows are recognized by
//! the MAC in their connection id ([`lavenderseam_wire::connection_id`]).

use std::fmt;

use lavenderseam_wire::connection_id;

/// Maximum length of a connection id in the known QUIC versions, in bytes.
const CONNECTION_ID_LIMIT_BYTES: usize = 20;
/// Bit of the first byte that marks a long header.
const LONG_FORM: u8 = 0x80;
/// Bits of a long header's first byte that hold the packet type.
const PACKET_TYPE_BITS: u8 = 0x30;
/// Offset of the length of the destination connection id in a long header.
const ID_LENGTH_OFFSET: usize = 5;

/// The fields of a QUIC header that routing needs; the id is borrowed from the datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutingHeader<'a> {
    /// `true` if the packet may open a connection.
    pub may_open: bool,
    /// Destination connection id.
    pub connection_id: &'a [u8],
}

/// Why a header can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The datagram ends within the header.
    Truncated,
    /// The connection id is longer than 20 bytes; contains its length in bytes.
    IdTooLong(u8),
}

impl<'a> RoutingHeader<'a> {
    /// Parses the header of a datagram's first packet.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the datagram ends within the header or the id is too long.
    pub fn parse(datagram: &'a [u8]) -> Result<Self, Error> {
        let first = datagram.first().ok_or(Error::Truncated)?;
        if first & LONG_FORM == 0 {
            let connection_id = datagram
                .get(1..=connection_id::LENGTH)
                .ok_or(Error::Truncated)?;
            return Ok(Self {
                may_open: false,
                connection_id,
            });
        }
        let length = *datagram.get(ID_LENGTH_OFFSET).ok_or(Error::Truncated)?;
        if usize::from(length) > CONNECTION_ID_LIMIT_BYTES {
            return Err(Error::IdTooLong(length));
        }
        let start = ID_LENGTH_OFFSET + 1;
        let connection_id = datagram
            .get(start..start + usize::from(length))
            .ok_or(Error::Truncated)?;
        let may_open = may_open(*first, &datagram[1..ID_LENGTH_OFFSET]);
        Ok(Self {
            may_open,
            connection_id,
        })
    }
}

/// Returns `true` if a packet with this first byte and version may open a connection. In version 1
/// these are Initial and 0-RTT packets (types 0 and 1), whose destination connection id the caller
/// chooses. The packet types of other versions are unknown, so all of them may open a connection,
/// except for version negotiation packets (version 0).
fn may_open(first: u8, version: &[u8]) -> bool {
    match version {
        [0, 0, 0, 0] => false,
        [0, 0, 0, 1] => (first & PACKET_TYPE_BITS) >> 4 <= 1,
        _ => true,
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated => formatter.write_str("datagram ends within its QUIC header"),
            Self::IdTooLong(length) => {
                write!(
                    formatter,
                    "connection id has {length} bytes, more than {CONNECTION_ID_LIMIT_BYTES}"
                )
            }
        }
    }
}

impl std::error::Error for Error {}
