//! Calls with a time limit.
//!
//! Each call has a connection of its own: an open connection may have gone silent for good while
//! new ones work.

use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http::header::{CONTENT_TYPE, HOST};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::Request;

/// Longest time to open a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Largest answer that is read, in bytes: a page of a list.
const ANSWER_LIMIT: usize = 4 << 20;

/// Why a call failed.
#[derive(Debug)]
pub enum Error {
    /// No connection could be opened, so nothing was done.
    Unreachable,
    /// It was sent and not answered, so it may have been done.
    Unanswered,
    /// The request can't be written.
    Request(http::Error),
}

/// The status and body of an answer.
pub type Reply = (StatusCode, Bytes);

/// Makes a call and reads its answer whole, within a time limit beside that for the connection.
///
/// # Errors
///
/// Returns [`Error`] if there is no whole answer within the limit.
pub async fn call(to: SocketAddrV4, request: Request, limit: Duration) -> Result<Reply, Error> {
    let connected = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(to)).await;
    let Ok(Ok(stream)) = connected else {
        return Err(Error::Unreachable);
    };
    let exchanged = tokio::time::timeout(limit, exchange(stream, to, request)).await;
    exchanged.unwrap_or(Err(Error::Unanswered))
}

async fn exchange(stream: TcpStream, to: SocketAddrV4, request: Request) -> Result<Reply, Error> {
    let request = http::Request::builder()
        .method(request.method)
        .uri(request.path)
        .header(HOST, to.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(request.body))
        .map_err(Error::Request)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| Error::Unanswered)?;
    let answer = async {
        let answer = sender.send_request(request).await;
        let (head, body) = answer.map_err(|_| Error::Unanswered)?.into_parts();
        let body = Limited::new(body, ANSWER_LIMIT).collect().await;
        let body = body.map_err(|_| Error::Unanswered)?;
        Ok((head.status, body.to_bytes()))
    };
    tokio::pin!(answer, connection);
    tokio::select! {
        answer = &mut answer => answer,
        _ = &mut connection => answer.await,
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => formatter.write_str("no connection"),
            Self::Unanswered => formatter.write_str("no answer"),
            Self::Request(error) => write!(formatter, "request can't be written: {error}"),
        }
    }
}

impl std::error::Error for Error {}
