//! Receives callers' packets from the fabric and forwards them to agents.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use lavenderseam_core::flow::{self, Kind, Packet, router::Action};
use lavenderseam_core::view::View;
use lavenderseam_telemetry::trace::{Hop, Id, Span};
use lavenderseam_wire::{ForwardHeader, Frame, connection_id, fabric};
use tokio::sync::watch;

use crate::quic_header::RoutingHeader;
use crate::shared_state::SharedState;
use crate::{DatagramEvent, FabricSource, socket};

/// Health check request of the fabric.
const HEALTH_CHECK_REQUEST: &[u8] = b"PING";
/// Prefix of the reply to a health check; a byte follows: 1 if the balancer serves, 0 if not.
const HEALTH_CHECK_REPLY: &[u8; 4] = b"PONG";

/// State of one thread that receives packets from the fabric.
pub(crate) struct FabricReceiver {
    pub(crate) shared: Arc<SharedState>,
    /// Socket that receives from the fabric and replies to its health checks.
    pub(crate) fabric_socket: UdpSocket,
    /// Socket that sends frames to agents.
    pub(crate) peer_socket: UdpSocket,
    /// Accepted source addresses; empty accepts all.
    pub(crate) sources: Arc<[FabricSource]>,
}

/// A packet with its frame header and the peer address of the agent that it is forwarded to.
struct RoutedPacket<'a> {
    forward: ForwardHeader,
    payload: &'a [u8],
    peer: SocketAddr,
}

impl FabricReceiver {
    /// Receives and forwards packets until the app is halted.
    pub(crate) fn run(self) {
        let mut view_receiver = self.shared.current_view.subscribe();
        let mut view = latest_view(&mut view_receiver);
        let mut datagram = vec![0; socket::MAX_DATAGRAM_BYTES];
        let mut frame_buffer = Vec::with_capacity(socket::MAX_DATAGRAM_BYTES);
        while !self.shared.is_halted() {
            let received = socket::receive(&self.fabric_socket, &mut datagram);
            if view_receiver.has_changed().unwrap_or(false) {
                view = latest_view(&mut view_receiver);
            }
            if let Some((length, source)) = received
                && let Err(event) =
                    self.handle_datagram(&datagram[..length], source, &view, &mut frame_buffer)
            {
                self.shared.counters.count(event);
            }
        }
    }

    /// Handles one datagram from the fabric; the error is the event to count.
    fn handle_datagram(
        &self,
        datagram: &[u8],
        source: SocketAddr,
        view: &View,
        frame_buffer: &mut Vec<u8>,
    ) -> Result<(), DatagramEvent> {
        if !self.sources.is_empty() && !self.sources.iter().any(|accepted| accepted.matches(source))
        {
            return Err(DatagramEvent::UnknownSource);
        }
        if datagram == HEALTH_CHECK_REQUEST {
            return self.answer_health_check(source, view);
        }
        if !self.shared.forwarding_gate.is_open() {
            return Err(DatagramEvent::GateClosed);
        }
        let packet = fabric::Packet::decode(datagram).map_err(|_| DatagramEvent::Malformed)?;
        let header = RoutingHeader::parse(packet.payload).map_err(|_| DatagramEvent::Malformed)?;
        let token = connection_id::decode(&self.shared.keys.connection_ids, header.connection_id);
        let kind = match (token, header.may_open) {
            (None, true) => Kind::Opener,
            (None, false) => return Err(DatagramEvent::UnknownConnection),
            (Some(_), _) => Kind::Continuing,
        };
        let _span = (kind == Kind::Opener)
            .then(|| Span::new(Hop::Balancer, "forward", trace_id(header.connection_id)));
        let flow = self.flow_key(&packet.endpoints, kind, header.connection_id);
        let Some(routed) = self.route(packet, flow, kind, token, view) else {
            return Ok(());
        };
        self.send_frame(routed, frame_buffer)
    }

    /// Returns the flow key of a packet. The key of an opening packet includes the connection id,
    /// which distinguishes the connections that a caller opens from the same address.
    fn flow_key(
        &self,
        endpoints: &fabric::Endpoints,
        kind: Kind,
        connection_id: &[u8],
    ) -> flow::Key {
        let key = flow::Key::new(
            self.shared.keys.flow_seed,
            endpoints.caller,
            endpoints.service,
        );
        match kind {
            Kind::Opener => key.with_connection_id(connection_id),
            Kind::Continuing => key,
        }
    }

    /// Selects the agent for a packet; counts the drop and returns `None` if the router drops it.
    fn route<'a>(
        &self,
        packet: fabric::Packet<'a>,
        flow: flow::Key,
        kind: Kind,
        token: Option<flow::Token>,
        view: &View,
    ) -> Option<RoutedPacket<'a>> {
        let shared = &self.shared;
        let flow_packet = Packet {
            flow,
            service: packet.endpoints.service,
            kind,
            token,
        };
        let (peer, requests_hint) = match shared.router.route(&flow_packet, view, shared.now()) {
            Action::Forward {
                peer,
                requests_hint,
                ..
            } => (peer, requests_hint),
            Action::Drop(reason) => {
                shared.counters.count_drop(reason);
                return None;
            }
        };
        let forward = ForwardHeader {
            flow,
            caller: packet.endpoints.caller,
            service: packet.endpoints.service,
            kind,
            token,
            visited: Vec::new(),
            revision: view.revision(),
            balancer: shared.identity.peer_address,
            wants_hint: requests_hint,
        };
        Some(RoutedPacket {
            forward,
            payload: packet.payload,
            peer,
        })
    }

    /// Seals a packet's frame and sends it to the agent.
    fn send_frame(
        &self,
        routed: RoutedPacket<'_>,
        buffer: &mut Vec<u8>,
    ) -> Result<(), DatagramEvent> {
        let frame = Frame::with_payload(routed.forward, routed.payload);
        frame
            .seal(&self.shared.keys.frames, buffer)
            .map_err(|_| DatagramEvent::Malformed)?;
        self.peer_socket
            .send_to(buffer, routed.peer)
            .map_err(|_| DatagramEvent::SendFailed)?;
        self.shared.counters.count(DatagramEvent::Forwarded);
        Ok(())
    }

    /// Replies to a health check of the fabric.
    fn answer_health_check(&self, source: SocketAddr, view: &View) -> Result<(), DatagramEvent> {
        let [p, o, n, g] = *HEALTH_CHECK_REPLY;
        let serving = u8::from(self.shared.is_serving(view));
        self.fabric_socket
            .send_to(&[p, o, n, g, serving], source)
            .map_err(|_| DatagramEvent::SendFailed)?;
        Ok(())
    }
}

fn latest_view(view_receiver: &mut watch::Receiver<Arc<View>>) -> Arc<View> {
    Arc::clone(&view_receiver.borrow_and_update())
}

/// Returns the trace id of a connection: the destination connection id of the caller's first
/// packet, truncated or padded with zeros to 16 bytes.
fn trace_id(connection_id: &[u8]) -> Id {
    let mut bytes = [0; 16];
    let length = connection_id.len().min(bytes.len());
    bytes[..length].copy_from_slice(&connection_id[..length]);
    Id(bytes)
}
