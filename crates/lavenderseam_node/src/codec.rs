//! Trait for packet formats.

use std::net::SocketAddrV4;

use lavenderseam_passthrough::segment::Segment;

/// Decoded header of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodedPacket {
    /// Header fields as the caller or backend server wrote them.
    pub segment: Segment,
    /// Mark that the agent wrote into the packet, if the backend server bounced it (sent it back).
    pub bounced_mark: Option<u32>,
}

/// Decodes and encodes packets of one format.
pub trait PacketCodec: Copy + 'static {
    /// Error for bytes that are not a valid packet.
    type Error: std::error::Error;

    /// Decodes a packet that a caller sent.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid packet.
    fn decode_from_caller(&self, bytes: &[u8]) -> Result<DecodedPacket, Self::Error>;

    /// Decodes a packet that a backend server sent, or bounced back to the agent.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid packet.
    fn decode_from_backend(&self, bytes: &[u8]) -> Result<DecodedPacket, Self::Error>;

    /// Writes the agent's mark into a packet for the backend server; 0 clears the mark.
    ///
    /// A bounced packet carries the mark back to the agent.
    fn write_mark(&self, bytes: &mut [u8], mark: u32);

    /// Replaces `buffer` with a packet that resets the flow of a caller's packet.
    fn encode_reset(&self, segment: &Segment, buffer: &mut Vec<u8>);

    /// Returns the address to which packets for the caller of a flow are sent.
    fn caller_address(&self, segment: &Segment) -> SocketAddrV4;
}
