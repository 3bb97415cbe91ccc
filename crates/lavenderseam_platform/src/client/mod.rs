//! HTTP client of the platform's object API.
//!
//! Every call has a timeout. Errors indicate whether a write may have taken effect: if no
//! connection could be opened, nothing was written; if a request was sent but no response arrived,
//! or one that can't be parsed, the write may have taken effect.

mod response;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::{IF_MATCH, IF_NONE_MATCH, RETRY_AFTER};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use lavenderseam_core::catalog::{Entry, Epoch, Revision};
use lavenderseam_core::record::{Document, Id};

use crate::{Condition, Error, ListResponse, Store};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Default timeout from sending a request to the end of its response; a watch adds its wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a response body: a list of the whole store.
const MAX_RESPONSE_BYTES: usize = 128 << 20;
/// Delay before a retry if a rate-limited response has no valid `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Response header with the number of times that the store was restored from a copy.
const EPOCH_HEADER: &str = "store-epoch";
/// Upper bound for the delay that a `Retry-After` header may request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// HTTP client of the platform's object API.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    /// Newest epoch of a response.
    epoch: Arc<AtomicU64>,
    /// Timeout of a call, without the wait of a watch.
    timeout: Duration,
}

/// HTTP response with its whole body.
struct Response {
    status: StatusCode,
    headers: HeaderMap,
    /// Epoch of the revisions in the body.
    epoch: Epoch,
    body: Bytes,
}

impl Client {
    /// Creates a client of the API that is served at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Self {
            http: legacy::Client::builder(TokioExecutor::new()).build(connector),
            address,
            epoch: Arc::default(),
            timeout: CALL_TIMEOUT,
        }
    }

    /// Replaces the timeout of a call, which is three seconds by default.
    #[must_use]
    pub const fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Starts the request for a path.
    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        let address = self.address;
        Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
    }

    /// Sends a request and maps the statuses that mean the same for all requests to errors.
    async fn call(
        &self,
        request: http::request::Builder,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let request = request
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Error::Protocol(error.to_string()))?;
        let result = tokio::time::timeout(timeout, self.send(request)).await;
        let response = result.unwrap_or(Err(Error::NoResponse))?;
        match response.status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                let retry_after = retry_after(&response.headers);
                Err(Error::Throttled { retry_after })
            }
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict(
                response::conflicting_revision(&response.body, response.epoch)?,
            )),
            StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge),
            _ => Ok(response),
        }
    }

    /// Returns the condition that the store compares with the number of a record's last write.
    ///
    /// Fails with a conflict if the store is known to have been restored since that write was
    /// read, because the number may then belong to another write.
    fn if_match(&self, expected: Revision) -> Result<String, Error> {
        if expected.epoch().0 < self.epoch.load(Ordering::Relaxed) {
            return Err(Error::Conflict(None));
        }
        Ok(format!("\"{}\"", expected.number()))
    }

    /// Sends a request and reads the whole response.
    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response, Error> {
        let response = self
            .http
            .request(request)
            .await
            .map_err(|error| transport_error(&error))?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|_| Error::NoResponse)?;
        let epoch = epoch(&parts.headers)?;
        self.epoch.fetch_max(epoch.0, Ordering::Relaxed);
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            epoch,
            body: body.to_bytes(),
        })
    }
}

impl Store for Client {
    async fn get(&self, id: &Id) -> Result<Option<Entry>, Error> {
        let request = self.request(Method::GET, &object_path(id));
        let response = self.call(request, Vec::new(), self.timeout).await?;
        match response.status {
            StatusCode::OK => response::record(&response.body, response.epoch).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected_status(status)),
        }
    }

    async fn list(&self) -> Result<ListResponse, Error> {
        let request = self.request(Method::GET, "/v1/objects");
        let response = self.call(request, Vec::new(), self.timeout).await?;
        match response.status {
            StatusCode::OK => response::list(&response.body, response.epoch),
            status => Err(unexpected_status(status)),
        }
    }

    async fn put(&self, document: &Document, condition: Condition) -> Result<Revision, Error> {
        let body =
            serde_json::to_vec(document).map_err(|error| Error::Protocol(error.to_string()))?;
        let request = self.request(Method::PUT, &object_path(&document.id()));
        let request = match condition {
            Condition::Absent => request.header(IF_NONE_MATCH, "*"),
            Condition::AtRevision(expected_revision) => {
                request.header(IF_MATCH, self.if_match(expected_revision)?)
            }
        };
        let response = self.call(request, body, self.timeout).await?;
        match response.status {
            StatusCode::OK => response::written_revision(&response.body, response.epoch),
            status => Err(unexpected_status(status)),
        }
    }

    async fn delete(&self, id: &Id, expected_revision: Revision) -> Result<Revision, Error> {
        let request = self.request(Method::DELETE, &object_path(id));
        let request = request.header(IF_MATCH, self.if_match(expected_revision)?);
        let response = self.call(request, Vec::new(), self.timeout).await?;
        match response.status {
            StatusCode::OK => response::written_revision(&response.body, response.epoch),
            StatusCode::NOT_FOUND => Err(Error::Conflict(None)),
            status => Err(unexpected_status(status)),
        }
    }

    async fn watch(&self, after: Revision, wait: Duration) -> Result<ListResponse, Error> {
        let wait_ms = wait.as_millis();
        let number = after.number();
        let path = format!("/v1/watch?after={number}&wait_ms={wait_ms}");
        let request = self.request(Method::GET, &path);
        let response = self.call(request, Vec::new(), self.timeout + wait).await?;
        match response.status {
            // After a restore, the number belongs to another write or none.
            StatusCode::OK if response.epoch != after.epoch() => Err(Error::RevisionExpired),
            StatusCode::OK => response::list(&response.body, response.epoch),
            StatusCode::GONE => Err(Error::RevisionExpired),
            status => Err(unexpected_status(status)),
        }
    }
}

/// Returns the path of a record.
fn object_path(id: &Id) -> String {
    format!("/v1/objects/{}/{}", id.kind, id.name)
}

/// Maps an error of the HTTP client; only a failure to connect means that nothing was sent.
fn transport_error(error: &legacy::Error) -> Error {
    if error.is_connect() {
        Error::Unreachable
    } else {
        Error::NoResponse
    }
}

/// Returns the error for a status that the protocol doesn't define for the request.
fn unexpected_status(status: StatusCode) -> Error {
    Error::Protocol(status.to_string())
}

/// Returns the epoch in the headers of a response; a store that sends none was never restored.
fn epoch(headers: &HeaderMap) -> Result<Epoch, Error> {
    let Some(value) = headers.get(EPOCH_HEADER) else {
        return Ok(Epoch(0));
    };
    let epoch = value.to_str().ok().and_then(|text| text.parse().ok());
    epoch.ok_or_else(|| Error::Protocol(format!("header {EPOCH_HEADER} is {value:?}")))
}

/// Returns the delay of the `Retry-After` header, in seconds and possibly fractional.
fn retry_after(headers: &HeaderMap) -> Duration {
    let text = headers
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok());
    let seconds = text.and_then(|text| text.parse().ok());
    let wait = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    wait.unwrap_or(DEFAULT_RETRY_AFTER).min(MAX_RETRY_AFTER)
}
