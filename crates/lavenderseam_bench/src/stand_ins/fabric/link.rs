//! Packet paths of the fabric: callers to balancers, and agents to callers.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;

use lavenderseam_wire::fabric::{Endpoints, Packet};
use parking_lot::Mutex;

use super::FabricState;
use super::delay::DelayLine;
use crate::stand_ins::unix_time_ms;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Forwards callers' packets to balancers.
pub(crate) struct Ingress {
    pub(crate) service: SocketAddr,
    pub(crate) callers: Arc<UdpSocket>,
    pub(crate) balancers: Arc<UdpSocket>,
    pub(crate) state: Arc<Mutex<FabricState>>,
    pub(crate) delay_line: DelayLine,
}

/// Forwards agents' packets to callers.
pub(crate) struct Egress {
    pub(crate) agents: Arc<UdpSocket>,
    pub(crate) services: HashMap<SocketAddr, Arc<UdpSocket>>,
    pub(crate) state: Arc<Mutex<FabricState>>,
    pub(crate) delay_line: DelayLine,
}

impl Ingress {
    pub(crate) fn start(self) {
        thread::spawn(move || {
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                if let Ok((length, caller)) = self.callers.recv_from(&mut buffer) {
                    self.forward(caller, &buffer[..length]);
                }
            }
        });
    }

    fn forward(&self, caller: SocketAddr, payload: &[u8]) {
        let chosen =
            self.state
                .lock()
                .choose_balancer(caller, self.service, payload.len(), unix_time_ms());
        let Some(balancer) = chosen else {
            return;
        };
        let endpoints = Endpoints {
            caller,
            service: self.service,
        };
        let mut datagram = Vec::with_capacity(payload.len() + 64);
        if Packet::new(endpoints, payload)
            .encode(&mut datagram)
            .is_ok()
        {
            self.delay_line.send(&self.balancers, balancer, datagram);
        }
    }
}

impl Egress {
    pub(crate) fn start(self) {
        thread::spawn(move || {
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                if let Ok((length, agent)) = self.agents.recv_from(&mut buffer) {
                    self.forward(agent, &buffer[..length]);
                }
            }
        });
    }

    fn forward(&self, agent: SocketAddr, datagram: &[u8]) {
        let decoded = Packet::decode(datagram).ok();
        let known = decoded.and_then(|packet| {
            let socket = self.services.get(&packet.endpoints.service)?;
            Some((packet, socket))
        });
        let Some((packet, socket)) = known else {
            self.state.lock().count_malformed();
            return;
        };
        let Endpoints { caller, service } = packet.endpoints;
        let length = packet.payload.len();
        let admitted =
            self.state
                .lock()
                .admit_reply(agent.ip(), caller, service, length, unix_time_ms());
        if admitted {
            self.delay_line
                .send(socket, caller, packet.payload.to_vec());
        }
    }
}
