//! Datagram sockets on loopback addresses.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use googletest::prelude::*;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::DatagramSocket;

/// Time within which a report must arrive.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Returns a port of the loopback address that nothing listens on.
async fn closed_port() -> io::Result<SocketAddrV4> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    match socket.local_addr()? {
        SocketAddr::V4(address) => Ok(address),
        SocketAddr::V6(_) => Err(io::ErrorKind::AddrNotAvailable.into()),
    }
}

/// Guards against a closed port that is noticed only by the next packet, when another process may listen there
/// again: the receiver waited for datagrams alone, and that packet was lost.
#[gtest]
#[tokio::test]
async fn a_closed_port_is_reported_without_a_further_send() -> Result<()> {
    let peer = closed_port().await?;
    let any_port = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let socket = DatagramSocket::connect(any_port, peer).await?;
    let (reports, mut reported) = mpsc::unbounded_channel();
    let receiver = socket.receive(|received| {
        let _ = reports.send(
            received
                .map(|(bytes, _)| bytes.len())
                .map_err(|error| error.kind()),
        );
    });
    socket.send(b"packet")?;
    let report = tokio::select! {
        () = receiver => None,
        report = tokio::time::timeout(TIMEOUT, reported.recv()) => report.ok().flatten(),
    };
    expect_that!(report, some(err(eq(io::ErrorKind::ConnectionRefused))));
    // The port is open again, and no packet to it is lost to an error of the one before.
    let listener = UdpSocket::bind(peer).await?;
    socket.send(b"another")?;
    let mut buffer = [0; 16];
    let length = tokio::time::timeout(TIMEOUT, listener.recv(&mut buffer)).await??;
    expect_that!(buffer.get(..length), some(eq(b"another".as_slice())));
    Ok(())
}
