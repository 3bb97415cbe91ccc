//! Reads one request and decides which way it takes.

use std::sync::Arc;

use bytes::Bytes;
use h3::server::RequestResolver;
use lavenderseam_quic::{self as quic, Watch};
use lavenderseam_telemetry::trace::{Hop, Span};

use super::exchange::{Exchange, Kind, trace};
use super::{Server, edit, repeatable};

/// Serves one request.
pub(super) async fn serve(
    server: Arc<Server>,
    resolver: RequestResolver<quic::Connection, Bytes>,
    watch: Watch,
) {
    let Ok((request, stream)) = resolver.resolve_request().await else {
        return;
    };
    let kind = Kind::new(&request);
    let _span = trace(&request).map(|trace| Span::new(Hop::Agent, "request", trace));
    let mut exchange = Exchange::new(server, stream, watch, &request, kind);
    exchange.server.metrics.count("requests", 1);
    let served = match kind {
        Kind::Repeatable | Kind::Feed => repeatable::serve(&mut exchange, request, kind).await,
        Kind::Edit => edit::serve(&mut exchange, request).await,
    };
    if served.is_ok() {
        exchange.received().await;
    }
}
