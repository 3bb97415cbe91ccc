//! Packets from the agent to the callers, through the fabric.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use lavenderseam_wire::fabric::{Ends, Packet};
use parking_lot::Mutex;
use tokio::net::UdpSocket;

/// Sends callers' packets to the fabric.
#[derive(Debug)]
pub struct Egress {
    socket: Arc<UdpSocket>,
    fabric: SocketAddr,
    buffer: Mutex<Vec<u8>>,
}

impl Egress {
    /// Sends to the fabric at `fabric` from an ephemeral port of the agent's own address.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be bound there.
    pub fn new(fabric: SocketAddr, own: IpAddr) -> io::Result<Self> {
        let local = SocketAddr::new(own, 0);
        let socket = std::net::UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket: Arc::new(UdpSocket::from_std(socket)?),
            fabric,
            buffer: Mutex::default(),
        })
    }

    /// Sends a payload to a caller, from a service's address.
    pub(crate) fn send(&self, ends: Ends, payload: &[u8]) -> io::Result<()> {
        let mut buffer = self.buffer.lock();
        let packet = Packet::new(ends, payload);
        packet.encode(&mut buffer).map_err(io::Error::other)?;
        match self.socket.try_send_to(&buffer, self.fabric) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(error),
            // Any other failure is a lost datagram to the transport, which sends it again.
            Ok(_) | Err(_) => Ok(()),
        }
    }

    /// The socket, for waiting until it is writable.
    pub(crate) fn socket(&self) -> Arc<UdpSocket> {
        Arc::clone(&self.socket)
    }
}
