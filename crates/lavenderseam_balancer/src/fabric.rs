//! Receives packets from the fabric and forwards them.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use lavenderseam_core::flow::{self, Kind, Packet, router::Action};
use lavenderseam_core::view::View;
use lavenderseam_telemetry::trace::{Hop, Id, Span};
use lavenderseam_wire::{Forward, Frame, connection, fabric};
use tokio::sync::watch;

use crate::quic::Header;
use crate::shared::Shared;
use crate::{Event, Source, socket};

/// The fabric's health check.
const PING: &[u8] = b"PING";
/// Answers a health check; followed by 1 if the balancer serves, else by 0.
const PONG: &[u8; 4] = b"PONG";

/// One thread that receives from the fabric.
pub(crate) struct Receiver {
    pub(crate) shared: Arc<Shared>,
    /// Where the fabric sends; health checks are answered from here.
    pub(crate) fabric: UdpSocket,
    /// Frames to agents leave from here.
    pub(crate) peer: UdpSocket,
    /// Accepted sources; all if empty.
    pub(crate) sources: Arc<[Source]>,
}

/// Where a packet goes, with what the frame needs beside it.
struct Routed<'a> {
    forward: Forward,
    payload: &'a [u8],
    peer: SocketAddr,
}

impl Receiver {
    /// Receives until the app is halted.
    pub(crate) fn run(self) {
        let mut views = self.shared.views.subscribe();
        let mut view = latest(&mut views);
        let mut datagram = vec![0; socket::DATAGRAM_LIMIT];
        let mut frame = Vec::with_capacity(socket::DATAGRAM_LIMIT);
        while !self.shared.is_halted() {
            let received = socket::receive(&self.fabric, &mut datagram);
            if views.has_changed().unwrap_or(false) {
                view = latest(&mut views);
            }
            if let Some((length, source)) = received
                && let Err(event) = self.datagram(&datagram[..length], source, &view, &mut frame)
            {
                self.shared.counters.count(event);
            }
        }
    }

    fn datagram(
        &self,
        datagram: &[u8],
        source: SocketAddr,
        view: &View,
        frame: &mut Vec<u8>,
    ) -> Result<(), Event> {
        if !self.sources.is_empty() && !self.sources.iter().any(|known| known.matches(source)) {
            return Err(Event::Stranger);
        }
        if datagram == PING {
            return self.answer(source, view);
        }
        if !self.shared.gate.is_open() {
            return Err(Event::GateClosed);
        }
        let packet = fabric::Packet::decode(datagram).map_err(|_| Event::Unreadable)?;
        let header = Header::read(packet.payload).map_err(|_| Event::Unreadable)?;
        let token = connection::decode(&self.shared.keys.connections, header.id);
        let kind = match (token, header.opens) {
            (None, true) => Kind::Opener,
            (None, false) => return Err(Event::UnknownConnection),
            (Some(_), _) => Kind::Continuing,
        };
        let _span =
            (kind == Kind::Opener).then(|| Span::new(Hop::Balancer, "forward", trace(header.id)));
        let flow = self.flow(&packet.ends, kind, header.id);
        let Some(routed) = self.route(packet, flow, kind, token, view) else {
            return Ok(());
        };
        self.send(routed, frame)
    }

    /// The flow of a packet; an opener's connection id tells apart the connections that a caller
    /// opens from one address.
    fn flow(&self, ends: &fabric::Ends, kind: Kind, id: &[u8]) -> flow::Key {
        let key = flow::Key::new(self.shared.keys.seed, ends.caller, ends.service);
        match kind {
            Kind::Opener => key.with_connection(id),
            Kind::Continuing => key,
        }
    }

    fn route<'a>(
        &self,
        packet: fabric::Packet<'a>,
        flow: flow::Key,
        kind: Kind,
        token: Option<flow::Token>,
        view: &View,
    ) -> Option<Routed<'a>> {
        let shared = &self.shared;
        let event = Packet {
            flow,
            service: packet.ends.service,
            kind,
            token,
        };
        let (peer, asks) = match shared.router.packet(&event, view, shared.now()) {
            Action::Forward { peer, asks, .. } => (peer, asks),
            Action::Drop(reason) => {
                shared.counters.count_drop(reason);
                return None;
            }
        };
        let forward = Forward {
            flow,
            caller: packet.ends.caller,
            service: packet.ends.service,
            kind,
            token,
            trail: Vec::new(),
            revision: view.revision(),
            balancer: shared.identity.peer,
            asks,
        };
        Some(Routed {
            forward,
            payload: packet.payload,
            peer,
        })
    }

    fn send(&self, routed: Routed<'_>, buffer: &mut Vec<u8>) -> Result<(), Event> {
        let frame = Frame::with_payload(routed.forward, routed.payload);
        frame
            .seal(&self.shared.keys.frames, buffer)
            .map_err(|_| Event::Unreadable)?;
        self.peer
            .send_to(buffer, routed.peer)
            .map_err(|_| Event::SendFailed)?;
        self.shared.counters.count(Event::Forwarded);
        Ok(())
    }

    fn answer(&self, source: SocketAddr, view: &View) -> Result<(), Event> {
        let [p, o, n, g] = *PONG;
        let serves = u8::from(self.shared.serves(view));
        self.fabric
            .send_to(&[p, o, n, g, serves], source)
            .map_err(|_| Event::SendFailed)?;
        Ok(())
    }
}

fn latest(views: &mut watch::Receiver<Arc<View>>) -> Arc<View> {
    Arc::clone(&views.borrow_and_update())
}

/// The trace id in a caller's first connection id; a shorter one is padded with zeros.
fn trace(id: &[u8]) -> Id {
    let mut bytes = [0; 16];
    let length = id.len().min(bytes.len());
    bytes[..length].copy_from_slice(&id[..length]);
    Id(bytes)
}
