//! Asks the kernel for all TCP connections, over a netlink socket.

use std::io::{self, Read};
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};

use super::connection::Connection;

/// `NETLINK_SOCK_DIAG`.
const PROTOCOL: i32 = 4;
/// `SOCK_DIAG_BY_FAMILY`.
const BY_FAMILY: u16 = 20;
/// `NLM_F_REQUEST | NLM_F_DUMP`.
const DUMP: u16 = 0x301;
/// `NLMSG_DONE` and `NLMSG_ERROR`.
const DONE: u16 = 3;
const ERROR: u16 = 2;
/// Size of a message's header, in bytes.
const HEADER: usize = 16;
/// Size of the request, in bytes.
const REQUEST: usize = 72;
/// Established connections, and those that the other end has closed.
const STATES: u32 = 1 << 1 | 1 << 8;
/// Asks for `tcp_info`.
const WITH_INFO: u8 = 1 << 1;
/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// All TCP connections over IPv4.
pub(super) fn connections() -> io::Result<Vec<Connection>> {
    let socket = Socket::new(
        Domain::from(libc::AF_NETLINK),
        Type::RAW,
        Some(Protocol::from(PROTOCOL)),
    )?;
    socket.set_read_timeout(Some(TIMEOUT))?;
    socket.send(&request())?;
    let mut connections = Vec::new();
    let mut buffer = vec![0; 1 << 16];
    loop {
        let length = (&socket).read(&mut buffer)?;
        if take(&buffer[..length], &mut connections) {
            return Ok(connections);
        }
    }
}

fn request() -> [u8; REQUEST] {
    let mut request = [0; REQUEST];
    request[0..4].copy_from_slice(&(REQUEST as u32).to_ne_bytes());
    request[4..6].copy_from_slice(&BY_FAMILY.to_ne_bytes());
    request[6..8].copy_from_slice(&DUMP.to_ne_bytes());
    request[HEADER] = libc::AF_INET as u8;
    request[HEADER + 1] = libc::IPPROTO_TCP as u8;
    request[HEADER + 2] = WITH_INFO;
    request[HEADER + 4..HEADER + 8].copy_from_slice(&STATES.to_ne_bytes());
    request
}

/// Takes the messages of one answer in; whether it was the last.
fn take(mut messages: &[u8], connections: &mut Vec<Connection>) -> bool {
    while messages.len() >= HEADER {
        let length = [messages[0], messages[1], messages[2], messages[3]];
        let length = u32::from_ne_bytes(length) as usize;
        let kind = u16::from_ne_bytes([messages[4], messages[5]]);
        if kind == DONE || kind == ERROR || length < HEADER || length > messages.len() {
            return true;
        }
        connections.extend(Connection::read(&messages[HEADER..length]));
        messages = &messages[length.next_multiple_of(4).min(messages.len())..];
    }
    false
}
