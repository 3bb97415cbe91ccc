//! Virtual UDP socket of a QUIC endpoint: receives forwarded packets and sends through the fabric.

use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::io::{self, IoSliceMut};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};

use lavenderseam_wire::fabric::Endpoints;
use parking_lot::Mutex;
use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncUdpSocket, UdpPoller};

use crate::FabricSender;

/// Maximum number of packets in an endpoint's receive queue; further packets are dropped.
const QUEUED_PACKETS_LIMIT: usize = 4096;

/// Virtual UDP socket of the endpoint of one service address.
#[derive(Debug)]
pub(crate) struct ServiceSocket {
    service: SocketAddr,
    sender: Arc<FabricSender>,
    receive_queue: Mutex<ReceiveQueue>,
}

/// Forwarded packets that the endpoint hasn't read, and the waker of its receive task.
#[derive(Debug, Default)]
struct ReceiveQueue {
    packets: VecDeque<(SocketAddr, Vec<u8>)>,
    waker: Option<Waker>,
}

/// Resolves when the fabric sender's socket is writable.
type WritableFuture = Pin<Box<dyn Future<Output = io::Result<()>> + Send + Sync>>;

/// Polls the fabric sender's socket until it is writable.
struct Poller {
    sender: Arc<FabricSender>,
    writable: Option<WritableFuture>,
}

impl ServiceSocket {
    pub(crate) fn new(service: SocketAddr, sender: Arc<FabricSender>) -> Self {
        Self {
            service,
            sender,
            receive_queue: Mutex::default(),
        }
    }

    /// Queues a caller's packet; `false` if the queue is full and the packet is dropped.
    pub(crate) fn enqueue(&self, caller: SocketAddr, payload: &[u8]) -> bool {
        let mut receive_queue = self.receive_queue.lock();
        if receive_queue.packets.len() >= QUEUED_PACKETS_LIMIT {
            return false;
        }
        receive_queue.packets.push_back((caller, payload.to_vec()));
        let waker = receive_queue.waker.take();
        drop(receive_queue);
        if let Some(waker) = waker {
            waker.wake();
        }
        true
    }
}

impl AsyncUdpSocket for ServiceSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(Poller {
            sender: Arc::clone(&self.sender),
            writable: None,
        })
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let ends = Endpoints {
            caller: transmit.destination,
            service: self.service,
        };
        self.sender.send(ends, transmit.contents)
    }

    fn poll_recv(
        &self,
        context: &mut Context<'_>,
        buffers: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut receive_queue = self.receive_queue.lock();
        let mut count = 0;
        for (buffer, meta) in buffers.iter_mut().zip(meta) {
            let Some((caller, payload)) = receive_queue.packets.pop_front() else {
                break;
            };
            let length = payload.len().min(buffer.len());
            buffer[..length].copy_from_slice(&payload[..length]);
            *meta = RecvMeta {
                addr: caller,
                len: length,
                stride: length,
                ecn: None,
                dst_ip: None,
            };
            count += 1;
        }
        if count == 0 {
            receive_queue.waker = Some(context.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(Ok(count))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.service)
    }
}

impl UdpPoller for Poller {
    fn poll_writable(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = self.sender.socket();
        let wait_writable =
            || -> WritableFuture { Box::pin(async move { socket.writable().await }) };
        let writable = self.writable.get_or_insert_with(wait_writable);
        let result = ready!(writable.as_mut().poll(context));
        self.writable = None;
        Poll::Ready(result)
    }
}

impl fmt::Debug for Poller {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Poller")
    }
}
