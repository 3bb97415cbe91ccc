//! Sends packets from the agent to callers through the fabric.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use lavenderseam_wire::fabric::{Endpoints, Packet};
use parking_lot::Mutex;
use tokio::net::UdpSocket;

/// UDP sender of the packets that the fabric forwards to callers.
#[derive(Debug)]
pub struct FabricSender {
    socket: Arc<UdpSocket>,
    fabric: SocketAddr,
    buffer: Mutex<Vec<u8>>,
}

impl FabricSender {
    /// Creates a sender to the fabric's address from an ephemeral port of the agent's address.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if no socket can be bound to the agent's address.
    pub fn new(fabric: SocketAddr, agent_address: IpAddr) -> io::Result<Self> {
        let local_address = SocketAddr::new(agent_address, 0);
        let socket = std::net::UdpSocket::bind(local_address)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket: Arc::new(UdpSocket::from_std(socket)?),
            fabric,
            buffer: Mutex::default(),
        })
    }

    /// Sends a payload to a caller, with a service address as the source.
    pub(crate) fn send(&self, ends: Endpoints, payload: &[u8]) -> io::Result<()> {
        let mut buffer = self.buffer.lock();
        let packet = Packet::new(ends, payload);
        packet.encode(&mut buffer).map_err(io::Error::other)?;
        match self.socket.try_send_to(&buffer, self.fabric) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(error),
            // QUIC treats any other failure as packet loss and retransmits.
            Ok(_) | Err(_) => Ok(()),
        }
    }

    /// Returns the socket, which callers wait on until it is writable.
    pub(crate) fn socket(&self) -> Arc<UdpSocket> {
        Arc::clone(&self.socket)
    }
}
