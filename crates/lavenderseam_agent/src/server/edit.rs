//! Requests that may not be repeated: at most once.
//!
//! The body is taken in whole before anything is sent, so a caller that breaks off leaves nothing
//! half done and is told truthfully that nothing ran. The run itself doesn't depend on the
//! caller's connection: if that is lost, the run goes on to its deadline and its answer waits in
//! the ledger for the repeat. Only a caller that gives the answer up cancels it.

use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use h3::error::{Code, StreamError};
use http::{Request, StatusCode, header as field};
use http_body_util::{BodyExt, Full, Limited};
use lavenderseam_core::admission::Outcome;
use lavenderseam_core::request::{Binding, Inquiry, Key, Ran, Refusal, Stage};
use lavenderseam_telemetry::trace::{Hop, Span};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::exchange::{Exchange, Gone, forwarded, gone, passed, trace};
use super::{Server, reply};
use crate::answer::Answer;
use crate::gauge::Permit;
use crate::header;
use crate::ledger::{Run, Start};

/// Longest body of a request that may not be repeated, and of its answer, in bytes.
const BODY_LIMIT: usize = 4 * 1024 * 1024;

/// How a run ended for the caller that waits for it.
enum Ended {
    /// With the backend server's answer.
    Answered(Answer),
    /// Without one.
    Refused(StatusCode, Refusal),
}

/// Serves a request that may not be repeated.
pub(super) async fn serve(
    exchange: &mut Exchange,
    request: Request<()>,
) -> Result<(), StreamError> {
    let Some(key) = header::parsed::<Key>(request.headers(), &header::IDEMPOTENCY_KEY) else {
        return held(exchange, StatusCode::BAD_REQUEST).await;
    };
    let body = match body(exchange, &request).await {
        Ok(body) => body,
        Err(status) => return held(exchange, status).await,
    };
    let Some(binding) = header::parsed::<Binding>(request.headers(), &header::BINDING) else {
        return serve_unbound(exchange, &key).await;
    };
    if !exchange.server.ledger.issued(&binding) {
        return serve_foreign(exchange, &key, &binding).await;
    }
    let ledger = Arc::clone(&exchange.server.ledger);
    let start = tokio::select! {
        start = ledger.begin(&key, &binding) => start,
        gone = exchange.gone() => return give_up(exchange, gone).await,
    };
    match start {
        Start::Run(run) => start_run(exchange, run, request, body).await,
        Start::Settled(inquiry) => replay(exchange, inquiry).await,
    }
}

/// Refuses a request of which nothing has been sent on.
async fn held(exchange: &mut Exchange, status: StatusCode) -> Result<(), StreamError> {
    exchange.refuse(status, &Refusal::new(Stage::Held)).await
}

