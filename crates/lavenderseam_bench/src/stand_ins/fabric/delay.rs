//! Fixed delay of packets in one direction.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of packets in flight in one direction; further ones are dropped.
const MAX_PACKETS_IN_FLIGHT: usize = 65_536;

/// A packet in flight.
struct Packet {
    deliver_at: Instant,
    socket: Arc<UdpSocket>,
    destination: SocketAddr,
    payload: Vec<u8>,
}

/// Delays the packets of one direction.
#[derive(Clone)]
pub(crate) struct DelayLine {
    delay: Duration,
    queue: SyncSender<Packet>,
}

impl DelayLine {
    pub(crate) fn new(delay: Duration) -> Self {
        let (queue, packets) = sync_channel(MAX_PACKETS_IN_FLIGHT);
        thread::spawn(move || deliver(&packets));
        Self { delay, queue }
    }

    /// Sends a packet from a socket after the delay.
    pub(crate) fn send(&self, socket: &Arc<UdpSocket>, destination: SocketAddr, payload: Vec<u8>) {
        let packet = Packet {
            deliver_at: Instant::now() + self.delay,
            socket: Arc::clone(socket),
            destination,
            payload,
        };
        // A full queue drops the packet, as a congested link would.
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.queue.try_send(packet)
        {}
    }
}

fn deliver(packets: &Receiver<Packet>) {
    for packet in packets {
        let wait = packet.deliver_at.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            thread::sleep(wait);
        }
        // A closed receiver causes an error on loopback that a network would not report.
        let _ = packet.socket.send_to(&packet.payload, packet.destination);
    }
}
