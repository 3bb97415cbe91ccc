//! The baseline's process.

use std::net::UdpSocket;

use lavenderseam_core::catalog::Revision;
use lavenderseam_core::flow::{self, Kind, Token};
use lavenderseam_wire::{Forward, Frame, Key, fabric};

use super::Settings;
use super::pool::Pool;
use crate::Error;

/// Largest datagram, in bytes.
const DATAGRAM_LIMIT: usize = 65_536;
/// The fabric's health check and the start of its answer.
const PING: &[u8] = b"PING";
const PONG: [u8; 4] = *b"PONG";

struct Forwarder {
    socket: UdpSocket,
    pool: Pool,
    seed: u64,
    frames: Key,
}

/// Runs the hashing baseline until it is killed.
///
/// # Errors
///
/// Returns [`Error`] if the address is taken or the key can't be used.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let address = settings.address;
    let socket = UdpSocket::bind(address).map_err(|cause| Error::Bind { address, cause })?;
    let text = std::fs::read_to_string(&settings.key_file);
    let text = text.map_err(|cause| Error::file(&settings.key_file, cause))?;
    let key: Key = text
        .parse()
        .map_err(|cause| Error::setting("key_file", settings.key_file.display(), cause))?;
    let pool = Pool::default();
    let forwarder = Forwarder {
        socket,
        pool: pool.clone(),
        seed: key.seed(),
        frames: key.derive("frames"),
    };
    std::thread::spawn(move || forwarder.run());
    pool.follow(settings).await;
    Ok(())
}

impl Forwarder {
    fn run(&self) {
        let mut buffer = vec![0; DATAGRAM_LIMIT];
        let mut frame = Vec::with_capacity(DATAGRAM_LIMIT);
        loop {
            let Ok((length, sender)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            if &buffer[..length] == PING {
                let [p, o, n, g] = PONG;
                let serves = u8::from(self.pool.serves());
                // An answer that is lost shows as silence.
                let _ = self.socket.send_to(&[p, o, n, g, serves], sender);
            } else {
                self.forward(&buffer[..length], &mut frame);
            }
        }
    }

    fn forward(&self, datagram: &[u8], frame: &mut Vec<u8>) {
        let Ok(packet) = fabric::Packet::decode(datagram) else {
            return;
        };
        let fabric::Ends { caller, service } = packet.ends;
        let flow = flow::Key::new(self.seed, caller, service);
        let Some(choice) = self.pool.choose(service, flow.word()) else {
            return;
        };
        let Ok(balancer) = self.socket.local_addr() else {
            return;
        };
        let forward = Forward {
            flow,
            caller,
            service,
            kind: Kind::Continuing,
            // Has the agent take the packet itself, whoever owns the flow.
            token: Some(Token {
                owner: choice.tag,
                nonce: 0,
            }),
            trail: Vec::new(),
            revision: Revision(0),
            balancer,
            asks: false,
        };
        if Frame::with_payload(forward, packet.payload)
            .seal(&self.frames, frame)
            .is_ok()
        {
            // A datagram that can't be sent is lost.
            let _ = self.socket.send_to(frame, choice.peer);
        }
    }
}
