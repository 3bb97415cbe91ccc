//! Minimal HTTP/1.1 server.

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

use super::{Request, Service, ServiceResponse};

/// Maximum size of a request body; heartbeats are far smaller.
const MAX_REQUEST_BODY_BYTES: usize = 64 << 10;
/// Size of the read buffer of a connection: the minimum that hyper accepts.
const CONNECTION_BUFFER_BYTES: usize = 8 << 10;
/// Timeout for reading the header of a request, which includes idle time between requests.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed `accept`, so that the loop doesn't spin while file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Starts a server that passes requests at an address to a service; must run within a `LocalSet`.
///
/// # Errors
///
/// Fails if the server can't listen on the address.
pub async fn serve<S: Service + 'static>(address: SocketAddrV4, service: S) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let service = Rc::new(service);
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(handle_connection(stream, Rc::clone(&service)));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    });
    Ok(())
}

/// Serves the requests on one connection until it closes.
async fn handle_connection<S: Service + 'static>(stream: TcpStream, service: Rc<S>) {
    let handler = service_fn(move |request: http::Request<Incoming>| {
        let service = Rc::clone(&service);
        async move { Ok::<_, Infallible>(respond(request, service.as_ref()).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(CONNECTION_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), handler)
        .await;
    // A client that disconnects in the middle of a request affects no other connection.
    drop(served);
}

/// Reads the body of a request and returns the response of the service.
async fn respond(
    request: http::Request<Incoming>,
    service: &impl Service,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let path = parts
        .uri
        .path_and_query()
        .map_or_else(|| parts.uri.path().to_owned(), ToString::to_string);
    let service_response = match Limited::new(body, MAX_REQUEST_BODY_BYTES).collect().await {
        Ok(body) => service.handle(&Request {
            method: parts.method,
            path,
            body: body.to_bytes(),
        }),
        Err(_) => ServiceResponse::empty(StatusCode::PAYLOAD_TOO_LARGE),
    };
    let mut response = Response::new(Full::new(service_response.body));
    *response.status_mut() = service_response.status;
    let content_type = HeaderValue::from_static(service_response.content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
