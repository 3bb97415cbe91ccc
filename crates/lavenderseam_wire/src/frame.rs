//! Authenticated frames between balancers and agents.
//!
//! Layout: wire version (1 byte), header length (2 bytes, big endian), header (postcard),
//! authentication tag (16 bytes), payload. New variants of the header are appended; a program that
//! doesn't know a variant rejects the frame as malformed.

use std::net::SocketAddr;

use lavenderseam_core::catalog::Revision;
use lavenderseam_core::flow::{self, Hint, Kind, Token};
use lavenderseam_core::id::{Incarnation, Tag};
use lavenderseam_core::value;

use crate::key::TAG_LENGTH;
use crate::{Error, SymmetricKey};

/// Wire version of frames; others are rejected.
const WIRE_VERSION: u8 = 1;
/// Length of the version and the header length that precede the header, in bytes.
const PREFIX_LENGTH: usize = 3;
/// Maximum length of the encoded header, in bytes.
const HEADER_LIMIT_BYTES: usize = 512;

value! {
    /// Header of a caller's packet that is forwarded to the owner of its flow.
    pub struct ForwardHeader {
        /// Key of the packet's flow.
        pub flow: flow::Key,
        /// The caller's address.
        pub caller: SocketAddr,
        /// The service address that the caller sent to.
        pub service: SocketAddr,
        /// Whether the packet may open the flow or continues it.
        pub kind: Kind,
        /// Token that names the flow's owner, if the packet's connection id contains one.
        pub token: Option<Token>,
        /// Targets that have forwarded the packet, in order.
        #[serde(rename = "trail")]
        pub visited: Vec<Tag>,
        /// Revision of the sender's view.
        pub revision: Revision,
        /// Address of the balancer that received the packet from the fabric; hints are sent there.
        pub balancer: SocketAddr,
        /// `true` if the balancer requests a hint; the balancer limits the rate of its requests.
        #[serde(rename = "asks")]
        pub wants_hint: bool,
    }
}

value! {
    /// Liveness probe.
    pub struct Probe {
        /// Random number that the reply repeats.
        pub nonce: u64,
    }
}

value! {
    /// Reply to a liveness probe.
    pub struct ProbeReply {
        /// Nonce of the probe.
        pub nonce: u64,
        /// Tag of the replying agent's target.
        pub target: Tag,
        /// Identifies the replying agent's process run.
        pub incarnation: Incarnation,
        /// `true` if the target admits new flows.
        #[serde(rename = "admits")]
        pub admits_flows: bool,
        /// Number of flows that the target owns.
        pub flows: u32,
    }
}

value! {
    /// Header of a [`Frame`].
    pub enum FrameHeader {
        /// A caller's forwarded packet; its payload follows the header.
        Forward(ForwardHeader),
        /// Informs a balancer of the owner of a flow.
        Hint(Hint),
        /// Checks whether a process is alive.
        Probe(Probe),
        /// Replies to a probe.
        Echo(ProbeReply),
        /// Instructs one of two owners of the same flow to release the flow.
        Yield(flow::Key),
    }
}

/// A frame: a header and the caller's payload, which is borrowed from the datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Header of the frame.
    pub header: FrameHeader,
    /// The caller's payload; empty unless the header is [`FrameHeader::Forward`].
    pub payload: &'a [u8],
}

impl<'a> Frame<'a> {
    /// Creates a frame without a payload.
    #[must_use]
    pub const fn new(header: FrameHeader) -> Self {
        Self {
            header,
            payload: &[],
        }
    }

    /// Creates a frame that carries a caller's packet.
    #[must_use]
    pub const fn with_payload(forward: ForwardHeader, payload: &'a [u8]) -> Self {
        Self {
            header: FrameHeader::Forward(forward),
            payload,
        }
    }

    /// Encodes and authenticates the frame into `buffer`, replacing its content.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the header exceeds 512 bytes.
    pub fn seal(&self, key: &SymmetricKey, buffer: &mut Vec<u8>) -> Result<(), Error> {
        let mut header = [0; HEADER_LIMIT_BYTES];
        let header = postcard::to_slice(&self.header, &mut header).map_err(|_| Error::Malformed)?;
        let header_length = u16::try_from(header.len()).map_err(|_| Error::Malformed)?;
        buffer.clear();
        buffer.push(WIRE_VERSION);
        buffer.extend_from_slice(&header_length.to_be_bytes());
        buffer.extend_from_slice(header);
        let tag = key.authentication_tag(buffer);
        buffer.extend_from_slice(&tag);
        buffer.extend_from_slice(self.payload);
        Ok(())
    }

    /// Verifies the authentication tag of a datagram and decodes it.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the datagram is truncated, has an unknown version, fails the
    /// authentication or is malformed.
    pub fn open(key: &SymmetricKey, datagram: &'a [u8]) -> Result<Self, Error> {
        let (prefix, rest) = datagram
            .split_at_checked(PREFIX_LENGTH)
            .ok_or(Error::Truncated)?;
        if prefix[0] != WIRE_VERSION {
            return Err(Error::UnknownVersion(prefix[0]));
        }
        let header_length = usize::from(u16::from_be_bytes([prefix[1], prefix[2]]));
        if rest.len() < header_length + TAG_LENGTH {
            return Err(Error::Truncated);
        }
        let (authenticated, rest) = datagram.split_at(PREFIX_LENGTH + header_length);
        let (tag, payload) = rest.split_at(TAG_LENGTH);
        if !key.verify_tag(authenticated, tag) {
            return Err(Error::Unauthenticated);
        }
        let header =
            postcard::from_bytes(&authenticated[PREFIX_LENGTH..]).map_err(|_| Error::Malformed)?;
        Ok(Self { header, payload })
    }
}
