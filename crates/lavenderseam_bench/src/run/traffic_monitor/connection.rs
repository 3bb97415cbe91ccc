//! TCP connections as the kernel reports them through `sock_diag`.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Offset of the remote port in the kernel's `inet_diag_msg`, in bytes.
const REMOTE_PORT_OFFSET: usize = 6;
/// Offset of the remote address in `inet_diag_msg`, in bytes.
const REMOTE_ADDRESS_OFFSET: usize = 24;
/// Offset of the socket's inode in `inet_diag_msg`, in bytes.
const INODE_OFFSET: usize = 68;
/// Size of `inet_diag_msg`, in bytes. The attributes follow it.
const INET_DIAG_MSG_SIZE: usize = 72;
/// Type of the attribute that holds `tcp_info` (`INET_DIAG_INFO`).
const INET_DIAG_INFO: u16 = 2;
/// Offset of `tcpi_bytes_acked` in the kernel's `tcp_info`, in bytes.
const BYTES_ACKED_OFFSET: usize = 120;
/// Offset of `tcpi_bytes_received` in `tcp_info`, in bytes.
const BYTES_RECEIVED_OFFSET: usize = 128;
/// Size of the header of an attribute, in bytes; attributes are aligned to the same size.
const ATTRIBUTE_HEADER_SIZE: usize = 4;

/// A TCP connection over IPv4.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Connection {
    /// Address of the remote end.
    pub(super) remote: SocketAddr,
    /// Inode of the local socket.
    pub(super) inode: u32,
    /// Payload transferred in both directions, in bytes.
    pub(super) payload_bytes: u64,
}

impl Connection {
    /// Parses an `inet_diag_msg` with its attributes; returns `None` if the message is truncated.
    pub(super) fn parse(message: &[u8]) -> Option<Self> {
        let port = u16::from_be_bytes(read_array(message, REMOTE_PORT_OFFSET)?);
        let address: [u8; 4] = read_array(message, REMOTE_ADDRESS_OFFSET)?;
        let inode = u32::from_ne_bytes(read_array(message, INODE_OFFSET)?);
        Some(Self {
            remote: SocketAddr::new(IpAddr::V4(Ipv4Addr::from(address)), port),
            inode,
            payload_bytes: payload_bytes(message.get(INET_DIAG_MSG_SIZE..)?)?,
        })
    }
}

/// Returns the sum of the bytes acknowledged and received from the `tcp_info` attribute.
fn payload_bytes(mut attributes: &[u8]) -> Option<u64> {
    while attributes.len() >= ATTRIBUTE_HEADER_SIZE {
        let length = usize::from(u16::from_ne_bytes(read_array(attributes, 0)?));
        let kind = u16::from_ne_bytes(read_array(attributes, 2)?);
        let content = attributes.get(ATTRIBUTE_HEADER_SIZE..length)?;
        if kind == INET_DIAG_INFO {
            let acked = u64::from_ne_bytes(read_array(content, BYTES_ACKED_OFFSET)?);
            let received = u64::from_ne_bytes(read_array(content, BYTES_RECEIVED_OFFSET)?);
            return Some(acked + received);
        }
        attributes = attributes.get(length.next_multiple_of(ATTRIBUTE_HEADER_SIZE)..)?;
    }
    None
}

/// Returns the `N` bytes at an offset; `None` if the slice is too short.
fn read_array<const N: usize>(bytes: &[u8], offset: usize) -> Option<[u8; N]> {
    bytes.get(offset..offset + N)?.try_into().ok()
}
