//! Health checks of the balancers by the fabric.

use std::net::UdpSocket;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use parking_lot::Mutex;

use super::{Balancer, FabricState};
use crate::stand_ins::unix_time_ms;

/// Time between two checks of a balancer.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Payload of a health check.
const PING: &[u8] = b"PING";
/// Prefix of the reply; a byte follows that is 1 if the balancer serves, else 0.
const PONG: &[u8] = b"PONG";

/// Starts the threads that check the balancers and record their replies.
pub(crate) fn start(
    socket: &Arc<UdpSocket>,
    state: &Arc<Mutex<FabricState>>,
    balancers: Vec<Balancer>,
) {
    let send_socket = Arc::clone(socket);
    thread::spawn(move || send_checks(&send_socket, &balancers));
    let socket = Arc::clone(socket);
    let state = Arc::clone(state);
    thread::spawn(move || receive_replies(&socket, &state));
}

fn send_checks(socket: &UdpSocket, balancers: &[Balancer]) {
    loop {
        for balancer in balancers {
            // A balancer that can't be reached is detected by its missing replies.
            let _ = socket.send_to(PING, balancer.address);
        }
        thread::sleep(CHECK_INTERVAL);
    }
}

fn receive_replies(socket: &UdpSocket, state: &Mutex<FabricState>) {
    let mut buffer = [0; 64];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        if let Some([serves, ..]) = buffer[..length].strip_prefix(PONG) {
            state
                .lock()
                .record_health_reply(sender, *serves == 1, unix_time_ms());
        }
    }
}
