//! The socket of an endpoint: fed by forwarded packets, sends through the fabric.

use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::io::{self, IoSliceMut};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};

use lavenderseam_wire::fabric::Ends;
use parking_lot::Mutex;
use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncUdpSocket, UdpPoller};

use crate::Egress;

/// Packets that wait for an endpoint before further ones are dropped.
const QUEUE_LIMIT: usize = 4096;

/// The socket of the endpoint at one service address.
#[derive(Debug)]
pub(crate) struct Socket {
    service: SocketAddr,
    egress: Arc<Egress>,
    inbound: Mutex<Inbound>,
}

#[derive(Debug, Default)]
struct Inbound {
    queue: VecDeque<(SocketAddr, Vec<u8>)>,
    waker: Option<Waker>,
}

type Writable = Pin<Box<dyn Future<Output = io::Result<()>> + Send + Sync>>;

struct Poller {
    egress: Arc<Egress>,
    writable: Option<Writable>,
}

impl Socket {
    pub(crate) fn new(service: SocketAddr, egress: Arc<Egress>) -> Self {
        Self {
            service,
            egress,
            inbound: Mutex::default(),
        }
    }

    /// Delivers a caller's packet; false if the queue is full and the packet is dropped.
    pub(crate) fn deliver(&self, caller: SocketAddr, payload: &[u8]) -> bool {
        let mut inbound = self.inbound.lock();
        if inbound.queue.len() >= QUEUE_LIMIT {
            return false;
        }
        inbound.queue.push_back((caller, payload.to_vec()));
        let waker = inbound.waker.take();
        drop(inbound);
        if let Some(waker) = waker {
            waker.wake();
        }
        true
    }
}

impl AsyncUdpSocket for Socket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(Poller {
            egress: Arc::clone(&self.egress),
            writable: None,
        })
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let ends = Ends {
            caller: transmit.destination,
            service: self.service,
        };
        self.egress.send(ends, transmit.contents)
    }

    fn poll_recv(
        &self,
        context: &mut Context<'_>,
        buffers: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut inbound = self.inbound.lock();
        let mut count = 0;
        for (buffer, meta) in buffers.iter_mut().zip(meta) {
            let Some((caller, payload)) = inbound.queue.pop_front() else {
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
            inbound.waker = Some(context.waker().clone());
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
        let socket = self.egress.socket();
        let wait = || -> Writable { Box::pin(async move { socket.writable().await }) };
        let writable = self.writable.get_or_insert_with(wait);
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
