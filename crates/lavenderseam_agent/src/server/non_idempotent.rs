//! Runs non-idempotent requests at most once.
//!
//! The body is read completely before anything is sent to the backend server, so a caller that
//! disconnects earlier can be informed that nothing has run. The execution doesn't depend on the
//! caller's connection: if that is lost, the request runs on until its deadline, and its response
//! is kept in the idempotency store for the retry. Only a caller that cancels the request stops it.

use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use h3::error::{Code, StreamError};
use http::{Request, StatusCode, header as field};
use http_body_util::{BodyExt, Full, Limited};
use lavenderseam_core::admission::Outcome;
use lavenderseam_core::request::{
    Binding, ExecutionStatus, IdempotencyKey, KnownOutcome, Refusal, Stage,
};
use lavenderseam_telemetry::trace::{Hop, Span};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::exchange::{
    Abort, Exchange, backend_request, cancelled_or_lost, deadline_passed, trace_id,
};
use super::{Server, reply};
use crate::concurrency_limiter::Permit;
use crate::header;
use crate::idempotency_store::{Attempt, Execution};
use crate::stored_response::StoredResponse;

/// Maximum body size of a non-idempotent request and of its response, in bytes.
const BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Result of an execution, for the caller that waits for it.
enum ExecutionResult {
    /// The backend server's response.
    Response(StoredResponse),
    /// No response; the agent refuses the request with this status.
    Refused(StatusCode, Refusal),
}

/// Serves a non-idempotent request.
pub(super) async fn serve(
    exchange: &mut Exchange,
    request: Request<()>,
) -> Result<(), StreamError> {
    let Some(key) =
        header::parse_field::<IdempotencyKey>(request.headers(), &header::IDEMPOTENCY_KEY)
    else {
        return refuse_unsent(exchange, StatusCode::BAD_REQUEST).await;
    };
    let body = match read_body(exchange, &request).await {
        Ok(body) => body,
        Err(status) => return refuse_unsent(exchange, status).await,
    };
    let Some(binding) = header::parse_field::<Binding>(request.headers(), &header::BINDING) else {
        return reply_to_unbound(exchange, &key).await;
    };
    if !exchange.server.idempotency.has_issued(&binding) {
        return reply_from_bound_agent(exchange, &key, &binding).await;
    }
    let idempotency = Arc::clone(&exchange.server.idempotency);
    let attempt = tokio::select! {
        attempt = idempotency.begin(&key, &binding) => attempt,
        abort = exchange.aborted() => return stop_waiting(exchange, abort).await,
    };
    match attempt {
        Attempt::Run(execution) => execute_and_reply(exchange, execution, request, body).await,
        Attempt::Known(outcome) => reply_with_outcome(exchange, outcome).await,
    }
}

/// Refuses a request of which nothing has been sent to the backend server.
async fn refuse_unsent(exchange: &mut Exchange, status: StatusCode) -> Result<(), StreamError> {
    exchange.refuse(status, &Refusal::new(Stage::NotSent)).await
}

