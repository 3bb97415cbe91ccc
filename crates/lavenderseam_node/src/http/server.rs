//! A small server.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use super::{Answer, Request, Service};

/// Largest body that is read, in bytes: far more than a heartbeat has.
const BODY_LIMIT: usize = 64 << 10;
/// Buffer of a connection, in bytes: the least that the library takes.
const BUFFER: usize = 8 << 10;
/// How long a connection may take to send a request's head, and may be silent between requests.
const HEAD_LIMIT: Duration = Duration::from_secs(10);
/// Wait after a connection couldn't be accepted, so that a lack of descriptors doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Answers requests at an address; must run within a `LocalSet`.
///
/// # Errors
///
/// Fails if the address can't be listened on.
pub async fn serve<S: Service + 'static>(address: SocketAddrV4, service: S) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let service = Rc::new(service);
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(connection(stream, Rc::clone(&service)));
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    });
    Ok(())
}

async fn connection<S: Service + 'static>(stream: TcpStream, service: Rc<S>) {
    let answer = service_fn(move |request: http::Request<Incoming>| {
        let service = Rc::clone(&service);
        async move { Ok::<_, Infallible>(respond(request, service.as_ref()).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_LIMIT)
        .max_buf_size(BUFFER)
        .serve_connection(TokioIo::new(stream), answer)
        .await;
    // A peer that goes away in the middle of a request concerns nobody else.
    drop(served);
}

async fn respond(
    request: http::Request<Incoming>,
    service: &impl Service,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let path = head
        .uri
        .path_and_query()
        .map_or_else(|| head.uri.path().to_owned(), ToString::to_string);
    let answer = match Limited::new(body, BODY_LIMIT).collect().await {
        Ok(body) => service.answer(&Request {
            method: head.method,
            path,
            body: body.to_bytes(),
        }),
        Err(_) => Answer::empty(StatusCode::PAYLOAD_TOO_LARGE),
    };
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    let content = HeaderValue::from_static(answer.content);
    response.headers_mut().insert(CONTENT_TYPE, content);
    response
}
