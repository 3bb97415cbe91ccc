//! Logs a few lines and a span, as text or, with the argument `json`, as JSON.

use lavenderseam_telemetry::trace::{Hop, Id, Span};
use lavenderseam_telemetry::{Log, log};

const LOG: Log = Log::new("example");

fn main() {
    let format = match std::env::args().nth(1).as_deref() {
        Some("json") => log::Format::Json,
        _ => log::Format::Text,
    };
    let level = log::Level::Debug;
    log::init(log::Settings { level, format });
    let trace = Id([7; 16]);
    let span = Span::new(Hop::Balancer, "forward", trace);
    LOG.info("started");
    LOG.with_trace(trace).debug("chose a \"target\"");
    LOG.warn("the store is unreachable");
    span.end();
}
