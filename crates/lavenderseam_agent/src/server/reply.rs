//! Writes answers that are whole, and answers of the agent's own.

use bytes::Bytes;
use h3::error::StreamError;
use http::{HeaderMap, Response, StatusCode, header as field};
use lavenderseam_core::request::{Refusal, Stage};
use lavenderseam_quic as quic;

use crate::header;

/// One request's stream.
pub(super) type Stream = h3::server::RequestStream<quic::Stream<Bytes>, Bytes>;

/// A response without content on the agent's own account.
pub(super) fn refusal(status: StatusCode, refusal: &Refusal) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    header::add_refusal(response.headers_mut(), refusal);
    response
}

/// Sends a whole response and ends the stream.
pub(super) async fn send(
    stream: &mut Stream,
    response: Response<Bytes>,
) -> Result<(), StreamError> {
    let (mut parts, body) = response.into_parts();
    let length = header::value(body.len());
    parts.headers.insert(field::CONTENT_LENGTH, length);
    stream
        .send_response(Response::from_parts(parts, ()))
        .await?;
    if !body.is_empty() {
        stream.send_data(body).await?;
    }
    stream.finish().await
}

/// The head of a backend server's answer as the caller gets it.
pub(super) fn head(status: StatusCode, mut headers: HeaderMap) -> Response<()> {
    header::strip_hop_by_hop(&mut headers);
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Marks a refusal of the backend server's own: unless it says itself that it didn't run the
/// request, it may have, for it may have failed while it ran it.
pub(super) fn mark_unproved(head: &mut Response<()>) {
    if !head.headers().contains_key(header::RAN) {
        header::add_refusal(head.headers_mut(), &Refusal::new(Stage::Sent));
    }
}
