//! HTTP/1.1 client of the backend server that this agent serves.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, Uri, uri};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use lavenderseam_core::admission::Outcome;
use lavenderseam_core::request::Stage;

use crate::header;

/// Limit for establishing a TCP connection to the backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which a pooled connection to the backend server is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// HTTP/1.1 client of the backend server, with a connection pool.
#[derive(Clone)]
pub(crate) struct BackendClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

/// Why a request to the backend server got no usable response.
#[derive(Debug)]
pub(crate) enum Error {
    /// No connection could be established, so no byte of the request was sent.
    Unreachable,
    /// The connection failed, or the response is malformed or truncated.
    Failed,
    /// The response echoes the request id of another request.
    MismatchedId,
    /// The request's path can't be used in a URI for the backend server.
    InvalidPath,
}

impl BackendClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { client, address }
    }

    /// Sends a request and waits for the response head. Dropping the future cancels the request.
    pub(crate) async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        *request.uri_mut() = self.backend_uri(request.uri()).ok_or(Error::InvalidPath)?;
        let request_id = request.headers().get(&header::REQUEST_ID).cloned();
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                Error::Unreachable
            } else {
                Error::Failed
            }
        })?;
        if has_mismatched_id(
            request_id.as_ref(),
            response.headers().get(&header::REQUEST_ID),
        ) {
            return Err(Error::MismatchedId);
        }
        Ok(response)
    }

    /// Returns a URI with the backend server's address and the request's path and query.
    fn backend_uri(&self, uri: &Uri) -> Option<Uri> {
        let mut parts = uri::Parts::default();
        parts.scheme = Some(uri::Scheme::HTTP);
        parts.authority = self.address.to_string().parse().ok();
        parts.path_and_query = uri.path_and_query().cloned();
        Uri::from_parts(parts).ok()
    }
}

/// Returns `true` if the response echoes a request id that differs from the one sent.
fn has_mismatched_id(sent: Option<&HeaderValue>, echoed: Option<&HeaderValue>) -> bool {
    matches!((sent, echoed), (Some(sent), Some(echoed)) if sent != echoed)
}

impl Error {
    /// Returns how far the request got, which decides whether it may have run.
    pub(crate) const fn stage(&self) -> Stage {
        match self {
            Self::Unreachable | Self::InvalidPath => Stage::NotSent,
            Self::Failed | Self::MismatchedId => Stage::PossiblySent,
        }
    }

    /// Returns the outcome that the concurrency window records for the request.
    pub(crate) const fn outcome(&self) -> Outcome {
        match self {
            Self::Unreachable => Outcome::Unreachable,
            Self::Failed | Self::MismatchedId => Outcome::Failed,
            Self::InvalidPath => Outcome::Cancelled,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Unreachable => "connecting to the backend server failed",
            Self::Failed => "connection to the backend server failed or its response is invalid",
            Self::MismatchedId => "backend server's response carries the id of another request",
            Self::InvalidPath => "request path is not valid for the backend server",
        })
    }
}

impl std::error::Error for Error {}
