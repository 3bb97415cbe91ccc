//! Requests that may not be repeated: at most once.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use lavenderseam_core::request::{Attempts, Binding, Key, Ran};
use tokio::time::{Instant, timeout_at};

use crate::caller::Shared;
use crate::{Answer, Caller, Failure, Outcome, header};

/// How one attempt at an edit ended.
enum Attempt {
    Answered(Answer),
    /// It wasn't run; the next one is to carry this binding.
    Bind(Binding),
    Failed(Failure),
}

impl Caller {
    /// Sends a request that may not be repeated, within a time. It runs at most once however
    /// often it is repeated under one key.
    pub async fn edit(
        &self,
        path: &str,
        key: &Key,
        body: Bytes,
        time: Duration,
    ) -> Outcome<Answer> {
        let deadline = Instant::now() + time;
        let mut binding = None;
        let mut ran = Ran::No;
        let mut count = 0;
        let mut attempts = Attempts::default();
        loop {
            let began = Instant::now();
            let attempt = self.shared.attempt(path, key, binding, &body, deadline);
            let attempt = timeout_at(deadline, attempt).await;
            attempts.ended(began.elapsed());
            let failure = match attempt.unwrap_or(Attempt::Failed(Failure::Late)) {
                Attempt::Answered(answer) => {
                    self.shared.succeeded();
                    return Outcome::Answered(answer);
                }
                Attempt::Bind(fresh) => {
                    let left = deadline.saturating_duration_since(Instant::now());
                    if count > 0 && ran == Ran::No && !attempts.fits(left) {
                        return Outcome::failed(Failure::Late, ran);
                    }
                    binding = Some(fresh);
                    continue;
                }
                Attempt::Failed(failure) => failure,
            };
            match failure {
                // Final for this binding: a fresh one may run, here or elsewhere.
                Failure::Refused { ran: Ran::No, .. } => {
                    binding = None;
                    ran = Ran::No;
                }
                // Final: the agent that it was bound to is gone, or has no answer.
                Failure::Refused {
                    ran: Ran::Unknown, ..
                } => return Outcome::Unknown(failure),
                // An unbound request isn't run, whatever becomes of it.
                _ if binding.is_none() => {}
                // Nothing of this attempt got through; an earlier one may have.
                Failure::Connect | Failure::Rejected => {}
                _ => ran = Ran::Unknown,
            }
            let fits = |left| ran == Ran::Unknown || attempts.fits(left);
            if !self.shared.pause(failure, count, deadline, fits).await {
                return Outcome::failed(failure, ran);
            }
            count += 1;
        }
    }
}

impl Shared {
    async fn attempt(
        &self,
        path: &str,
        key: &Key,
        binding: Option<Binding>,
        body: &Bytes,
        deadline: Instant,
    ) -> Attempt {
        let mut request = self.request(Method::POST, path);
        let headers = request.headers_mut();
        headers.insert(header::IDEMPOTENCY_KEY, header::value(key));
        if let Some(binding) = binding {
            headers.insert(header::BINDING, header::value(binding));
        }
        let head = match self.send_any(request, body.clone(), Some(deadline)).await {
            Ok(head) => head,
            Err(failure) => return Attempt::Failed(failure),
        };
        let headers = head.response.headers();
        let ran: Option<Ran> = header::parsed(headers, &header::RAN);
        if head.response.status() == StatusCode::PRECONDITION_REQUIRED
            && ran == Some(Ran::No)
            && let Some(fresh) = header::parsed(headers, &header::BINDING)
        {
            return Attempt::Bind(fresh);
        }
        let Some(ran) = ran else {
            return match head.collect(deadline).await {
                Ok(answer) => Attempt::Answered(answer),
                Err(failure) => Attempt::Failed(failure),
            };
        };
        let retry_after = header::retry_after(headers);
        if ran == Ran::No
            && let Some(wait) = retry_after
        {
            head.lease.link().avoid(wait);
        }
        Attempt::Failed(Failure::Refused { ran, retry_after })
    }
}
