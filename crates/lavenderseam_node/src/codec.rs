//! What a packet's bytes mean.

use std::net::SocketAddrV4;

use lavenderseam_passthrough::segment::Segment;

/// A packet as its sender wrote it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Its head, as a caller or a backend server sends it.
    pub segment: Segment,
    /// The mark that it was handed over with, if the backend server bounced it.
    pub bounced: Option<u32>,
}

/// Reads and writes packets of one format.
pub trait Codec: Copy + 'static {
    /// Why bytes are no packet.
    type Error: std::error::Error;

    /// Reads a packet that a caller sent.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no packet.
    fn read_from_caller(&self, bytes: &[u8]) -> Result<Packet, Self::Error>;

    /// Reads a packet that a backend server sent or bounced.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no packet.
    fn read_from_backend(&self, bytes: &[u8]) -> Result<Packet, Self::Error>;

    /// Marks a packet before a backend server gets it; 0 takes every mark off.
    fn mark(&self, bytes: &mut [u8], mark: u32);

    /// Writes a packet that resets the flow of a caller's packet.
    fn reset(&self, segment: &Segment, buffer: &mut Vec<u8>);

    /// Where packets for the caller of a flow are sent.
    fn caller(&self, segment: &Segment) -> SocketAddrV4;
}
