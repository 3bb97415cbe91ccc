//! What a remote call adds to the records that it carries.

use std::net::SocketAddr;

use lavenderseam_control::Remote;
use lavenderseam_wire::Key;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::Report;

/// Headers of TCP and IP with time stamps, for the call, the answer and their acknowledgements.
const PACKETS: f64 = 4.0 * 52.0;
/// Bytes that an answer of the server has besides its body: status line and headers.
const ANSWER: f64 = 130.0;

/// Bytes of a remote call beyond its body, against the body, counted at the socket.
pub(crate) fn remote(seed: u64) -> Report {
    let columns = [
        "call B",
        "beyond the body B",
        "with TCP/IP and an empty answer B",
    ];
    let mut report = Report::new("remote", seed, "body bytes", &columns);
    for size in [2, 200, 1_000, 4_000, 16_000] {
        let body = "x".repeat(size - 2);
        let sent = std::thread::spawn(move || sent(&body))
            .join()
            .unwrap_or_default() as f64;
        let beyond = sent - size as f64;
        report.add(size, vec![sent, beyond, beyond + PACKETS + ANSWER]);
    }
    report
}

/// Bytes that a call with this body puts on its connection.
fn sent(body: &str) -> usize {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return 0;
    };
    runtime.block_on(async {
        let Ok(listener) = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await else {
            return 0;
        };
        let Ok(address) = listener.local_addr() else {
            return 0;
        };
        let remote = Remote::new(&Key::new([7; 32]));
        let call = remote.call::<_, bool>(address, "push_records", &body);
        let (_, count) = tokio::join!(call, count(&listener));
        count
    })
}

async fn count(listener: &TcpListener) -> usize {
    let Ok((mut stream, _)) = listener.accept().await else {
        return 0;
    };
    let mut call = Vec::new();
    let mut part = [0; 65_536];
    // The call ends with the brace of its JSON object.
    while !call.ends_with(b"}") {
        match stream.read(&mut part).await {
            Ok(length) if length > 0 => call.extend_from_slice(&part[..length]),
            _ => break,
        }
    }
    let _ = stream
        .write_all(b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n")
        .await;
    call.len()
}
