//! UDP sockets of the receive threads.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};

/// How long a thread waits for a datagram before it looks whether to end.
const WAIT: Duration = Duration::from_millis(100);
/// Room for datagrams that arrive while all threads are busy, in bytes.
const BUFFER: usize = 4 << 20;
/// Room for the largest datagram, in bytes.
pub(crate) const DATAGRAM_LIMIT: usize = 65_536;

/// Binds a socket whose receive calls time out.
pub(crate) fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::DGRAM, Some(Protocol::UDP))?;
    // The system may grant less; that is no reason not to start.
    let _ = socket.set_recv_buffer_size(BUFFER);
    let _ = socket.set_send_buffer_size(BUFFER);
    socket.set_read_timeout(Some(WAIT))?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}

/// Receives a datagram; none if nothing came in time.
///
/// On loopback and with ICMP, a send to a closed port shows up as an error of a later receive; it
/// says nothing of this socket.
pub(crate) fn receive(socket: &UdpSocket, buffer: &mut [u8]) -> Option<(usize, SocketAddr)> {
    socket.recv_from(buffer).ok()
}
