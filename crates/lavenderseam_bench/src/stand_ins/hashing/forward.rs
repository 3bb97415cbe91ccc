//! Process of the hashing baseline.

use std::net::UdpSocket;

use lavenderseam_core::catalog::Revision;
use lavenderseam_core::flow::{self, Kind, Token};
use lavenderseam_wire::{ForwardHeader, Frame, SymmetricKey, fabric};

use super::Settings;
use super::target_pool::TargetPool;
use crate::Error;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Payload of the fabric's health check.
const PING: &[u8] = b"PING";
/// Prefix of the reply to a health check.
const PONG: [u8; 4] = *b"PONG";

/// Forwards packets of the fabric to the agents of the chosen targets.
struct Forwarder {
    socket: UdpSocket,
    pool: TargetPool,
    seed: u64,
    frame_key: SymmetricKey,
}

/// Runs the hashing baseline until the process is killed.
///
/// # Errors
///
/// Returns [`Error`] if the address can't be bound, or the key can't be read or parsed.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let address = settings.address;
    let socket = UdpSocket::bind(address).map_err(|source| Error::Bind { address, source })?;
    let text = std::fs::read_to_string(&settings.key_file);
    let text = text.map_err(|source| Error::file(&settings.key_file, source))?;
    let key: SymmetricKey = text
        .parse()
        .map_err(|source| Error::setting("key_file", settings.key_file.display(), source))?;
    let pool = TargetPool::default();
    let forwarder = Forwarder {
        socket,
        pool: pool.clone(),
        seed: key.flow_hash_seed(),
        frame_key: key.derive("frames"),
    };
    std::thread::spawn(move || forwarder.run());
    pool.poll(settings).await;
    Ok(())
}

impl Forwarder {
    fn run(&self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut frame = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        loop {
            let Ok((length, sender)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            if &buffer[..length] == PING {
                let [p, o, n, g] = PONG;
                let has_targets = u8::from(self.pool.has_targets());
                // The fabric detects a missing reply by its timeout.
                let _ = self.socket.send_to(&[p, o, n, g, has_targets], sender);
            } else {
                self.forward(&buffer[..length], &mut frame);
            }
        }
    }

    fn forward(&self, datagram: &[u8], frame: &mut Vec<u8>) {
        let Ok(packet) = fabric::Packet::decode(datagram) else {
            return;
        };
        let fabric::Endpoints { caller, service } = packet.endpoints;
        let flow = flow::Key::new(self.seed, caller, service);
        let Some(candidate) = self.pool.choose(service, flow.fold_u64()) else {
            return;
        };
        let Ok(balancer) = self.socket.local_addr() else {
            return;
        };
        let forward = ForwardHeader {
            flow,
            caller,
            service,
            kind: Kind::Continuing,
            // A token for the chosen target makes its agent deliver the packet, whichever target
            // owns the flow.
            token: Some(Token {
                owner: candidate.tag,
                nonce: 0,
            }),
            visited: Vec::new(),
            revision: Revision(0),
            balancer,
            wants_hint: false,
        };
        if Frame::with_payload(forward, packet.payload)
            .seal(&self.frame_key, frame)
            .is_ok()
        {
            // A frame that can't be sent counts as a lost packet.
            let _ = self.socket.send_to(frame, candidate.peer);
        }
    }
}
