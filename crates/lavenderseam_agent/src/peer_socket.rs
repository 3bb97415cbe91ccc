//! UDP socket for sealed frames: packets forwarded by balancers and other agents, and probes.

use std::net::SocketAddr;
use std::sync::Arc;

use lavenderseam_control::{CurrentView, ForwardingGate};
use lavenderseam_core::flow::owner::{Action, ForwardedPacket};
use lavenderseam_core::flow::{Hint, Packet};
use lavenderseam_core::id::{Incarnation, Tag};
use lavenderseam_quic::ServiceEndpoints;
use lavenderseam_wire::{ForwardHeader, Frame, FrameHeader, Probe, ProbeReply, SymmetricKey};
use tokio::net::UdpSocket;

use crate::server::{self, DrainState, Server};

/// Size of a receive buffer that holds any UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Receives sealed frames from balancers and other agents and handles each.
pub(crate) struct PeerSocket {
    pub(crate) socket: UdpSocket,
    pub(crate) key: SymmetricKey,
    pub(crate) target: Tag,
    pub(crate) incarnation: Incarnation,
    pub(crate) current_view: Arc<CurrentView>,
    pub(crate) forwarding_gate: Arc<ForwardingGate>,
    pub(crate) endpoints: Arc<ServiceEndpoints>,
    pub(crate) server: Arc<Server>,
}

impl PeerSocket {
    /// Receives and handles frames until the future is dropped.
    pub(crate) async fn run(self) {
        let mut receive_buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut send_buffer = Vec::new();
        loop {
            let Ok((length, source)) = self.socket.recv_from(&mut receive_buffer).await else {
                // The error was caused by an earlier send. Yielding lets other tasks run if
                // the error persists.
                tokio::task::yield_now().await;
                continue;
            };
            match Frame::open(&self.key, &receive_buffer[..length]) {
                Ok(frame) => self.handle_frame(frame, source, &mut send_buffer),
                Err(_) => self.server.metrics.count("frames.rejected", 1),
            }
        }
    }

    fn handle_frame(&self, frame: Frame<'_>, source: SocketAddr, send_buffer: &mut Vec<u8>) {
        match frame.header {
            FrameHeader::Forward(forward) if self.forwarding_gate.is_open() => {
                self.handle_forward(&forward, frame.payload, send_buffer);
            }
            FrameHeader::Forward(_) => self.server.metrics.count("packets.gate_closed", 1),
            FrameHeader::Probe(probe) => self.answer_probe(&probe, source, send_buffer),
            FrameHeader::Yield(flow) => self.server.flows.release_unestablished(flow),
            FrameHeader::Hint(_) | FrameHeader::Echo(_) => {}
        }
    }

    /// Decides what happens to a caller's packet: delivers it, forwards it to another agent,
    /// refuses its connection or drops it.
    fn handle_forward(&self, forward: &ForwardHeader, payload: &[u8], send_buffer: &mut Vec<u8>) {
        let view = self.current_view.get();
        let forwarded = ForwardedPacket {
            packet: Packet {
                flow: forward.flow,
                service: forward.service,
                kind: forward.kind,
                token: forward.token,
            },
            visited: &forward.visited,
            revision: forward.revision,
        };
        let decision = self
            .server
            .flows
            .handle_packet(&forwarded, &view, self.is_draining());
        if let Some(hint) = decision.hint.filter(|_| forward.wants_hint) {
            self.send_hint(hint, forward.balancer, send_buffer);
        }
        match decision.action {
            Action::Deliver { .. } | Action::Reset => self.deliver(forward, payload),
            Action::Refuse => self.handle_refusal(forward, payload),
            Action::Forward {
                peer,
                visited,
                revision,
                ..
            } => {
                let header = ForwardHeader {
                    visited,
                    revision,
                    ..forward.clone()
                };
                self.send_frame(&Frame::with_payload(header, payload), peer, send_buffer);
            }
            Action::Drop(reason) => self.server.metrics.count(reason.name(), 1),
        }
    }

    /// Handles an opening packet that no target admits. The connection is still accepted, so that
    /// its requests are refused with a retry delay; if the connection limit is reached as well, the
    /// transport refuses the connection.
    fn handle_refusal(&self, forward: &ForwardHeader, payload: &[u8]) {
        let flows = &self.server.flows;
        if !flows.admits_new_flow(self.is_draining(), usize::MAX) {
            flows.mark_refused(forward.caller, forward.service);
        }
        self.deliver(forward, payload);
    }

    /// Delivers a packet to the QUIC endpoint, which answers unknown connections with a stateless
    /// reset.
    fn deliver(&self, forward: &ForwardHeader, payload: &[u8]) {
        let service = forward.service;
        if !self.endpoints.is_open(service) && !self.open_endpoint(service) {
            return;
        }
        if !self.endpoints.deliver(service, forward.caller, payload) {
            self.server.metrics.count("packets.overrun", 1);
        }
    }

    /// Opens the QUIC endpoint of a service address and accepts its connections; `false` on
    /// failure.
    fn open_endpoint(&self, service: SocketAddr) -> bool {
        match self.endpoints.open(service) {
            Ok(endpoint) => {
                tokio::spawn(server::accept_incoming(
                    Arc::clone(&self.server),
                    endpoint,
                    service,
                ));
                true
            }
            Err(error) => {
                self.server.log.error(format_args!(
                    "packet for {service} is dropped because its QUIC endpoint can't be opened: {error}"
                ));
                false
            }
        }
    }

    /// Sends a balancer a hint about the owner of a flow.
    fn send_hint(&self, hint: Hint, balancer: SocketAddr, send_buffer: &mut Vec<u8>) {
        self.send_frame(&Frame::new(FrameHeader::Hint(hint)), balancer, send_buffer);
    }

    /// Replies to a liveness probe with this agent's run, its flow count and whether it admits
    /// flows.
    fn answer_probe(&self, probe: &Probe, source: SocketAddr, send_buffer: &mut Vec<u8>) {
        let reply = ProbeReply {
            nonce: probe.nonce,
            target: self.target,
            incarnation: self.incarnation,
            admits_flows: self.server.flows.admits_new_flow(self.is_draining(), 0),
            flows: self.server.flows.flow_count(),
        };
        self.send_frame(&Frame::new(FrameHeader::Echo(reply)), source, send_buffer);
    }

    fn send_frame(&self, frame: &Frame<'_>, destination: SocketAddr, send_buffer: &mut Vec<u8>) {
        if frame.seal(&self.key, send_buffer).is_ok() {
            // Senders tolerate packet loss, so a frame that can't be sent is dropped.
            let _ = self.socket.try_send_to(send_buffer, destination);
        }
    }

    /// Returns `true` if the agent drains or its failure domain is out.
    fn is_draining(&self) -> bool {
        *self.server.drain_state.borrow() != DrainState::Serving
    }
}
