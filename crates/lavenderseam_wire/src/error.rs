//! Why a datagram was rejected.

use std::fmt;

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// Shorter than its header says.
    Short,
    /// Of a wire version that this program doesn't know.
    Version(u8),
    /// The tag doesn't match: the sender doesn't hold the key.
    Tag,
    /// The header can't be decoded.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Short => formatter.write_str("datagram is cut short"),
            Self::Version(version) => write!(formatter, "wire version {version} is not known"),
            Self::Tag => formatter.write_str("datagram is not authenticated"),
            Self::Malformed => formatter.write_str("datagram header is malformed"),
        }
    }
}

impl std::error::Error for Error {}
