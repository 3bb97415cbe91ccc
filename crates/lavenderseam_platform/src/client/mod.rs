//! The client of the platform's HTTP API.
//!
//! Every call is bounded by a time limit. What a failure says about a write is mapped exactly: a
//! connection that can't be opened means that nothing was written; a call that was sent and not
//! answered, or answered in a way that can't be read, leaves that open.

mod answer;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{IF_MATCH, IF_NONE_MATCH, RETRY_AFTER};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use lavenderseam_core::catalog::{Entry, Revision};
use lavenderseam_core::record::{Document, Id};

use crate::{Condition, Error, List, Store};

/// Longest time to open a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Longest time from sending a call to the end of its answer, beyond a watch's wait.
const CALL_LIMIT: Duration = Duration::from_secs(3);
/// Largest answer that is read, in bytes: a list of the whole store.
const ANSWER_LIMIT: usize = 128 << 20;
/// Wait after a refusal that names none.
const RETRY_DEFAULT: Duration = Duration::from_secs(1);
/// Longest wait that a refusal may ask for.
const RETRY_LIMIT: Duration = Duration::from_secs(60);

/// The client of the platform's HTTP API.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    limit: Duration,
}

/// An answer with its body read.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Client {
    /// A client of the API at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_LIMIT));
        connector.set_nodelay(true);
        Self {
            http: legacy::Client::builder(TokioExecutor::new()).build(connector),
            address,
            limit: CALL_LIMIT,
        }
    }

    /// Replaces the time limit of a call, three seconds unless set.
    #[must_use]
    pub const fn with_limit(mut self, limit: Duration) -> Self {
        self.limit = limit;
        self
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        let address = self.address;
        Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
    }

    async fn call(
        &self,
        request: http::request::Builder,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Answer, Error> {
        let request = request
            .body(Full::new(Bytes::from(body)))
            .map_err(|cause| Error::Protocol(cause.to_string()))?;
        let answered = tokio::time::timeout(limit, self.exchange(request)).await;
        let answer = answered.unwrap_or(Err(Error::Unanswered))?;
        match answer.status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                let retry_after = retry_after(&answer.headers);
                Err(Error::Throttled { retry_after })
            }
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict(answer::held(&answer.body)?)),
            StatusCode::PAYLOAD_TOO_LARGE => Err(Error::Oversized),
            _ => Ok(answer),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer, Error> {
        let answer = self
            .http
            .request(request)
            .await
            .map_err(|cause| failure(&cause))?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, ANSWER_LIMIT).collect().await;
        let body = body.map_err(|_| Error::Unanswered)?;
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}

impl Store for Client {
    async fn get(&self, id: &Id) -> Result<Option<Entry>, Error> {
        let request = self.request(Method::GET, &path(id));
        let answer = self.call(request, Vec::new(), self.limit).await?;
        match answer.status {
            StatusCode::OK => answer::entry(&answer.body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status)),
        }
    }

    async fn list(&self) -> Result<List, Error> {
        let request = self.request(Method::GET, "/v1/objects");
        let answer = self.call(request, Vec::new(), self.limit).await?;
        match answer.status {
            StatusCode::OK => answer::list(&answer.body),
            status => Err(unexpected(status)),
        }
    }

    async fn put(&self, document: &Document, condition: Condition) -> Result<Revision, Error> {
        let body =
            serde_json::to_vec(document).map_err(|cause| Error::Protocol(cause.to_string()))?;
        let request = self.request(Method::PUT, &path(&document.id()));
        let request = match condition {
            Condition::Absent => request.header(IF_NONE_MATCH, "*"),
            Condition::At(held) => request.header(IF_MATCH, format!("\"{held}\"")),
        };
        let answer = self.call(request, body, self.limit).await?;
        match answer.status {
            StatusCode::OK => answer::revision(&answer.body),
            status => Err(unexpected(status)),
        }
    }

    async fn delete(&self, id: &Id, held: Revision) -> Result<Revision, Error> {
        let request = self.request(Method::DELETE, &path(id));
        let request = request.header(IF_MATCH, format!("\"{held}\""));
        let answer = self.call(request, Vec::new(), self.limit).await?;
        match answer.status {
            StatusCode::OK => answer::revision(&answer.body),
            StatusCode::NOT_FOUND => Err(Error::Conflict(None)),
            status => Err(unexpected(status)),
        }
    }

    async fn watch(&self, after: Revision, wait: Duration) -> Result<List, Error> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/watch?after={after}&wait_ms={wait_ms}");
        let request = self.request(Method::GET, &path);
        let answer = self.call(request, Vec::new(), self.limit + wait).await?;
        match answer.status {
            StatusCode::OK => answer::list(&answer.body),
            StatusCode::GONE => Err(Error::Gone),
            status => Err(unexpected(status)),
        }
    }
}

fn path(id: &Id) -> String {
    format!("/v1/objects/{}/{}", id.kind, id.name)
}

fn failure(cause: &legacy::Error) -> Error {
    if cause.is_connect() {
        Error::Unreachable
    } else {
        Error::Unanswered
    }
}

fn unexpected(status: StatusCode) -> Error {
    Error::Protocol(status.to_string())
}

fn retry_after(headers: &HeaderMap) -> Duration {
    let text = headers
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok());
    let seconds = text.and_then(|text| text.parse().ok());
    let wait = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    wait.unwrap_or(RETRY_DEFAULT).min(RETRY_LIMIT)
}
