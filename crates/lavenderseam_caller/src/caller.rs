//! Client of a service, which retries failed attempts.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use h3::error::{Code, StreamError};
use http::{Method, Request, Response as HttpResponse, StatusCode, Uri, header as field};
use lavenderseam_core::request::{ExecutionStatus, RetryBudget, backoff_delay};
use parking_lot::Mutex;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::error::Error;
use crate::pool::{ConnectionGuard, ConnectionPool};
use crate::response::Response;
use crate::statistics::Statistics;
use crate::{Failure, Outcome, Settings, header, tls};

/// Backoff before the first retry, unless the refusal has a retry time.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Upper limit of the backoff before a retry.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time for which a connection is excluded after a refusal without a retry time.
const DEFAULT_EXCLUSION: Duration = Duration::from_millis(200);

/// HTTP/3 stream of one request.
pub(crate) type Stream = h3::client::RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// Client of one service. Clones share their connections, retry budget and statistics.
#[derive(Clone)]
pub struct Caller {
    pub(crate) shared: Arc<Shared>,
}

/// State that the clones of a [`Caller`] share.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) pool: ConnectionPool,
    budget: Mutex<RetryBudget>,
    pub(crate) statistics: Arc<Mutex<Statistics>>,
}

/// Status and header fields of a response whose body has not been received yet.
pub(crate) struct ResponseHead {
    pub(crate) response: HttpResponse<()>,
    pub(crate) stream: Stream,
    pub(crate) guard: ConnectionGuard,
}

impl Caller {
    /// Creates a caller; connections are opened on demand.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the root certificates can't be read or used.
    pub fn new(settings: Settings) -> Result<Self, Error> {
        let tls = Arc::new(tls::client_config(&settings)?);
        let statistics = Arc::new(Mutex::new(Statistics::default()));
        let pool = ConnectionPool::new(settings.clone(), tls, Arc::clone(&statistics));
        let shared = Shared {
            settings,
            pool,
            budget: Mutex::new(RetryBudget::default()),
            statistics,
        };
        Ok(Self {
            shared: Arc::new(shared),
        })
    }

    /// Returns a snapshot of the flow and retry counters.
    #[must_use]
    pub fn statistics(&self) -> Statistics {
        self.shared.statistics.lock().clone()
    }

    /// Sends a GET request with the timeout of the settings.
    pub async fn get(&self, path: &str) -> Outcome<Response> {
        self.get_with_timeout(path, self.shared.settings.request_timeout)
            .await
    }

    /// Sends a GET request with a timeout, which includes all retries.
    pub async fn get_with_timeout(&self, path: &str, timeout: Duration) -> Outcome<Response> {
        let deadline = Instant::now() + timeout;
        let request = self.shared.request(Method::GET, path);
        self.shared
            .retry(deadline, |shared| {
                let request = request.clone();
                async move {
                    let head = shared.send(request, Bytes::new(), Some(deadline)).await?;
                    head.collect(deadline).await
                }
            })
            .await
    }
}

impl Shared {
    /// Builds a request for a path of the service.
    pub(crate) fn request(&self, method: Method, path: &str) -> Request<()> {
        let mut request = Request::new(());
        *request.method_mut() = method;
        *request.uri_mut() = Uri::builder()
            .scheme("https")
            .authority(self.settings.server_name.as_str())
            .path_and_query(path)
            .build()
            .unwrap_or_default();
        request
    }

    /// Attempts an idempotent request until it succeeds, the retry budget is exhausted or the
    /// deadline passes.
    pub(crate) async fn retry<'a, T, F>(
        &'a self,
        deadline: Instant,
        attempt: impl Fn(&'a Self) -> F,
    ) -> Outcome<T>
    where
        F: Future<Output = Result<T, Failure>>,
    {
        let mut retries = 0;
        let mut execution = ExecutionStatus::NotRun;
        let mut last_retry_after = None;
        loop {
            let result = timeout_at(deadline, attempt(self)).await;
            let failure = match result.unwrap_or(Err(Failure::DeadlineExceeded)) {
                Ok(response) => {
                    self.record_success();
                    return Outcome::Answered(response);
                }
                Err(failure) => failure,
            };
            last_retry_after = failure.retry_after().or(last_retry_after);
            if failure.execution() == ExecutionStatus::Unknown {
                execution = ExecutionStatus::Unknown;
            }
            if !self
                .wait_before_retry(failure, retries, deadline, |_| true)
                .await
            {
                return Outcome::from_failure(failure, execution, last_retry_after);
            }
            retries += 1;
        }
    }

    /// Credits the retry budget with a success.
    pub(crate) fn record_success(&self) {
        self.budget.lock().record_success();
    }

    /// Waits before a retry; returns `false` if the request must not be retried. `can_finish_in`
    /// returns whether another attempt is likely to end within the remaining time.
    pub(crate) async fn wait_before_retry(
        &self,
        failure: Failure,
        retries: u32,
        deadline: Instant,
        can_finish_in: impl Fn(Duration) -> bool,
    ) -> bool {
        let delay = retry_delay(failure, retries);
        let retry_at = Instant::now() + delay;
        let remaining = deadline.saturating_duration_since(retry_at);
        let no_time_left = failure == Failure::DeadlineExceeded
            || remaining.is_zero()
            || !can_finish_in(remaining);
        if no_time_left || !self.budget.lock().try_withdraw() {
            return false;
        }
        self.statistics.lock().retries += 1;
        sleep_until(retry_at).await;
        true
    }

