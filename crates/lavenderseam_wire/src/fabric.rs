//! Packets to and from the fabric.
//!
//! The fabric keeps the caller's address: it hands a balancer the caller's packet with both
//! addresses, and takes answers from agents in the same form. Layout: header length (1 byte),
//! header (postcard), payload.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Error;

/// Longest header, in bytes.
const HEADER_LIMIT: usize = 64;

/// The two ends of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ends {
    /// The caller's address.
    pub caller: SocketAddr,
    /// The service's address.
    pub service: SocketAddr,
}

/// A packet with its ends, borrowed from the datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet<'a> {
    /// The two ends.
    pub ends: Ends,
    /// The packet's content.
    pub payload: &'a [u8],
}

impl<'a> Packet<'a> {
    /// A packet between two ends.
    #[must_use]
    pub const fn new(ends: Ends, payload: &'a [u8]) -> Self {
        Self { ends, payload }
    }

    /// Encodes the packet into `buffer`, replacing its content.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the header exceeds 64 bytes.
    pub fn encode(&self, buffer: &mut Vec<u8>) -> Result<(), Error> {
        let mut header = [0; HEADER_LIMIT];
        let header = postcard::to_slice(&self.ends, &mut header).map_err(|_| Error::Malformed)?;
        let length = u8::try_from(header.len()).map_err(|_| Error::Malformed)?;
        buffer.clear();
        buffer.push(length);
        buffer.extend_from_slice(header);
        buffer.extend_from_slice(self.payload);
        Ok(())
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Short`] or [`Error::Malformed`].
    pub fn decode(datagram: &'a [u8]) -> Result<Self, Error> {
        let (length, rest) = datagram.split_first().ok_or(Error::Short)?;
        let (header, payload) = rest
            .split_at_checked(usize::from(*length))
            .ok_or(Error::Short)?;
        let ends = postcard::from_bytes(header).map_err(|_| Error::Malformed)?;
        Ok(Self { ends, payload })
    }
}
