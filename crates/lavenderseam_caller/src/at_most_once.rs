//! Non-idempotent requests, which run at most once.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use lavenderseam_core::request::{AttemptTimes, Binding, ExecutionStatus, IdempotencyKey};
use tokio::time::{Instant, timeout_at};

use crate::caller::Shared;
use crate::{Caller, Failure, Outcome, Response, header};

/// Result of one attempt at a non-idempotent request.
enum AttemptResult {
    /// The response was received.
    Answered(Response),
    /// The request was not run; the next attempt must carry this binding.
    BindingIssued(Binding),
    /// The attempt failed.
    Failed(Failure),
}

impl Caller {
    /// Sends a non-idempotent POST request with a timeout, which includes all retries. The request
    /// runs at most once, however often it is sent under the same key.
    pub async fn post_once(
        &self,
        path: &str,
        key: &IdempotencyKey,
        body: Bytes,
        timeout: Duration,
    ) -> Outcome<Response> {
        let deadline = Instant::now() + timeout;
        let mut binding = None;
        let mut execution = ExecutionStatus::NotRun;
        let mut retries = 0;
        // A later attempt without an answer doesn't invalidate the advice of a refusal.
        let mut last_retry_after = None;
        let mut attempts = AttemptTimes::default();
        loop {
            let started = Instant::now();
            let attempt = self.shared.attempt(path, key, binding, &body, deadline);
            let attempt = timeout_at(deadline, attempt).await;
            attempts.record_attempt(started.elapsed());
            let failure = match attempt.unwrap_or(AttemptResult::Failed(Failure::DeadlineExceeded))
            {
                AttemptResult::Answered(response) => {
                    self.shared.record_success();
                    return Outcome::Answered(response);
                }
                AttemptResult::BindingIssued(new_binding) => {
                    let remaining = deadline.saturating_duration_since(Instant::now());
                    if retries > 0
                        && execution == ExecutionStatus::NotRun
                        && !attempts.fits_within(remaining)
                    {
                        let failure = Failure::DeadlineExceeded;
                        return Outcome::from_failure(failure, execution, last_retry_after);
                    }
                    binding = Some(new_binding);
                    continue;
                }
                AttemptResult::Failed(failure) => failure,
            };
            last_retry_after = failure.retry_after().or(last_retry_after);
            match failure {
                // The request will never run under this binding; it may run under a new one, on
                // this agent or another.
                Failure::Refused {
                    execution: ExecutionStatus::NotRun,
                    ..
                } => {
                    binding = None;
                    execution = ExecutionStatus::NotRun;
                }
                // Retries can't resolve this: the agent to which the request is bound is gone, or
                // has no response to return.
                Failure::Refused {
                    execution: ExecutionStatus::Unknown,
                    ..
                } => return Outcome::Unknown(failure),
                // A request without a binding is never run.
                _ if binding.is_none() => {}
                // This attempt didn't reach the agent; an earlier one may have run.
                Failure::ConnectFailed | Failure::Rejected => {}
                _ => execution = ExecutionStatus::Unknown,
            }
            let can_finish_in = |remaining| {
                execution == ExecutionStatus::Unknown || attempts.fits_within(remaining)
            };
            if !self
                .shared
                .wait_before_retry(failure, retries, deadline, can_finish_in)
                .await
            {
                return Outcome::from_failure(failure, execution, last_retry_after);
            }
            retries += 1;
        }
    }
}

impl Shared {
    /// Sends the request once.
    async fn attempt(
        &self,
        path: &str,
        key: &IdempotencyKey,
        binding: Option<Binding>,
        body: &Bytes,
        deadline: Instant,
    ) -> AttemptResult {
        let mut request = self.request(Method::POST, path);
        let headers = request.headers_mut();
        headers.insert(header::IDEMPOTENCY_KEY, header::to_value(key));
        if let Some(binding) = binding {
            headers.insert(header::BINDING, header::to_value(binding));
        }
        let head = match self
            .send_unchecked(request, body.clone(), Some(deadline))
            .await
        {
            Ok(head) => head,
            Err(failure) => return AttemptResult::Failed(failure),
        };
        let headers = head.response.headers();
        let execution: Option<ExecutionStatus> = header::parse(headers, &header::RAN);
        if head.response.status() == StatusCode::PRECONDITION_REQUIRED
            && execution == Some(ExecutionStatus::NotRun)
            && let Some(new_binding) = header::parse(headers, &header::BINDING)
        {
            return AttemptResult::BindingIssued(new_binding);
        }
        let Some(execution) = execution else {
            return match head.collect(deadline).await {
                Ok(response) => AttemptResult::Answered(response),
                Err(failure) => AttemptResult::Failed(failure),
            };
        };
        let retry_after = header::retry_after(headers);
        if execution == ExecutionStatus::NotRun
            && let Some(delay) = retry_after
        {
            head.guard.connection().exclude_for(delay);
        }
        AttemptResult::Failed(Failure::Refused {
            execution,
            retry_after,
        })
    }
}
