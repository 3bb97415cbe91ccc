//! A TCP connection as the kernel describes it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Offsets in the kernel's `inet_diag_msg`.
const REMOTE_PORT: usize = 6;
const REMOTE_ADDRESS: usize = 24;
const INODE: usize = 68;
/// Size of `inet_diag_msg`, in bytes; attributes follow.
const MESSAGE: usize = 72;
/// Attribute that holds `tcp_info`.
const TCP_INFO: u16 = 2;
/// Offsets in `tcp_info`.
const BYTES_ACKED: usize = 120;
const BYTES_RECEIVED: usize = 128;
/// Size of an attribute's header, in bytes.
const ATTRIBUTE: usize = 4;

/// A TCP connection over IPv4.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Connection {
    pub(super) remote: SocketAddr,
    pub(super) inode: u32,
    /// Content carried both ways, in bytes.
    pub(super) bytes: u64,
}

impl Connection {
    /// Reads an `inet_diag_msg` with its attributes; none if it is cut short.
    pub(super) fn read(message: &[u8]) -> Option<Self> {
        let port = u16::from_be_bytes(array(message, REMOTE_PORT)?);
        let address: [u8; 4] = array(message, REMOTE_ADDRESS)?;
        let inode = u32::from_ne_bytes(array(message, INODE)?);
        Some(Self {
            remote: SocketAddr::new(IpAddr::V4(Ipv4Addr::from(address)), port),
            inode,
            bytes: bytes(message.get(MESSAGE..)?)?,
        })
    }
}

fn bytes(mut attributes: &[u8]) -> Option<u64> {
    while attributes.len() >= ATTRIBUTE {
        let length = usize::from(u16::from_ne_bytes(array(attributes, 0)?));
        let kind = u16::from_ne_bytes(array(attributes, 2)?);
        let content = attributes.get(ATTRIBUTE..length)?;
        if kind == TCP_INFO {
            let acked = u64::from_ne_bytes(array(content, BYTES_ACKED)?);
            let received = u64::from_ne_bytes(array(content, BYTES_RECEIVED)?);
            return Some(acked + received);
        }
        attributes = attributes.get(length.next_multiple_of(ATTRIBUTE)..)?;
    }
    None
}

fn array<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at + N)?.try_into().ok()
}
