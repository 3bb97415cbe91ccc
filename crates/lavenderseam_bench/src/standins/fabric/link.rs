//! The ways between callers, balancers and agents.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;

use lavenderseam_wire::fabric::{Ends, Packet};
use parking_lot::Mutex;

use super::State;
use super::delay::Line;
use crate::standins::now_ms;

/// Largest datagram, in bytes.
const DATAGRAM_LIMIT: usize = 65_536;

/// Hands callers' packets to balancers.
pub(crate) struct Ingress {
    pub(crate) service: SocketAddr,
    pub(crate) callers: Arc<UdpSocket>,
    pub(crate) balancers: Arc<UdpSocket>,
    pub(crate) state: Arc<Mutex<State>>,
    pub(crate) line: Line,
}

/// Hands agents' packets to callers.
pub(crate) struct Egress {
    pub(crate) agents: Arc<UdpSocket>,
    pub(crate) services: HashMap<SocketAddr, Arc<UdpSocket>>,
    pub(crate) state: Arc<Mutex<State>>,
    pub(crate) line: Line,
}

impl Ingress {
    pub(crate) fn start(self) {
        thread::spawn(move || {
            let mut buffer = vec![0; DATAGRAM_LIMIT];
            loop {
                if let Ok((length, caller)) = self.callers.recv_from(&mut buffer) {
                    self.pass(caller, &buffer[..length]);
                }
            }
        });
    }

    fn pass(&self, caller: SocketAddr, payload: &[u8]) {
        let routed = self
            .state
            .lock()
            .route(caller, self.service, payload.len(), now_ms());
        let Some(balancer) = routed else {
            return;
        };
        let ends = Ends {
            caller,
            service: self.service,
        };
        let mut content = Vec::with_capacity(payload.len() + 64);
        if Packet::new(ends, payload).encode(&mut content).is_ok() {
            self.line.send(&self.balancers, balancer, content);
        }
    }
}

impl Egress {
    pub(crate) fn start(self) {
        thread::spawn(move || {
            let mut buffer = vec![0; DATAGRAM_LIMIT];
            loop {
                if let Ok((length, agent)) = self.agents.recv_from(&mut buffer) {
                    self.pass(agent, &buffer[..length]);
                }
            }
        });
    }

    fn pass(&self, agent: SocketAddr, datagram: &[u8]) {
        let decoded = Packet::decode(datagram).ok();
        let known = decoded.and_then(|packet| {
            let socket = self.services.get(&packet.ends.service)?;
            Some((packet, socket))
        });
        let Some((packet, socket)) = known else {
            self.state.lock().malformed();
            return;
        };
        let Ends { caller, service } = packet.ends;
        let length = packet.payload.len();
        let passes = self
            .state
            .lock()
            .passes(agent.ip(), caller, service, length, now_ms());
        if passes {
            self.line.send(socket, caller, packet.payload.to_vec());
        }
    }
}
