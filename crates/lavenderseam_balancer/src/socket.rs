//! UDP sockets of the receive threads.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};

/// Time that a thread waits for a datagram before it checks whether to end.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);
/// Requested size of the kernel's buffer for datagrams that arrive while all threads are busy, in
/// bytes.
const KERNEL_BUFFER_BYTES: usize = 4 << 20;
/// Size of a receive buffer that holds any UDP datagram.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Binds a UDP socket with a receive timeout.
pub(crate) fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::DGRAM, Some(Protocol::UDP))?;
    // The kernel may grant smaller buffers than requested, which is no reason to fail.
    let _ = socket.set_recv_buffer_size(KERNEL_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(KERNEL_BUFFER_BYTES);
    socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}

/// Receives a datagram; `None` on a timeout or an error.
///
/// Errors are ignored: after a send to a closed port, an ICMP reply (or the loopback device) makes
/// a later receive fail, although this socket works.
pub(crate) fn receive(socket: &UdpSocket, buffer: &mut [u8]) -> Option<(usize, SocketAddr)> {
    socket.recv_from(buffer).ok()
}
