//! Frames between balancers and agents.
//!
//! Layout: wire version (1 byte), header length (2 bytes, big endian), header (postcard), tag
//! (16 bytes), payload. A newer program adds header variants at the end; an older one rejects
//! what it doesn't know with a typed error.

use std::net::SocketAddr;

use lavenderseam_core::catalog::Revision;
use lavenderseam_core::flow::{self, Hint, Kind, Token};
use lavenderseam_core::id::{Incarnation, Tag};
use lavenderseam_core::value;

use crate::key::TAG_LENGTH;
use crate::{Error, Key};

/// Wire version of the frames that this program sends.
const VERSION: u8 = 1;
/// Bytes before the header: the version and the header's length.
const PREFIX: usize = 3;
/// Longest header, in bytes.
const HEADER_LIMIT: usize = 512;

value! {
    /// A caller's packet on its way to the owner of its flow.
    pub struct Forward {
        /// The flow.
        pub flow: flow::Key,
        /// The caller's address.
        pub caller: SocketAddr,
        /// The service address that the caller sent to.
        pub service: SocketAddr,
        /// What the packet means to its flow.
        pub kind: Kind,
        /// The owner's mark, if the packet carries one.
        pub token: Option<Token>,
        /// Targets visited, in order.
        pub trail: Vec<Tag>,
        /// Revision of the sender's view.
        pub revision: Revision,
        /// The balancer that took the packet in; hints go there.
        pub balancer: SocketAddr,
        /// Whether the balancer asks for a hint; it asks for as many as its budget allows.
        pub asks: bool,
    }
}

value! {
    /// Asks a process whether it is alive.
    pub struct Probe {
        /// Repeated by the echo.
        pub nonce: u64,
    }
}

value! {
    /// Answers a probe.
    pub struct Echo {
        /// The probe's nonce.
        pub nonce: u64,
        /// The target that answers.
        pub target: Tag,
        /// Its present run.
        pub incarnation: Incarnation,
        /// Whether it takes new flows.
        pub admits: bool,
        /// Open flows.
        pub flows: u32,
    }
}

value! {
    /// Content of a frame.
    pub enum Body {
        /// A caller's packet; the payload follows.
        Forward(Forward),
        /// The owner of a flow.
        Hint(Hint),
        /// A liveness probe.
        Probe(Probe),
        /// The answer to a probe.
        Echo(Echo),
        /// Tells the losing owner of a flow with two owners to give it up.
        Yield(flow::Key),
    }
}

/// A frame: a body and the caller's payload, borrowed from the datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Content.
    pub body: Body,
    /// The caller's payload; empty but for [`Body::Forward`].
    pub payload: &'a [u8],
}

impl<'a> Frame<'a> {
    /// A frame without a payload.
    #[must_use]
    pub const fn new(body: Body) -> Self {
        Self { body, payload: &[] }
    }

    /// A frame that carries a caller's packet.
    #[must_use]
    pub const fn with_payload(forward: Forward, payload: &'a [u8]) -> Self {
        Self {
            body: Body::Forward(forward),
            payload,
        }
    }

    /// Encodes the frame into `buffer`, replacing its content.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the header exceeds 512 bytes.
    pub fn seal(&self, key: &Key, buffer: &mut Vec<u8>) -> Result<(), Error> {
        let mut header = [0; HEADER_LIMIT];
        let header = postcard::to_slice(&self.body, &mut header).map_err(|_| Error::Malformed)?;
        let length = u16::try_from(header.len()).map_err(|_| Error::Malformed)?;
        buffer.clear();
        buffer.push(VERSION);
        buffer.extend_from_slice(&length.to_be_bytes());
        buffer.extend_from_slice(header);
        let tag = key.tag(buffer);
        buffer.extend_from_slice(&tag);
        buffer.extend_from_slice(self.payload);
        Ok(())
    }

    /// Decodes a datagram after verifying its tag.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the datagram is cut short, of an unknown version, not authenticated
    /// or malformed.
    pub fn open(key: &Key, datagram: &'a [u8]) -> Result<Self, Error> {
        let (prefix, rest) = datagram.split_at_checked(PREFIX).ok_or(Error::Short)?;
        if prefix[0] != VERSION {
            return Err(Error::Version(prefix[0]));
        }
        let length = usize::from(u16::from_be_bytes([prefix[1], prefix[2]]));
        if rest.len() < length + TAG_LENGTH {
            return Err(Error::Short);
        }
        let (signed, rest) = datagram.split_at(PREFIX + length);
        let (tag, payload) = rest.split_at(TAG_LENGTH);
        if !key.verifies(signed, tag) {
            return Err(Error::Tag);
        }
        let body = postcard::from_bytes(&signed[PREFIX..]).map_err(|_| Error::Malformed)?;
        Ok(Self { body, payload })
    }
}
