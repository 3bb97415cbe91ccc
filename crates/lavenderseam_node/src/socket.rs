//! Datagram sockets that are read in batches.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};

use tokio::net::UdpSocket;

/// Datagrams read before other tasks get their turn.
const BATCH: usize = 32;
/// Longest datagram: a packet and the message before it.
pub(crate) const DATAGRAM: usize = 2_048;

/// A datagram socket.
#[derive(Debug)]
pub(crate) struct Socket {
    inner: UdpSocket,
}

impl Socket {
    /// A socket at an address.
    pub(crate) async fn bind(address: SocketAddrV4) -> io::Result<Self> {
        let inner = UdpSocket::bind(address).await?;
        Ok(Self { inner })
    }

    /// A socket that only talks with one peer, and hears when its port is closed.
    pub(crate) async fn connect(own: SocketAddrV4, peer: SocketAddrV4) -> io::Result<Self> {
        let inner = UdpSocket::bind(own).await?;
        inner.connect(peer).await?;
        Ok(Self { inner })
    }

    /// Sends a datagram; one that the socket has no room for is lost, as on the network.
    pub(crate) fn send_to(&self, bytes: &[u8], to: SocketAddrV4) -> io::Result<()> {
        sent(self.inner.try_send_to(bytes, SocketAddr::V4(to)))
    }

    /// Sends a datagram to the peer of a connected socket.
    pub(crate) fn send(&self, bytes: &[u8]) -> io::Result<()> {
        sent(self.inner.try_send(bytes))
    }

    /// Reads datagrams as they come and hands each to `take`, with its sender.
    pub(crate) async fn receive(
        &self,
        mut take: impl FnMut(io::Result<(&mut [u8], SocketAddrV4)>),
    ) {
        let mut buffer = [0; DATAGRAM];
        loop {
            if let Err(error) = self.inner.readable().await {
                take(Err(error));
            }
            for _ in 0..BATCH {
                match self.inner.try_recv_from(&mut buffer) {
                    Ok((length, SocketAddr::V4(from))) => take(Ok((&mut buffer[..length], from))),
                    Ok(_) => {}
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                    Err(error) => take(Err(error)),
                }
            }
            tokio::task::yield_now().await;
        }
    }
}

fn sent(result: io::Result<usize>) -> io::Result<()> {
    result.map(|_| ())
}
