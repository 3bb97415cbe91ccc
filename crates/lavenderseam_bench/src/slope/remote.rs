//! Scaling of a remote call: bytes sent beyond its body, as the body grows.

use std::net::SocketAddr;

use lavenderseam_control::RpcClient;
use lavenderseam_wire::SymmetricKey;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::Report;

/// Bytes of the TCP and IP headers, with TCP timestamps, of the four packets of a call: request,
/// response and their acknowledgments.
const PACKET_HEADER_BYTES: f64 = 4.0 * 52.0;
/// Bytes of the status line and headers of a response.
const RESPONSE_HEADER_BYTES: f64 = 130.0;

/// Measures the bytes of a remote call at the socket, by size of its body.
pub(crate) fn remote(seed: u64) -> Report {
    let columns = [
        "call B",
        "beyond the body B",
        "with TCP/IP and an empty answer B",
    ];
    let mut report = Report::new("remote", seed, "body bytes", &columns);
    for size in [2, 200, 1_000, 4_000, 16_000] {
        let body = "x".repeat(size - 2);
        let call_bytes = std::thread::spawn(move || sent_bytes(&body))
            .join()
            .unwrap_or_default() as f64;
        let overhead = call_bytes - size as f64;
        report.add_row(
            size,
            vec![
                call_bytes,
                overhead,
                overhead + PACKET_HEADER_BYTES + RESPONSE_HEADER_BYTES,
            ],
        );
    }
    report
}

/// Returns the number of bytes that a call with `body` sends on its connection.
fn sent_bytes(body: &str) -> usize {
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
        let remote = RpcClient::new(&SymmetricKey::new([7; 32]));
        let call = remote.call::<_, bool>(address, "push_records", &body);
        let (_, count) = tokio::join!(call, receive_call(&listener));
        count
    })
}

/// Accepts one call, answers it with an error and returns its size in bytes.
async fn receive_call(listener: &TcpListener) -> usize {
    let Ok((mut stream, _)) = listener.accept().await else {
        return 0;
    };
    let mut call = Vec::new();
    let mut chunk = [0; 65_536];
    // The body is a JSON object, so the call ends with a brace.
    while !call.ends_with(b"}") {
        match stream.read(&mut chunk).await {
            Ok(length) if length > 0 => call.extend_from_slice(&chunk[..length]),
            _ => break,
        }
    }
    let _ = stream
        .write_all(b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n")
        .await;
    call.len()
}
