//! Receives agents' hints about the owners of flows.

use std::net::UdpSocket;
use std::sync::Arc;

use lavenderseam_core::flow::Hint;
use lavenderseam_wire::{Frame, FrameHeader};

use crate::shared_state::SharedState;
use crate::{DatagramEvent, socket};

/// State of the thread that receives frames from agents.
pub(crate) struct PeerReceiver {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) socket: UdpSocket,
}

impl PeerReceiver {
    /// Receives and handles frames until the app is halted.
    pub(crate) fn run(self) {
        let mut datagram = vec![0; socket::MAX_DATAGRAM_BYTES];
        while !self.shared.is_halted() {
            let Some((length, _)) = socket::receive(&self.socket, &mut datagram) else {
                continue;
            };
            let event = self.handle_datagram(&datagram[..length]);
            self.shared.counters.count(event);
        }
    }

    /// Handles one datagram and returns the event to count.
    fn handle_datagram(&self, datagram: &[u8]) -> DatagramEvent {
        let Ok(frame) = Frame::open(&self.shared.keys.frames, datagram) else {
            return DatagramEvent::UnknownSource;
        };
        match frame.header {
            FrameHeader::Hint(hint) => self.handle_hint(&hint),
            _ => DatagramEvent::Malformed,
        }
    }

    /// Applies a hint; if it reveals a second owner of the flow, instructs the losing one to
    /// release it.
    fn handle_hint(&self, hint: &Hint) -> DatagramEvent {
        let shared = &self.shared;
        let view = shared.current_view.get();
        let Some(losing_owner) = shared.router.apply_hint(hint, &view, shared.now()) else {
            return DatagramEvent::HintHandled;
        };
        let mut buffer = Vec::new();
        let frame = Frame::new(FrameHeader::Yield(losing_owner.flow));
        if frame.seal(&shared.keys.frames, &mut buffer).is_err() {
            return DatagramEvent::Malformed;
        }
        match self.socket.send_to(&buffer, losing_owner.peer) {
            Ok(_) => DatagramEvent::YieldSent,
            Err(_) => DatagramEvent::SendFailed,
        }
    }
}
