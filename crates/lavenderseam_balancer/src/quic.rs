//! The part of a QUIC header that any version keeps: form, version, destination connection id.
//!
//! Only what routing needs is read. The check within our connection ids
//! ([`lavenderseam_wire::connection`]) tells packets of established flows from openers.

use std::fmt;

use lavenderseam_wire::connection;

/// Longest connection id of the versions known, in bytes.
const ID_LIMIT: usize = 20;
/// Set in the first byte of a long header.
const LONG_FORM: u8 = 0x80;
/// Bits of the first byte that hold a long packet's type.
const TYPE_BITS: u8 = 0x30;
/// Offset of the destination connection id's length in a long header.
const LENGTH_OFFSET: usize = 5;

/// A header's routing part, borrowed from the datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header<'a> {
    /// Whether a caller may open a connection with this packet.
    pub opens: bool,
    /// Destination connection id.
    pub id: &'a [u8],
}

/// Why a header can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The datagram ends within the header.
    Short,
    /// The connection id is longer than 20 bytes; holds its length in bytes.
    LongId(u8),
}

impl<'a> Header<'a> {
    /// Reads the header of a datagram's first packet.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the datagram ends within the header or the id is too long.
    pub fn read(datagram: &'a [u8]) -> Result<Self, Error> {
        let first = datagram.first().ok_or(Error::Short)?;
        if first & LONG_FORM == 0 {
            let id = datagram.get(1..=connection::LENGTH).ok_or(Error::Short)?;
            return Ok(Self { opens: false, id });
        }
        let length = *datagram.get(LENGTH_OFFSET).ok_or(Error::Short)?;
        if usize::from(length) > ID_LIMIT {
            return Err(Error::LongId(length));
        }
        let start = LENGTH_OFFSET + 1;
        let id = datagram
            .get(start..start + usize::from(length))
            .ok_or(Error::Short)?;
        let opens = may_open(*first, &datagram[1..LENGTH_OFFSET]);
        Ok(Self { opens, id })
    }
}

/// In version 1, Initial and 0-RTT packets (types 0 and 1) are sent to an id of the caller's
/// choice. The types of other versions aren't known, so all of theirs may open a connection.
fn may_open(first: u8, version: &[u8]) -> bool {
    match version {
        [0, 0, 0, 0] => false,
        [0, 0, 0, 1] => (first & TYPE_BITS) >> 4 <= 1,
        _ => true,
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Short => formatter.write_str("datagram ends within its QUIC header"),
            Self::LongId(length) => {
                write!(
                    formatter,
                    "connection id has {length} bytes, more than {ID_LIMIT}"
                )
            }
        }
    }
}

impl std::error::Error for Error {}
