//! Packets exchanged with the fabric.
//!
//! The fabric preserves the caller's address: it sends a balancer the caller's packet with the
//! addresses of caller and service, and accepts the agents' packets in the same format. Layout:
//! header length (1 byte), header (postcard), payload.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Error;

/// Maximum length of the encoded header, in bytes.
const HEADER_LIMIT_BYTES: usize = 64;

/// Addresses of the two endpoints of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoints {
    /// The caller's address.
    pub caller: SocketAddr,
    /// The service's address.
    pub service: SocketAddr,
}

/// A packet with the addresses of its endpoints; the payload is borrowed from the datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet<'a> {
    /// Addresses of caller and service.
    pub endpoints: Endpoints,
    /// The caller's or agent's UDP payload.
    pub payload: &'a [u8],
}

impl<'a> Packet<'a> {
    /// Creates a packet between a caller and a service.
    #[must_use]
    pub const fn new(endpoints: Endpoints, payload: &'a [u8]) -> Self {
        Self { endpoints, payload }
    }

    /// Encodes the packet into `buffer`, replacing its content.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the header exceeds 64 bytes.
    pub fn encode(&self, buffer: &mut Vec<u8>) -> Result<(), Error> {
        let mut header = [0; HEADER_LIMIT_BYTES];
        let header =
            postcard::to_slice(&self.endpoints, &mut header).map_err(|_| Error::Malformed)?;
        let length = u8::try_from(header.len()).map_err(|_| Error::Malformed)?;
        buffer.clear();
        buffer.push(length);
        buffer.extend_from_slice(header);
        buffer.extend_from_slice(self.payload);
        Ok(())
    }

    /// Decodes a datagram from the fabric.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Truncated`] if the datagram ends within the header, [`Error::Malformed`] if
    /// the header can't be decoded.
    pub fn decode(datagram: &'a [u8]) -> Result<Self, Error> {
        let (length, rest) = datagram.split_first().ok_or(Error::Truncated)?;
        let (header, payload) = rest
            .split_at_checked(usize::from(*length))
            .ok_or(Error::Truncated)?;
        let endpoints = postcard::from_bytes(header).map_err(|_| Error::Malformed)?;
        Ok(Self { endpoints, payload })
    }
}
