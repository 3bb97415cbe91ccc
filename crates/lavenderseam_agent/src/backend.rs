//! The backend server beside the agent: plain HTTP/1.1.

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

/// Time in which a connection to the backend server must be open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which a connection to the backend server is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Client of the backend server.
#[derive(Clone)]
pub(crate) struct Backend {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

/// Why the backend server gave no answer.
#[derive(Debug)]
pub(crate) enum Error {
    /// It can't be reached; no byte was sent.
    Unreachable,
    /// The connection failed, or the answer is malformed or cut.
    Failed,
    /// The answer belongs to another request.
    Crossed,
    /// The request has no usable path.
    Path,
}

impl Backend {
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

    /// Sends a request and awaits the head of its answer; dropped, the request is cancelled.
    pub(crate) async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        *request.uri_mut() = self.uri(request.uri()).ok_or(Error::Path)?;
        let id = request.headers().get(&header::REQUEST_ID).cloned();
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                Error::Unreachable
            } else {
                Error::Failed
            }
        })?;
        if is_crossed(id.as_ref(), response.headers().get(&header::REQUEST_ID)) {
            return Err(Error::Crossed);
        }
        Ok(response)
    }

    fn uri(&self, uri: &Uri) -> Option<Uri> {
        let mut parts = uri::Parts::default();
        parts.scheme = Some(uri::Scheme::HTTP);
        parts.authority = self.address.to_string().parse().ok();
        parts.path_and_query = uri.path_and_query().cloned();
        Uri::from_parts(parts).ok()
    }
}

fn is_crossed(sent: Option<&HeaderValue>, echoed: Option<&HeaderValue>) -> bool {
    matches!((sent, echoed), (Some(sent), Some(echoed)) if sent != echoed)
}

impl Error {
    /// How far the request got.
    pub(crate) const fn stage(&self) -> Stage {
        match self {
            Self::Unreachable | Self::Path => Stage::Held,
            Self::Failed | Self::Crossed => Stage::Sent,
        }
    }

    /// What the window learns.
    pub(crate) const fn outcome(&self) -> Outcome {
        match self {
            Self::Unreachable => Outcome::Unreachable,
            Self::Failed | Self::Crossed => Outcome::Failed,
            Self::Path => Outcome::Cancelled,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Unreachable => "backend server can't be reached",
            Self::Failed => "backend server failed",
            Self::Crossed => "backend server answered another request",
            Self::Path => "request has no usable path",
        })
    }
}

impl std::error::Error for Error {}
