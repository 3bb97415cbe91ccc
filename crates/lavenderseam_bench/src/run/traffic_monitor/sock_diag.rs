//! Queries the kernel for all TCP connections through a `sock_diag` netlink socket.

use std::io::{self, Read};
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};

use super::connection::Connection;

/// Netlink protocol of `sock_diag`.
const NETLINK_SOCK_DIAG: i32 = 4;
/// Message type of a request for the sockets of one address family.
const SOCK_DIAG_BY_FAMILY: u16 = 20;
/// Flags of a request for all entries: `NLM_F_REQUEST | NLM_F_DUMP`.
const DUMP_REQUEST_FLAGS: u16 = 0x301;
/// Type of the message that ends a dump.
const NLMSG_DONE: u16 = 3;
/// Type of the message that reports an error, which also ends a dump.
const NLMSG_ERROR: u16 = 2;
/// Size of the header of a netlink message, in bytes.
const NLMSG_HEADER_SIZE: usize = 16;
/// Size of the request with its netlink header, in bytes.
const REQUEST_SIZE: usize = 72;
/// Bit mask of the TCP states to list: `TCP_ESTABLISHED` and `TCP_CLOSE_WAIT`.
const TCP_STATES: u32 = 1 << 1 | 1 << 8;
/// Extension flag that requests `tcp_info` for each connection.
const TCP_INFO_EXTENSION: u8 = 1 << 1;
/// Timeout for each read from the netlink socket.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns all established or half-closed TCP connections over IPv4.
///
/// # Errors
///
/// Returns an error if the netlink socket fails or the kernel doesn't respond before the timeout.
pub(super) fn connections() -> io::Result<Vec<Connection>> {
    let socket = Socket::new(
        Domain::from(libc::AF_NETLINK),
        Type::RAW,
        Some(Protocol::from(NETLINK_SOCK_DIAG)),
    )?;
    socket.set_read_timeout(Some(READ_TIMEOUT))?;
    socket.send(&request())?;
    let mut connections = Vec::new();
    let mut buffer = vec![0; 1 << 16];
    loop {
        let length = (&socket).read(&mut buffer)?;
        if parse_messages(&buffer[..length], &mut connections) {
            return Ok(connections);
        }
    }
}

/// Returns the netlink request for the TCP connections over IPv4.
fn request() -> [u8; REQUEST_SIZE] {
    let mut request = [0; REQUEST_SIZE];
    request[0..4].copy_from_slice(&(REQUEST_SIZE as u32).to_ne_bytes());
    request[4..6].copy_from_slice(&SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    request[6..8].copy_from_slice(&DUMP_REQUEST_FLAGS.to_ne_bytes());
    request[NLMSG_HEADER_SIZE] = libc::AF_INET as u8;
    request[NLMSG_HEADER_SIZE + 1] = libc::IPPROTO_TCP as u8;
    request[NLMSG_HEADER_SIZE + 2] = TCP_INFO_EXTENSION;
    request[NLMSG_HEADER_SIZE + 4..NLMSG_HEADER_SIZE + 8]
        .copy_from_slice(&TCP_STATES.to_ne_bytes());
    request
}

/// Parses the netlink messages of one read and appends their connections; returns `true` if the
/// dump is complete.
fn parse_messages(mut messages: &[u8], connections: &mut Vec<Connection>) -> bool {
    while messages.len() >= NLMSG_HEADER_SIZE {
        let length = [messages[0], messages[1], messages[2], messages[3]];
        let length = u32::from_ne_bytes(length) as usize;
        let kind = u16::from_ne_bytes([messages[4], messages[5]]);
        if kind == NLMSG_DONE
            || kind == NLMSG_ERROR
            || length < NLMSG_HEADER_SIZE
            || length > messages.len()
        {
            return true;
        }
        connections.extend(Connection::parse(&messages[NLMSG_HEADER_SIZE..length]));
        messages = &messages[length.next_multiple_of(4).min(messages.len())..];
    }
    false
}
