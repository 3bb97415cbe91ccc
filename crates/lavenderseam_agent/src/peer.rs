//! The socket for sealed frames: packets from balancers and other agents, and probes.

use std::net::SocketAddr;
use std::sync::Arc;

use lavenderseam_control::{Gate, Views};
use lavenderseam_core::flow::owner::{Action, Arrival};
use lavenderseam_core::flow::{Hint, Packet};
use lavenderseam_core::id::{Incarnation, Tag};
use lavenderseam_quic::Endpoints;
use lavenderseam_wire::{Body, Echo, Forward, Frame, Key, Probe};
use tokio::net::UdpSocket;

use crate::server::{self, Server, Stage};

/// Longest datagram, in bytes.
const DATAGRAM_LIMIT: usize = 65_536;

/// The socket for sealed frames.
pub(crate) struct Peer {
    pub(crate) socket: UdpSocket,
    pub(crate) key: Key,
    pub(crate) target: Tag,
    pub(crate) incarnation: Incarnation,
    pub(crate) views: Arc<Views>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) endpoints: Arc<Endpoints>,
    pub(crate) server: Arc<Server>,
}

impl Peer {
    /// Takes frames in until dropped.
    pub(crate) async fn run(self) {
        let mut buffer = vec![0; DATAGRAM_LIMIT];
        let mut out = Vec::new();
        loop {
            let Ok((length, source)) = self.socket.recv_from(&mut buffer).await else {
                // An error concerns an earlier datagram that was sent; if it lasts, other tasks
                // run all the same.
                tokio::task::yield_now().await;
                continue;
            };
            match Frame::open(&self.key, &buffer[..length]) {
                Ok(frame) => self.take(frame, source, &mut out),
                Err(_) => self.server.metrics.count("frames.rejected", 1),
            }
        }
    }

    fn take(&self, frame: Frame<'_>, source: SocketAddr, out: &mut Vec<u8>) {
        match frame.body {
            Body::Forward(forward) if self.gate.is_open() => {
                self.forward(&forward, frame.payload, out);
            }
            Body::Forward(_) => self.server.metrics.count("packets.gate_closed", 1),
            Body::Probe(probe) => self.echo(&probe, source, out),
            Body::Yield(flow) => self.server.flows.yielded(flow),
            Body::Hint(_) | Body::Echo(_) => {}
        }
    }

    fn forward(&self, forward: &Forward, payload: &[u8], out: &mut Vec<u8>) {
        let view = self.views.present();
        let arrival = Arrival {
            packet: Packet {
                flow: forward.flow,
                service: forward.service,
                kind: forward.kind,
                token: forward.token,
            },
            trail: &forward.trail,
            revision: forward.revision,
        };
        let decision = self.server.flows.arrival(&arrival, &view, self.draining());
        if let Some(hint) = decision.hint.filter(|_| forward.asks) {
            self.hint(hint, forward.balancer, out);
        }
        match decision.action {
            Action::Deliver { .. } | Action::Reset => self.deliver(forward, payload),
            Action::Refuse => self.refuse(forward, payload),
            Action::Pass {
                peer,
                trail,
                revision,
                ..
            } => {
                let passed = Forward {
                    trail,
                    revision,
                    ..forward.clone()
                };
                self.send(&Frame::with_payload(passed, payload), peer, out);
            }
            Action::Drop(reason) => self.server.metrics.count(reason.name(), 1),
        }
    }

    /// Takes an opener that no target admits, so that its requests are told when to come back, or
    /// has the transport refuse it if not even its connection can be borne.
    fn refuse(&self, forward: &Forward, payload: &[u8]) {
        let flows = &self.server.flows;
        if !flows.admits(self.draining(), usize::MAX) {
            flows.refuse(forward.caller, forward.service);
        }
        self.deliver(forward, payload);
    }

    /// Hands a packet to the transport, which resets connections that it doesn't know.
    fn deliver(&self, forward: &Forward, payload: &[u8]) {
        let service = forward.service;
        if !self.endpoints.is_open(service) && !self.open(service) {
            return;
        }
        if !self.endpoints.deliver(service, forward.caller, payload) {
            self.server.metrics.count("packets.overrun", 1);
        }
    }

    fn open(&self, service: SocketAddr) -> bool {
        match self.endpoints.open(service) {
            Ok(endpoint) => {
                tokio::spawn(server::serve(Arc::clone(&self.server), endpoint, service));
                true
            }
            Err(error) => {
                self.server.log.error(format_args!(
                    "endpoint at {service} can't be opened: {error}"
                ));
                false
            }
        }
    }

    fn hint(&self, hint: Hint, balancer: SocketAddr, out: &mut Vec<u8>) {
        self.send(&Frame::new(Body::Hint(hint)), balancer, out);
    }

    fn echo(&self, probe: &Probe, source: SocketAddr, out: &mut Vec<u8>) {
        let echo = Echo {
            nonce: probe.nonce,
            target: self.target,
            incarnation: self.incarnation,
            admits: self.server.flows.admits(self.draining(), 0),
            flows: self.server.flows.held(),
        };
        self.send(&Frame::new(Body::Echo(echo)), source, out);
    }

    fn send(&self, frame: &Frame<'_>, destination: SocketAddr, out: &mut Vec<u8>) {
        if frame.seal(&self.key, out).is_ok() {
            // A frame that can't be sent is lost, as any datagram may be.
            let _ = self.socket.try_send_to(out, destination);
        }
    }

    fn draining(&self) -> bool {
        *self.server.stage.borrow() != Stage::Serving
    }
}