/// Takes the body in whole.
async fn body(exchange: &mut Exchange, request: &Request<()>) -> Result<Bytes, StatusCode> {
    let length: Option<usize> = header::parsed(request.headers(), &field::CONTENT_LENGTH);
    let mut body = BytesMut::new();
    loop {
        let data = tokio::select! {
            data = exchange.stream.recv_data() => data,
            () = passed(exchange.deadline) => return Err(StatusCode::REQUEST_TIMEOUT),
        };
        let Ok(data) = data else {
            return Err(StatusCode::BAD_REQUEST);
        };
        let Some(data) = data else {
            break;
        };
        if body.len() + data.remaining() > BODY_LIMIT {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        body.extend_from_slice(data.chunk());
    }
    if length.is_some_and(|length| length != body.len()) {
        return Err(StatusCode::BAD_REQUEST);
    }
    Ok(body.freeze())
}

/// Sends a binding, unless the key has been seen here.
async fn serve_unbound(exchange: &mut Exchange, key: &Key) -> Result<(), StreamError> {
    let ledger = Arc::clone(&exchange.server.ledger);
    let recalled = tokio::select! {
        recalled = ledger.recall(key) => recalled,
        gone = exchange.gone() => return give_up(exchange, gone).await,
    };
    if let Some(inquiry) = recalled {
        return replay(exchange, inquiry).await;
    }
    let refusal = Refusal::new(Stage::Held);
    let mut response = reply::refusal(StatusCode::PRECONDITION_REQUIRED, &refusal);
    let binding = header::value(ledger.bind());
    response.headers_mut().insert(header::BINDING, binding);
    exchange.send(response).await
}

/// Asks the agent that the request is bound to; it is never run here.
async fn serve_foreign(
    exchange: &mut Exchange,
    key: &Key,
    binding: &Binding,
) -> Result<(), StreamError> {
    let server = Arc::clone(&exchange.server);
    let inquiry = tokio::select! {
        inquiry = server.inquirer.ask(key, binding) => inquiry,
        gone = exchange.gone() => return give_up(exchange, gone).await,
    };
    replay(exchange, inquiry).await
}

/// Answers from what is known.
async fn replay(exchange: &mut Exchange, inquiry: Inquiry<Answer>) -> Result<(), StreamError> {
    match inquiry {
        Inquiry::Finished(answer) => exchange.send(answer.into_response()).await,
        Inquiry::NotRun => refuse(exchange, Ran::No).await,
        Inquiry::Unknown | Inquiry::Running => refuse(exchange, Ran::Unknown).await,
    }
}

async fn refuse(exchange: &mut Exchange, ran: Ran) -> Result<(), StreamError> {
    let refusal = Refusal {
        ran,
        retry_after: None,
    };
    exchange.refuse(StatusCode::CONFLICT, &refusal).await
}

/// Ends the wait for a run that isn't this request's.
async fn give_up(exchange: &mut Exchange, gone: Gone) -> Result<(), StreamError> {
    if gone == Gone::Late {
        let refusal = Refusal::new(Stage::Sent);
        return exchange.refuse(StatusCode::GATEWAY_TIMEOUT, &refusal).await;
    }
    exchange.stream.stop_stream(Code::H3_REQUEST_CANCELLED);
    Ok(())
}

async fn start_run(
    exchange: &mut Exchange,
    run: Run,
    request: Request<()>,
    body: Bytes,
) -> Result<(), StreamError> {
    let permit = match exchange.server.gauge.acquire() {
        Ok(permit) => permit,
        Err(full) => {
            run.withdraw();
            return exchange.refuse_full(full.retry_after).await;
        }
    };
    let _span = trace(&request).map(|trace| Span::new(Hop::Backend, "run", trace));
    let request = forwarded(exchange, request, body);
    let (cancel, cancelled) = oneshot::channel();
    let mut running = tokio::spawn(execute(
        Arc::clone(&exchange.server),
        run,
        permit,
        request,
        exchange.deadline,
        cancelled,
    ));
    let ended = tokio::select! {
        ended = &mut running => ended.ok(),
        gone = gone(&mut exchange.watch) => {
            if gone == Gone::Cancelled {
                let _ = cancel.send(());
            }
            None
        }
    };
    match ended {
        Some(Ended::Answered(answer)) => exchange.send(answer.into_response()).await,
        Some(Ended::Refused(status, refusal)) => exchange.refuse(status, &refusal).await,
        None => {
            exchange.stream.stop_stream(Code::H3_INTERNAL_ERROR);
            Ok(())
        }
    }
}

/// Runs a request to its end, whatever becomes of the caller's connection.
async fn execute(
    server: Arc<Server>,
    run: Run,
    mut permit: Permit,
    request: Request<Full<Bytes>>,
    deadline: Option<Instant>,
    cancelled: oneshot::Receiver<()>,
) -> Ended {
    let _guard = server.flows.guard();
    tokio::select! {
        ended = attempt(&server, run, &mut permit, request) => ended,
        () = passed(deadline) => {
            permit.end(Outcome::Late);
            Ended::Refused(StatusCode::GATEWAY_TIMEOUT, Refusal::new(Stage::Sent))
        }
        () = wait(cancelled) => {
            Ended::Refused(StatusCode::BAD_GATEWAY, Refusal::new(Stage::Sent))
        }
    }
}

/// Resolves when the caller has cancelled; a dropped sender has not.
async fn wait(cancelled: oneshot::Receiver<()>) {
    if cancelled.await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn attempt(
    server: &Server,
    run: Run,
    permit: &mut Permit,
    request: Request<Full<Bytes>>,
) -> Ended {
    let response = match server.backend.send(request).await {
        Ok(response) => response,
        Err(error) => {
            permit.end(error.outcome());
            return failed(run, error.stage());
        }
    };
    permit.answered();
    let (parts, body) = response.into_parts();
    let Ok(body) = Limited::new(body, BODY_LIMIT).collect().await else {
        permit.end(Outcome::Failed);
        return failed(run, Stage::Sent);
    };
    let mut head = reply::head(parts.status, parts.headers);
    if head.status() == StatusCode::SERVICE_UNAVAILABLE {
        reply::mark_unproved(&mut head);
    }
    let answer = Answer::new(head.status(), head.headers(), &body.to_bytes());
    if head.status() != StatusCode::SERVICE_UNAVAILABLE {
        permit.succeed();
        run.finish(answer.clone());
        return Ended::Answered(answer);
    }
    permit.end(Outcome::Refused);
    match header::parsed(head.headers(), &header::RAN) {
        Some(Ran::No) => run.withdraw(),
        _ => run.finish(answer.clone()),
    }
    Ended::Answered(answer)
}

/// Ends a run without an answer.
fn failed(run: Run, stage: Stage) -> Ended {
    if stage.ran() == Ran::No {
        run.withdraw();
    }
    Ended::Refused(StatusCode::BAD_GATEWAY, Refusal::new(stage))
}
