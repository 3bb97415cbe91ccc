//! A caller of one service.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use h3::error::{Code, StreamError};
use http::{Method, Request, Response, StatusCode, Uri, header as field};
use lavenderseam_core::request::{Budget, Ran, backoff};
use parking_lot::Mutex;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::answer::Answer;
use crate::error::Error;
use crate::pool::{Lease, Pool};
use crate::statistics::Statistics;
use crate::{Failure, Outcome, Settings, header, tls};

/// Time before the first retry of a request whose refusal names none.
const BACKOFF: Duration = Duration::from_millis(20);
/// Longest time before a retry of a request whose refusal names none.
const BACKOFF_LIMIT: Duration = Duration::from_secs(2);
/// Time for which an agent that refused without naming one is avoided.
const AVOID: Duration = Duration::from_millis(200);

pub(crate) type Stream = h3::client::RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// A caller of one service.
#[derive(Clone)]
pub struct Caller {
    pub(crate) shared: Arc<Shared>,
}

pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) pool: Pool,
    budget: Mutex<Budget>,
    pub(crate) statistics: Arc<Mutex<Statistics>>,
}

/// The head of an answer, and the stream that its content comes on.
pub(crate) struct Head {
    pub(crate) response: Response<()>,
    pub(crate) stream: Stream,
    pub(crate) lease: Lease,
}

impl Caller {
    /// A caller with settings; connections are opened when they are needed.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the root certificates can't be used.
    pub fn new(settings: Settings) -> Result<Self, Error> {
        let tls = Arc::new(tls::configuration(&settings)?);
        let statistics = Arc::new(Mutex::new(Statistics::default()));
        let pool = Pool::new(settings.clone(), tls, Arc::clone(&statistics));
        let shared = Shared {
            settings,
            pool,
            budget: Mutex::new(Budget::default()),
            statistics,
        };
        Ok(Self {
            shared: Arc::new(shared),
        })
    }

    /// Counts of this caller's flows.
    #[must_use]
    pub fn statistics(&self) -> Statistics {
        self.shared.statistics.lock().clone()
    }

    /// Gets a resource, within the time of the settings.
    pub async fn get(&self, path: &str) -> Outcome<Answer> {
        self.get_within(path, self.shared.settings.deadline).await
    }

