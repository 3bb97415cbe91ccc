//! Delays packets by a constant time.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Packets under way in one direction; more are dropped.
const QUEUE_LIMIT: usize = 65_536;

/// A packet under way.
struct Packet {
    due: Instant,
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    content: Vec<u8>,
}

/// One direction with its delay.
#[derive(Clone)]
pub(crate) struct Line {
    delay: Duration,
    queue: SyncSender<Packet>,
}

impl Line {
    pub(crate) fn new(delay: Duration) -> Self {
        let (queue, packets) = sync_channel(QUEUE_LIMIT);
        thread::spawn(move || deliver(&packets));
        Self { delay, queue }
    }

    /// Sends a packet from a socket after the delay.
    pub(crate) fn send(&self, socket: &Arc<UdpSocket>, to: SocketAddr, content: Vec<u8>) {
        let packet = Packet {
            due: Instant::now() + self.delay,
            socket: Arc::clone(socket),
            to,
            content,
        };
        // A full queue drops packets as a congested link does.
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.queue.try_send(packet)
        {}
    }
}

fn deliver(packets: &Receiver<Packet>) {
    for packet in packets {
        let wait = packet.due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            thread::sleep(wait);
        }
        // A receiver that is gone answers with an error, which a network would not report.
        let _ = packet.socket.send_to(&packet.content, packet.to);
    }
}
