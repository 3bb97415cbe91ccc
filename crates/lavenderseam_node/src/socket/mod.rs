//! UDP sockets that receive datagrams in batches.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::io;
use std::mem::size_of;
use std::net::{SocketAddr, SocketAddrV4};
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

use tokio::io::Interest;
use tokio::net::UdpSocket;

/// Maximum number of datagrams that one `recvmmsg` call receives, after which other tasks may run.
const BATCH_SIZE: usize = 16;
/// Maximum size of a datagram: a message followed by a packet.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 2_048;

/// What a receiver waits for: datagrams, and errors of a connected socket, which don't make it readable.
const RECEIVE_INTEREST: Interest = Interest::READABLE.add(Interest::ERROR);

/// Non-blocking UDP socket.
#[derive(Debug)]
pub(crate) struct DatagramSocket {
    inner: UdpSocket,
    /// Since when every receive has filled a whole batch; `None` if the last one emptied the queue.
    backlog_since: Cell<Option<Instant>>,
}

/// Buffers for the datagrams that one `recvmmsg` call receives.
struct ReceiveBatch {
    buffers: Box<[[u8; MAX_DATAGRAM_BYTES]; BATCH_SIZE]>,
    /// Address of the sender of each datagram.
    senders: [libc::sockaddr_in; BATCH_SIZE],
    /// Length of each datagram in bytes.
    lengths: [usize; BATCH_SIZE],
}

impl DatagramSocket {
    /// Binds a socket to an address.
    pub(crate) async fn bind(address: SocketAddrV4) -> io::Result<Self> {
        let inner = UdpSocket::bind(address).await?;
        // Until the runtime has seen that the socket is writable, it fails each attempt to send.
        inner.writable().await?;
        Ok(Self::new(inner))
    }

    /// Binds a socket and connects it to one peer.
    ///
    /// A connected socket reports `ConnectionRefused` when a datagram reaches a closed port of its peer: to
    /// the receiver at once, or to the next `send`, which then sends nothing.
    pub(crate) async fn connect(local: SocketAddrV4, peer: SocketAddrV4) -> io::Result<Self> {
        let inner = UdpSocket::bind(local).await?;
        inner.connect(peer).await?;
        inner.writable().await?;
        Ok(Self::new(inner))
    }

    const fn new(inner: UdpSocket) -> Self {
        Self {
            inner,
            backlog_since: Cell::new(None),
        }
    }

    /// Returns the time for which the receive queue has not been empty.
    ///
    /// A datagram received now may have waited this long.
    pub(crate) fn backlog_age(&self) -> Duration {
        let backlog_since = self.backlog_since.get();
        backlog_since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Sends a datagram without blocking; if the send buffer is full, fails and loses it.
    pub(crate) fn send_to(&self, bytes: &[u8], to: SocketAddrV4) -> io::Result<()> {
        discard_length(self.inner.try_send_to(bytes, SocketAddr::V4(to)))
    }

    /// Sends a datagram without blocking to the peer of a connected socket.
    pub(crate) fn send(&self, bytes: &[u8]) -> io::Result<()> {
        discard_length(self.inner.try_send(bytes))
    }

    /// Receives datagrams forever and passes each to `handle`, with its sender; errors as well.
    pub(crate) async fn receive(
        &self,
        mut handle: impl FnMut(io::Result<(&mut [u8], SocketAddrV4)>),
    ) {
        let mut batch = ReceiveBatch::new();
        loop {
            if let Err(error) = self.inner.ready(RECEIVE_INTEREST).await {
                handle(Err(error));
            }
            match self.try_receive(&mut batch) {
                Ok(count) => {
                    for index in 0..count {
                        handle(Ok(batch.datagram(index)));
                    }
                    if count < BATCH_SIZE {
                        self.mark_drained();
                        continue;
                    }
                    let backlog_since = self.backlog_since.get();
                    self.backlog_since
                        .set(backlog_since.or_else(|| Some(Instant::now())));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.backlog_since.set(None);
                    continue;
                }
                Err(error) => handle(Err(error)),
            }
            tokio::task::yield_now().await;
        }
    }

    /// Receives a batch of datagrams, or the error of the socket.
    fn try_receive(&self, batch: &mut ReceiveBatch) -> io::Result<usize> {
        // `try_io` recognises only one kind of readiness at a time.
        let mut receive = |interest| self.inner.try_io(interest, || batch.receive(&self.inner));
        match receive(Interest::READABLE) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => receive(Interest::ERROR),
            received => received,
        }
    }

    /// Marks the receive queue as empty.
    ///
    /// Clears tokio's readiness flag, which saves a `recvmmsg` call that would only return
    /// `WouldBlock`.
    fn mark_drained(&self) {
        self.backlog_since.set(None);
        let empty = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
        // The closure returns `WouldBlock` on purpose, on which tokio clears the flag.
        let _ = self.inner.try_io(Interest::READABLE, empty);
    }
}

impl ReceiveBatch {
    fn new() -> Self {
        let empty_address = libc::sockaddr_in {
            sin_family: 0,
            sin_port: 0,
            sin_addr: libc::in_addr { s_addr: 0 },
            sin_zero: [0; 8],
        };
        Self {
            buffers: Box::new([[0; MAX_DATAGRAM_BYTES]; BATCH_SIZE]),
            senders: [empty_address; BATCH_SIZE],
            lengths: [0; BATCH_SIZE],
        }
    }

    /// Receives up to `BATCH_SIZE` datagrams without blocking; returns their number.
    fn receive(&mut self, socket: &UdpSocket) -> io::Result<usize> {
        let mut io_vectors = self.buffers.each_mut().map(|buffer| libc::iovec {
            iov_base: buffer.as_mut_ptr().cast(),
            iov_len: buffer.len(),
        });
        // SAFETY: all-zero bytes are a valid `mmsghdr`.
        let mut headers: [libc::mmsghdr; BATCH_SIZE] = unsafe { std::mem::zeroed() };
        for ((header, io_vector), sender) in headers
            .iter_mut()
            .zip(&mut io_vectors)
            .zip(&mut self.senders)
        {
            header.msg_hdr.msg_name = (&raw mut *sender).cast();
            header.msg_hdr.msg_namelen = size_of::<libc::sockaddr_in>() as libc::socklen_t;
            header.msg_hdr.msg_iov = io_vector;
            header.msg_hdr.msg_iovlen = 1;
        }
        // SAFETY: each header points to an I/O vector and an address that outlive the call, and
        // each I/O vector to a buffer of the length that it names.
        let count = unsafe {
            libc::recvmmsg(
                socket.as_raw_fd(),
                headers.as_mut_ptr(),
                BATCH_SIZE as libc::c_uint,
                libc::MSG_DONTWAIT,
                std::ptr::null_mut(),
            )
        };
        let count = usize::try_from(count).map_err(|_| io::Error::last_os_error())?;
        for (length, header) in self.lengths.iter_mut().zip(&headers) {
            *length = header.msg_len as usize;
        }
        Ok(count)
    }

    /// Returns the datagram at an index of the batch, and its sender.
    fn datagram(&mut self, index: usize) -> (&mut [u8], SocketAddrV4) {
        let sender = self.senders[index];
        let address = u32::from_be(sender.sin_addr.s_addr).into();
        let sender = SocketAddrV4::new(address, u16::from_be(sender.sin_port));
        (&mut self.buffers[index][..self.lengths[index]], sender)
    }
}

/// Discards the number of bytes sent.
fn discard_length(result: io::Result<usize>) -> io::Result<()> {
    result.map(|_| ())
}