    /// Gets a resource within a time.
    pub async fn get_within(&self, path: &str, time: Duration) -> Outcome<Answer> {
        let deadline = Instant::now() + time;
        let request = self.shared.request(Method::GET, path);
        self.shared
            .repeat(deadline, |shared| {
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
    /// A request for a path of the service.
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

    /// Makes attempts at a repeatable request until one succeeds, the budget is spent or the
    /// deadline has passed.
    pub(crate) async fn repeat<'a, T, F>(
        &'a self,
        deadline: Instant,
        attempt: impl Fn(&'a Self) -> F,
    ) -> Outcome<T>
    where
        F: Future<Output = Result<T, Failure>>,
    {
        let mut count = 0;
        let mut ran = Ran::No;
        loop {
            let result = timeout_at(deadline, attempt(self)).await;
            let failure = match result.unwrap_or(Err(Failure::Late)) {
                Ok(answer) => {
                    self.succeeded();
                    return Outcome::Answered(answer);
                }
                Err(failure) => failure,
            };
            if failure.ran() == Ran::Unknown {
                ran = Ran::Unknown;
            }
            if !self.pause(failure, count, deadline, |_| true).await {
                return Outcome::failed(failure, ran);
            }
            count += 1;
        }
    }

    /// Notes a success for the retry budget.
    pub(crate) fn succeeded(&self) {
        self.budget.lock().succeeded();
    }

    /// Waits before a retry; false if there is to be none. `fits` tells whether an attempt can end
    /// in the time that is left then.
    pub(crate) async fn pause(
        &self,
        failure: Failure,
        count: u32,
        deadline: Instant,
        fits: impl Fn(Duration) -> bool,
    ) -> bool {
        let wait = wait(failure, count);
        let at = Instant::now() + wait;
        let left = deadline.saturating_duration_since(at);
        let late = failure == Failure::Late || left.is_zero() || !fits(left);
        if late || !self.budget.lock().take() {
            return false;
        }
        self.statistics.lock().retries += 1;
        sleep_until(at).await;
        true
    }

    /// Sends a request and awaits the head of its answer; a refusal is a failure.
    pub(crate) async fn send(
        &self,
        request: Request<()>,
        body: Bytes,
        deadline: Option<Instant>,
    ) -> Result<Head, Failure> {
        let head = self.send_any(request, body, deadline).await?;
        let headers = head.response.headers();
        let ran = header::parsed(headers, &header::RAN);
        let retry_after = header::retry_after(headers);
        let shed = head.response.status() == StatusCode::SERVICE_UNAVAILABLE;
        if ran.is_none() && !shed {
            return Ok(head);
        }
        if shed {
            head.lease.link().avoid(retry_after.unwrap_or(AVOID));
        }
        Err(Failure::Refused {
            ran: ran.unwrap_or(Ran::Unknown),
            retry_after,
        })
    }

    /// Sends a request and awaits the head of its answer, whatever it says.
    pub(crate) async fn send_any(
        &self,
        mut request: Request<()>,
        body: Bytes,
        deadline: Option<Instant>,
    ) -> Result<Head, Failure> {
        let lease = self.pool.lease().await?;
        let id = header::value(format_args!("{:032x}", rand::random::<u128>()));
        prepare(&mut request, &lease, &id, &body, deadline);
        let mut sender = lease.link().sender();
        let sent = sender.send_request(request).await;
        let mut stream = sent.map_err(|error| failed(&error, lease.link()))?;
        if !body.is_empty() {
            let sent = stream.send_data(body).await;
            sent.map_err(|error| failed(&error, lease.link()))?;
        }
        let finished = stream.finish().await;
        finished.map_err(|error| failed(&error, lease.link()))?;
        let answered = stream.recv_response().await;
        let response = answered.map_err(|error| failed(&error, lease.link()))?;
        let echoed = response.headers().get(&header::REQUEST_ID);
        if echoed.is_some_and(|echoed| *echoed != id) {
            return Err(Failure::Crossed);
        }
        Ok(Head {
            response,
            stream,
            lease,
        })
    }
}

impl Head {
    /// Takes in the whole content.
    pub(crate) async fn collect(mut self, deadline: Instant) -> Result<Answer, Failure> {
        let length: Option<usize> = header::parsed(self.response.headers(), &field::CONTENT_LENGTH);
        let mut body = BytesMut::new();
        loop {
            let data = timeout_at(deadline, self.stream.recv_data()).await;
            let data = data.map_err(|_| Failure::Late)?;
            match data.map_err(|_| Failure::Broken)? {
                Some(mut data) => body.extend_from_slice(&data.copy_to_bytes(data.remaining())),
                None => break,
            }
        }
        if length.is_some_and(|length| length != body.len()) {
            return Err(Failure::Cut);
        }
        let (parts, ()) = self.response.into_parts();
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body: body.freeze(),
        })
    }
}

fn prepare(
    request: &mut Request<()>,
    lease: &Lease,
    id: &http::HeaderValue,
    body: &Bytes,
    deadline: Option<Instant>,
) {
    let headers = request.headers_mut();
    headers.insert(header::REQUEST_ID, id.clone());
    let span: u64 = rand::random();
    let trace = format_args!("00-{}-{span:016x}-01", lease.link().trace()).to_string();
    headers.insert(header::TRACEPARENT, header::value(trace));
    if let Some(deadline) = deadline {
        let left = deadline.saturating_duration_since(Instant::now());
        headers.insert(header::DEADLINE, header::value(left.as_millis()));
    }
    if !body.is_empty() {
        headers.insert(field::CONTENT_LENGTH, header::value(body.len()));
    }
}

/// What an error says of the attempt; notes on the connection that its agent leaves.
fn failed(error: &StreamError, link: &crate::link::Link) -> Failure {
    match error {
        StreamError::RemoteClosing { .. } => {
            link.leave();
            Failure::Rejected
        }
        StreamError::RemoteTerminate { code, .. } if *code == Code::H3_REQUEST_REJECTED => {
            link.leave();
            Failure::Rejected
        }
        _ => Failure::Broken,
    }
}

fn wait(failure: Failure, count: u32) -> Duration {
    let random = rand::random();
    match failure {
        // The refusal's time is the earliest that makes sense; the jitter comes on top.
        Failure::Refused {
            retry_after: Some(wait),
            ..
        } => wait + backoff(0, wait.min(BACKOFF_LIMIT), BACKOFF_LIMIT, random) / 2,
        Failure::Rejected => Duration::ZERO,
        _ => backoff(count, BACKOFF, BACKOFF_LIMIT, random),
    }
}
