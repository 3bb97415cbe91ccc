//! Health checks of the balancers.

use std::net::UdpSocket;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use parking_lot::Mutex;

use super::{Balancer, State};
use crate::standins::now_ms;

/// Time between two checks of a balancer.
const INTERVAL: Duration = Duration::from_millis(200);
/// Content of a check.
const PING: &[u8] = b"PING";
/// Start of the answer; a byte 1 (serves) or 0 follows.
const PONG: &[u8] = b"PONG";

/// Checks the balancers and notes their answers.
pub(crate) fn start(socket: &Arc<UdpSocket>, state: &Arc<Mutex<State>>, balancers: Vec<Balancer>) {
    let sending = Arc::clone(socket);
    thread::spawn(move || ping(&sending, &balancers));
    let socket = Arc::clone(socket);
    let state = Arc::clone(state);
    thread::spawn(move || receive(&socket, &state));
}

fn ping(socket: &UdpSocket, balancers: &[Balancer]) {
    loop {
        for balancer in balancers {
            // A balancer that is gone shows by its silence.
            let _ = socket.send_to(PING, balancer.address);
        }
        thread::sleep(INTERVAL);
    }
}

fn receive(socket: &UdpSocket, state: &Mutex<State>) {
    let mut buffer = [0; 64];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        if let Some([serves, ..]) = buffer[..length].strip_prefix(PONG) {
            state.lock().answered(sender, *serves == 1, now_ms());
        }
    }
}