/// Reads the complete request body.
async fn read_body(exchange: &mut Exchange, request: &Request<()>) -> Result<Bytes, StatusCode> {
    let length: Option<usize> = header::parse_field(request.headers(), &field::CONTENT_LENGTH);
    let mut body = BytesMut::new();
    loop {
        let data = tokio::select! {
            data = exchange.stream.recv_data() => data,
            () = deadline_passed(exchange.deadline) => return Err(StatusCode::REQUEST_TIMEOUT),
        };
        let Ok(data) = data else {
            return Err(StatusCode::BAD_REQUEST);
        };
        let Some(data) = data else {
            break;
        };
        if body.len() + data.remaining() > BODY_LIMIT_BYTES {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        body.extend_from_slice(data.chunk());
    }
    if length.is_some_and(|length| length != body.len()) {
        return Err(StatusCode::BAD_REQUEST);
    }
    Ok(body.freeze())
}

/// Replies with a new binding, or with the known outcome if this agent has seen the key.
async fn reply_to_unbound(
    exchange: &mut Exchange,
    key: &IdempotencyKey,
) -> Result<(), StreamError> {
    let idempotency = Arc::clone(&exchange.server.idempotency);
    let recalled = tokio::select! {
        recalled = idempotency.recall_unbound(key) => recalled,
        abort = exchange.aborted() => return stop_waiting(exchange, abort).await,
    };
    if let Some(outcome) = recalled {
        return reply_with_outcome(exchange, outcome).await;
    }
    let refusal = Refusal::new(Stage::NotSent);
    let mut response = reply::refusal_response(StatusCode::PRECONDITION_REQUIRED, &refusal);
    let binding = header::field_value(idempotency.issue_binding());
    response.headers_mut().insert(header::BINDING, binding);
    exchange.send(response).await
}

/// Replies with the outcome from the agent that the request is bound to; never runs it here.
async fn reply_from_bound_agent(
    exchange: &mut Exchange,
    key: &IdempotencyKey,
    binding: &Binding,
) -> Result<(), StreamError> {
    let server = Arc::clone(&exchange.server);
    let outcome = tokio::select! {
        outcome = server.outcome_client.query(key, binding) => outcome,
        abort = exchange.aborted() => return stop_waiting(exchange, abort).await,
    };
    reply_with_outcome(exchange, outcome).await
}

/// Replies with the outcome of an earlier attempt.
async fn reply_with_outcome(
    exchange: &mut Exchange,
    outcome: KnownOutcome<StoredResponse>,
) -> Result<(), StreamError> {
    match outcome {
        KnownOutcome::Finished(stored) => exchange.send(stored.into_response()).await,
        KnownOutcome::NotRun => refuse_conflict(exchange, ExecutionStatus::NotRun).await,
        KnownOutcome::Unknown | KnownOutcome::Running => {
            refuse_conflict(exchange, ExecutionStatus::Unknown).await
        }
    }
}

/// Refuses a retry of a request whose earlier attempt left no response.
async fn refuse_conflict(
    exchange: &mut Exchange,
    execution: ExecutionStatus,
) -> Result<(), StreamError> {
    let refusal = Refusal {
        execution,
        retry_after: None,
    };
    exchange.refuse(StatusCode::CONFLICT, &refusal).await
}

/// Stops waiting for the outcome of another attempt.
async fn stop_waiting(exchange: &mut Exchange, abort: Abort) -> Result<(), StreamError> {
    if abort == Abort::Deadline {
        let refusal = Refusal::new(Stage::PossiblySent);
        return exchange.refuse(StatusCode::GATEWAY_TIMEOUT, &refusal).await;
    }
    exchange.stream.stop_stream(Code::H3_REQUEST_CANCELLED);
    Ok(())
}

/// Executes the request in a task of its own and sends the result to the caller.
async fn execute_and_reply(
    exchange: &mut Exchange,
    execution: Execution,
    request: Request<()>,
    body: Bytes,
) -> Result<(), StreamError> {
    let permit = match exchange.server.limiter.acquire() {
        Ok(permit) => permit,
        Err(full) => {
            execution.discard();
            return exchange.shed_load(full.retry_after).await;
        }
    };
    let _span = trace_id(&request).map(|trace| Span::new(Hop::Backend, "run", trace));
    let request = backend_request(exchange, request, body);
    let (cancel, cancelled) = oneshot::channel();
    let mut running = tokio::spawn(execute(
        Arc::clone(&exchange.server),
        execution,
        permit,
        request,
        exchange.deadline,
        cancelled,
    ));
    let result = tokio::select! {
        result = &mut running => result.ok(),
        abort = cancelled_or_lost(&mut exchange.stopped) => {
            if abort == Abort::Cancel {
                let _ = cancel.send(());
            }
            None
        }
    };
    match result {
        Some(ExecutionResult::Response(stored)) => exchange.send(stored.into_response()).await,
        Some(ExecutionResult::Refused(status, refusal)) => exchange.refuse(status, &refusal).await,
        None => {
            exchange.stream.stop_stream(Code::H3_INTERNAL_ERROR);
            Ok(())
        }
    }
}

/// Executes a request until it ends, independently of the caller's connection.
async fn execute(
    server: Arc<Server>,
    execution: Execution,
    mut permit: Permit,
    request: Request<Full<Bytes>>,
    deadline: Option<Instant>,
    cancelled: oneshot::Receiver<()>,
) -> ExecutionResult {
    let _guard = server.flows.shutdown_guard();
    tokio::select! {
        result = send_and_record(&server, execution, &mut permit, request) => result,
        () = deadline_passed(deadline) => {
            permit.release(Outcome::DeadlineExceeded);
            ExecutionResult::Refused(StatusCode::GATEWAY_TIMEOUT, Refusal::new(Stage::PossiblySent))
        }
        () = cancellation(cancelled) => {
            ExecutionResult::Refused(StatusCode::BAD_GATEWAY, Refusal::new(Stage::PossiblySent))
        }
    }
}

/// Resolves when the caller cancels; a dropped sender is no cancellation.
async fn cancellation(cancelled: oneshot::Receiver<()>) {
    if cancelled.await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Sends the request to the backend server and records the response.
async fn send_and_record(
    server: &Server,
    execution: Execution,
    permit: &mut Permit,
    request: Request<Full<Bytes>>,
) -> ExecutionResult {
    let response = match server.backend.send(request).await {
        Ok(response) => response,
        Err(error) => {
            permit.release(error.outcome());
            return refuse_failed(execution, error.stage());
        }
    };
    permit.record_first_byte();
    let (parts, body) = response.into_parts();
    let Ok(body) = Limited::new(body, BODY_LIMIT_BYTES).collect().await else {
        permit.release(Outcome::Failed);
        return refuse_failed(execution, Stage::PossiblySent);
    };
    let mut head = reply::response_head(parts.status, parts.headers);
    if head.status() == StatusCode::SERVICE_UNAVAILABLE {
        reply::mark_possibly_run(&mut head);
    }
    let stored = StoredResponse::new(head.status(), head.headers(), &body.to_bytes());
    if head.status() != StatusCode::SERVICE_UNAVAILABLE {
        permit.release_completed();
        execution.complete(stored.clone());
        return ExecutionResult::Response(stored);
    }
    permit.release(Outcome::Refused);
    match header::parse_field(head.headers(), &header::MAY_HAVE_RUN) {
        Some(ExecutionStatus::NotRun) => execution.discard(),
        _ => execution.complete(stored.clone()),
    }
    ExecutionResult::Response(stored)
}

/// Ends an execution that got no response.
fn refuse_failed(execution: Execution, stage: Stage) -> ExecutionResult {
    if stage.execution() == ExecutionStatus::NotRun {
        execution.discard();
    }
    ExecutionResult::Refused(StatusCode::BAD_GATEWAY, Refusal::new(stage))
}
