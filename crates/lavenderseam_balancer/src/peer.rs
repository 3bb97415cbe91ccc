//! Receives frames from agents.

use std::net::UdpSocket;
use std::sync::Arc;

use lavenderseam_core::flow::Hint;
use lavenderseam_wire::{Body, Frame};

use crate::shared::Shared;
use crate::{Event, socket};

/// The thread that receives frames from agents.
pub(crate) struct Receiver {
    pub(crate) shared: Arc<Shared>,
    pub(crate) peer: UdpSocket,
}

impl Receiver {
    /// Receives until the app is halted.
    pub(crate) fn run(self) {
        let mut datagram = vec![0; socket::DATAGRAM_LIMIT];
        while !self.shared.is_halted() {
            let Some((length, _)) = socket::receive(&self.peer, &mut datagram) else {
                continue;
            };
            let event = self.datagram(&datagram[..length]);
            self.shared.counters.count(event);
        }
    }

    fn datagram(&self, datagram: &[u8]) -> Event {
        let Ok(frame) = Frame::open(&self.shared.keys.frames, datagram) else {
            return Event::Stranger;
        };
        match frame.body {
            Body::Hint(hint) => self.hint(&hint),
            _ => Event::Unreadable,
        }
    }

    fn hint(&self, hint: &Hint) -> Event {
        let shared = &self.shared;
        let view = shared.views.present();
        let Some(told) = shared.router.hint(hint, &view, shared.now()) else {
            return Event::Hint;
        };
        let mut buffer = Vec::new();
        let frame = Frame::new(Body::Yield(told.flow));
        if frame.seal(&shared.keys.frames, &mut buffer).is_err() {
            return Event::Unreadable;
        }
        match self.peer.send_to(&buffer, told.peer) {
            Ok(_) => Event::Yield,
            Err(_) => Event::SendFailed,
        }
    }
}
