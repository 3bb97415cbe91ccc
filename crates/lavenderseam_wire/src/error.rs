//! Errors when encoding and decoding datagrams.

use std::fmt;

/// Why a datagram can't be encoded or was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The datagram is shorter than its length fields state.
    Truncated,
    /// The frame has a wire version that this program doesn't know.
    UnknownVersion(u8),
    /// The authentication tag doesn't match, so the sender doesn't hold the shared key.
    Unauthenticated,
    /// The header is too long to encode or can't be decoded.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated => formatter.write_str("datagram is truncated"),
            Self::UnknownVersion(version) => write!(formatter, "unknown wire version {version}"),
            Self::Unauthenticated => formatter.write_str("authentication tag doesn't match"),
            Self::Malformed => formatter.write_str("datagram header is too long or malformed"),
        }
    }
}

impl std::error::Error for Error {}
