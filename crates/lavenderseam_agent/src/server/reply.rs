//! Writes complete responses and those that the agent generates.

use bytes::Bytes;
use h3::error::StreamError;
use http::{HeaderMap, Response, StatusCode, header as field};
use lavenderseam_core::request::{Refusal, Stage};
use lavenderseam_quic as quic;

use crate::header;

/// HTTP/3 stream of one request.
pub(super) type RequestStream = h3::server::RequestStream<quic::BidiStream<Bytes>, Bytes>;

/// Builds an empty response that states why the agent refuses the request.
pub(super) fn refusal_response(status: StatusCode, refusal: &Refusal) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    header::insert_refusal(response.headers_mut(), refusal);
    response
}

/// Sends a complete response and finishes the stream.
pub(super) async fn send_complete(
    stream: &mut RequestStream,
    response: Response<Bytes>,
) -> Result<(), StreamError> {
    let (mut parts, body) = response.into_parts();
    let length = header::field_value(body.len());
    parts.headers.insert(field::CONTENT_LENGTH, length);
    stream
        .send_response(Response::from_parts(parts, ()))
        .await?;
    if !body.is_empty() {
        stream.send_data(body).await?;
    }
    stream.finish().await
}

/// Builds the response head for the caller from that of the backend server.
pub(super) fn response_head(status: StatusCode, mut headers: HeaderMap) -> Response<()> {
    header::remove_hop_by_hop(&mut headers);
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Marks a 503 response of the backend server as possibly run, unless it states itself whether the
/// request ran: the backend server may have failed while it ran the request.
pub(super) fn mark_possibly_run(head: &mut Response<()>) {
    if !head.headers().contains_key(header::MAY_HAVE_RUN) {
        header::insert_refusal(head.headers_mut(), &Refusal::new(Stage::PossiblySent));
    }
}
