//! Reads one request and dispatches it by kind.

use std::sync::Arc;

use bytes::Bytes;
use h3::server::RequestResolver;
use lavenderseam_quic::{self as quic, Stopped};
use lavenderseam_telemetry::trace::{Hop, Span};

use super::exchange::{Exchange, Kind, trace_id};
use super::{Server, idempotent, non_idempotent};

/// Reads one request, serves it and waits until the caller has received the response.
pub(super) async fn serve(
    server: Arc<Server>,
    resolver: RequestResolver<quic::Connection, Bytes>,
    stopped: Stopped,
) {
    let Ok((request, stream)) = resolver.resolve_request().await else {
        return;
    };
    let kind = Kind::new(&request);
    let _span = trace_id(&request).map(|trace| Span::new(Hop::Agent, "request", trace));
    let mut exchange = Exchange::new(server, stream, stopped, &request, kind);
    exchange.server.metrics.count("requests", 1);
    let served = match kind {
        Kind::Idempotent | Kind::Sse => idempotent::serve(&mut exchange, request, kind).await,
        Kind::NonIdempotent => non_idempotent::serve(&mut exchange, request).await,
    };
    if served.is_ok() {
        exchange.wait_until_received().await;
    }
}
