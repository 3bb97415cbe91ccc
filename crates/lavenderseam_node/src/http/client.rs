//! HTTP/1.1 client with timeouts.
//!
//! Each request opens a new connection: an established connection may have stopped delivering
//! data for good, while new connections work.

use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::Request;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a response body, which is at most one page of a list.
const MAX_RESPONSE_BODY_BYTES: usize = 4 << 20;

/// Error of an HTTP request.
#[derive(Debug)]
pub enum Error {
    /// No connection could be opened, so the request was not sent.
    Unreachable,
    /// No complete response arrived; the server may have executed the request.
    Unanswered,
    /// The body of the response is larger than a client accepts.
    TooLarge,
    /// The request is not valid HTTP and was not sent.
    Request(http::Error),
}

/// Response with its whole body.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body; empty if the response has none.
    pub body: Bytes,
}

/// Sends a request on a new connection and reads the whole response.
///
/// `limit` is the timeout for the exchange; opening the connection has a timeout of its own.
///
/// # Errors
///
/// Returns [`Error`] if no complete response arrives in time.
pub async fn send_request(
    to: SocketAddrV4,
    request: Request,
    limit: Duration,
) -> Result<Response, Error> {
    let connect_result = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
    let Ok(Ok(stream)) = connect_result else {
        return Err(Error::Unreachable);
    };
    let result = tokio::time::timeout(limit, send(stream, to, request)).await;
    result.unwrap_or(Err(Error::Unanswered))
}

/// Sends a request on an open connection and reads the whole response.
async fn send(stream: TcpStream, to: SocketAddrV4, request: Request) -> Result<Response, Error> {
    let request = http::Request::builder()
        .method(request.method)
        .uri(request.path)
        .header(HOST, to.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(request.body))
        .map_err(Error::Request)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| Error::Unanswered)?;
    let response = async {
        let response = sender.send_request(request).await;
        let (parts, body) = response.map_err(|_| Error::Unanswered)?.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BODY_BYTES).collect().await;
        let body = body.map_err(|error| {
            if error.is::<LengthLimitError>() {
                Error::TooLarge
            } else {
                Error::Unanswered
            }
        })?;
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    };
    tokio::pin!(response, connection);
    tokio::select! {
        response = &mut response => response,
        _ = &mut connection => response.await,
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => formatter.write_str("could not connect; the request was not sent"),
            Self::TooLarge => write!(
                formatter,
                "response exceeds {MAX_RESPONSE_BODY_BYTES} bytes"
            ),
            Self::Unanswered => formatter.write_str("no complete response; outcome unknown"),
            Self::Request(error) => write!(formatter, "HTTP request can't be written: {error}"),
        }
    }
}

impl std::error::Error for Error {}