    /// Sends a request and waits for the response head; a refusal is returned as a failure.
    pub(crate) async fn send(
        &self,
        request: Request<()>,
        body: Bytes,
        deadline: Option<Instant>,
    ) -> Result<ResponseHead, Failure> {
        let head = self.send_unchecked(request, body, deadline).await?;
        let headers = head.response.headers();
        let execution = header::parse(headers, &header::RAN);
        let retry_after = header::retry_after(headers);
        let is_overloaded = head.response.status() == StatusCode::SERVICE_UNAVAILABLE;
        if execution.is_none() && !is_overloaded {
            return Ok(head);
        }
        if is_overloaded {
            head.guard
                .connection()
                .exclude_for(retry_after.unwrap_or(DEFAULT_EXCLUSION));
        }
        Err(Failure::Refused {
            execution: execution.unwrap_or(ExecutionStatus::Unknown),
            retry_after,
        })
    }

    /// Sends a request and waits for the response head, without checking whether it is a refusal.
    pub(crate) async fn send_unchecked(
        &self,
        mut request: Request<()>,
        body: Bytes,
        deadline: Option<Instant>,
    ) -> Result<ResponseHead, Failure> {
        let guard = self.pool.acquire().await?;
        let id = header::to_value(format_args!("{:032x}", rand::random::<u128>()));
        set_headers(&mut request, &guard, &id, &body, deadline);
        let mut sender = guard.connection().sender();
        let sent = sender.send_request(request).await;
        let mut stream = sent.map_err(|error| attempt_failure(&error, guard.connection()))?;
        if !body.is_empty() {
            let sent = stream.send_data(body).await;
            sent.map_err(|error| attempt_failure(&error, guard.connection()))?;
        }
        let finished = stream.finish().await;
        finished.map_err(|error| attempt_failure(&error, guard.connection()))?;
        let response = stream.recv_response().await;
        let response = response.map_err(|error| attempt_failure(&error, guard.connection()))?;
        let echoed = response.headers().get(&header::REQUEST_ID);
        if echoed.is_some_and(|echoed| *echoed != id) {
            return Err(Failure::RequestIdMismatch);
        }
        Ok(ResponseHead {
            response,
            stream,
            guard,
        })
    }
}

impl ResponseHead {
    /// Receives the complete body.
    pub(crate) async fn collect(mut self, deadline: Instant) -> Result<Response, Failure> {
        let length: Option<usize> = header::parse(self.response.headers(), &field::CONTENT_LENGTH);
        let mut body = BytesMut::new();
        loop {
            let data = timeout_at(deadline, self.stream.recv_data()).await;
            let data = data.map_err(|_| Failure::DeadlineExceeded)?;
            match data.map_err(|_| Failure::ConnectionLost)? {
                Some(mut data) => body.extend_from_slice(&data.copy_to_bytes(data.remaining())),
                None => break,
            }
        }
        if length.is_some_and(|length| length != body.len()) {
            return Err(Failure::LengthMismatch);
        }
        let (parts, ()) = self.response.into_parts();
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            body: body.freeze(),
        })
    }
}

/// Sets the header fields of an attempt.
fn set_headers(
    request: &mut Request<()>,
    guard: &ConnectionGuard,
    id: &http::HeaderValue,
    body: &Bytes,
    deadline: Option<Instant>,
) {
    let headers = request.headers_mut();
    headers.insert(header::REQUEST_ID, id.clone());
    let span: u64 = rand::random();
    let traceparent =
        format_args!("00-{}-{span:016x}-01", guard.connection().trace_id()).to_string();
    headers.insert(header::TRACEPARENT, header::to_value(traceparent));
    if let Some(deadline) = deadline {
        let remaining = deadline.saturating_duration_since(Instant::now());
        headers.insert(header::DEADLINE, header::to_value(remaining.as_millis()));
    }
    if !body.is_empty() {
        headers.insert(field::CONTENT_LENGTH, header::to_value(body.len()));
    }
}

/// Maps a stream error to a failure of the attempt; marks the connection as closing if its agent
/// takes no more requests on it.
fn attempt_failure(error: &StreamError, connection: &crate::connection::Connection) -> Failure {
    match error {
        StreamError::RemoteClosing { .. } => {
            connection.mark_closing();
            Failure::Rejected
        }
        StreamError::RemoteTerminate { code, .. } if *code == Code::H3_REQUEST_REJECTED => {
            connection.mark_closing();
            Failure::Rejected
        }
        _ => Failure::ConnectionLost,
    }
}

/// Returns the delay before a retry.
fn retry_delay(failure: Failure, retries: u32) -> Duration {
    let random = rand::random();
    match failure {
        // The retry time of a refusal is a lower bound, so the jitter is added to it.
        Failure::Refused {
            retry_after: Some(retry_after),
            ..
        } => retry_after + backoff_delay(0, retry_after.min(MAX_BACKOFF), MAX_BACKOFF, random) / 2,
        Failure::Rejected => Duration::ZERO,
        _ => backoff_delay(retries, INITIAL_BACKOFF, MAX_BACKOFF, random),
    }
}
