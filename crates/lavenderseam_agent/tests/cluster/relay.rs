//! Relay that stands in for the fabric and a balancer: forwards callers' packets to the owning
//! agent and agents' packets to the callers.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use lavenderseam_core::catalog::Revision;
use lavenderseam_core::flow::{self, Kind, Token};
use lavenderseam_core::id::Tag;
use lavenderseam_wire::{ForwardHeader, Frame, SymmetricKey, connection_id, fabric};
use parking_lot::Mutex;
use tokio::net::UdpSocket;

/// Forwards packets between callers and agents.
pub struct FabricRelay {
    pub service: SocketAddr,
    pub egress: SocketAddr,
    key: SymmetricKey,
    service_socket: UdpSocket,
    egress_socket: UdpSocket,
    state: Mutex<State>,
    /// Number of packets whose connection id named no owner.
    pub opener_count: AtomicU64,
}

#[derive(Default)]
struct State {
    agents: HashMap<Tag, SocketAddr>,
    /// Agents by preference for the packets of new flows.
    new_flow_agents: Vec<Tag>,
    /// Callers that have sent a packet.
    callers: HashSet<SocketAddr>,
    /// Callers whose packets are dropped in both directions.
    blocked_callers: HashSet<SocketAddr>,
}

impl FabricRelay {
    pub async fn start(key: SymmetricKey) -> Arc<Self> {
        let service_socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let egress_socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let relay = Arc::new(Self {
            service: service_socket.local_addr().unwrap(),
            egress: egress_socket.local_addr().unwrap(),
            key,
            service_socket,
            egress_socket,
            state: Mutex::default(),
            opener_count: AtomicU64::new(0),
        });
        tokio::spawn(Arc::clone(&relay).forward_to_agents());
        tokio::spawn(Arc::clone(&relay).forward_to_callers());
        relay
    }

    /// Adds an agent or updates its address, and sends it the packets of new flows from now on.
    pub fn add_agent(&self, tag: Tag, peer: SocketAddr) {
        let mut state = self.state.lock();
        state.agents.insert(tag, peer);
        state.new_flow_agents.retain(|other| *other != tag);
        state.new_flow_agents.insert(0, tag);
    }

    /// Sends the packets of new flows to an agent from now on.
    pub fn prefer_for_new_flows(&self, tag: Tag) {
        let mut state = self.state.lock();
        state.new_flow_agents.retain(|other| *other != tag);
        state.new_flow_agents.insert(0, tag);
    }

    /// Drops all packets to and from the callers that have sent a packet so far.
    pub fn block_known_callers(&self) {
        let mut state = self.state.lock();
        state.blocked_callers = state.callers.clone();
    }

    async fn forward_to_agents(self: Arc<Self>) {
        let mut buffer = vec![0; 65_536];
        let mut frame_buffer = Vec::new();
        loop {
            let Ok((length, caller)) = self.service_socket.recv_from(&mut buffer).await else {
                return;
            };
            let payload = &buffer[..length];
            let Some((peer, forward)) = self.route(caller, payload) else {
                continue;
            };
            let frame = Frame::with_payload(forward, payload);
            frame
                .seal(&self.key.derive("frames"), &mut frame_buffer)
                .unwrap();
            let _ = self.egress_socket.send_to(&frame_buffer, peer).await;
        }
    }

    async fn forward_to_callers(self: Arc<Self>) {
        let mut buffer = vec![0; 65_536];
        loop {
            let Ok((length, _)) = self.egress_socket.recv_from(&mut buffer).await else {
                return;
            };
            let Ok(packet) = fabric::Packet::decode(&buffer[..length]) else {
                continue;
            };
            assert_eq!(packet.endpoints.service, self.service);
            if self
                .state
                .lock()
                .blocked_callers
                .contains(&packet.endpoints.caller)
            {
                continue;
            }
            let sent = self
                .service_socket
                .send_to(packet.payload, packet.endpoints.caller);
            let _ = sent.await;
        }
    }

    fn route(&self, caller: SocketAddr, payload: &[u8]) -> Option<(SocketAddr, ForwardHeader)> {
        let mut state = self.state.lock();
        if state.blocked_callers.contains(&caller) {
            return None;
        }
        state.callers.insert(caller);
        let connection_id = destination_connection_id(payload)?;
        let token = connection_id::decode(&self.key.derive("connection ids"), connection_id);
        let owner = token.map(|token| token.owner);
        let owner = owner.or_else(|| state.new_flow_agents.first().copied())?;
        let peer = *state.agents.get(&owner)?;
        if token.is_none() {
            self.opener_count.fetch_add(1, Ordering::Relaxed);
        }
        let flow = flow::Key::new(self.key.flow_hash_seed(), caller, self.service);
        let forward = ForwardHeader {
            flow: if token.is_none() {
                flow.with_connection_id(connection_id)
            } else {
                flow
            },
            caller,
            service: self.service,
            kind: if token.is_none() {
                Kind::Opener
            } else {
                Kind::Continuing
            },
            token,
            visited: Vec::new(),
            revision: Revision(0),
            balancer: self.egress,
            wants_hint: true,
        };
        Some((peer, forward))
    }
}

/// Returns the destination connection id of a datagram's first QUIC packet.
fn destination_connection_id(payload: &[u8]) -> Option<&[u8]> {
    if payload.first()? & 0x80 == 0 {
        return payload.get(1..17);
    }
    let length = usize::from(*payload.get(5)?);
    payload.get(6..6 + length)
}
