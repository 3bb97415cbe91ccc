//! Socket for messages between balancers and agents.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use lavenderseam_passthrough::message::{CodecError, Message};

use crate::socket::DatagramSocket;

/// Datagram socket that sends and receives encoded messages.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: DatagramSocket,
    /// Buffer in which messages are encoded before they are sent.
    send_buffer: RefCell<Vec<u8>>,
}

/// Error in sending or receiving a message.
#[derive(Debug)]
pub(crate) enum Error {
    /// The message can't be encoded or decoded.
    Message(CodecError),
    /// An operation on the socket failed.
    Socket(io::Error),
}

impl PeerSocket {
    /// Binds a socket to an address.
    pub(crate) async fn bind(address: SocketAddrV4) -> io::Result<Self> {
        Ok(Self {
            socket: DatagramSocket::bind(address).await?,
            send_buffer: RefCell::default(),
        })
    }

    /// Sends a message, followed by the packet that it concerns.
    ///
    /// `packet` is empty if the message concerns none.
    pub(crate) fn send(
        &self,
        message: &Message,
        packet: &[u8],
        to: SocketAddrV4,
    ) -> Result<(), Error> {
        let mut send_buffer = self.send_buffer.borrow_mut();
        message
            .encode(packet, &mut send_buffer)
            .map_err(Error::Message)?;
        self.socket.send_to(&send_buffer, to).map_err(Error::Socket)
    }

    /// Returns the longest time that a message read now may have waited in the socket.
    pub(crate) fn backlog_age(&self) -> Duration {
        self.socket.backlog_age()
    }

    /// Receives messages forever and passes each to `handle`, with its packet and sender.
    pub(crate) async fn receive(
        &self,
        mut handle: impl FnMut(Result<(Message, &mut [u8], SocketAddrV4), Error>),
    ) {
        self.socket
            .receive(|datagram| match datagram {
                Ok((bytes, from)) => match Message::decode(bytes) {
                    Ok((message, packet)) => {
                        let start = bytes.len() - packet.len();
                        handle(Ok((message, &mut bytes[start..], from)));
                    }
                    Err(malformed) => handle(Err(Error::Message(malformed))),
                },
                Err(error) => handle(Err(Error::Socket(error))),
            })
            .await;
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Message(malformed) => malformed.fmt(formatter),
            Self::Socket(error) => write!(
                formatter,
                "failed socket for messages between processes: {error}"
            ),
        }
    }
}
