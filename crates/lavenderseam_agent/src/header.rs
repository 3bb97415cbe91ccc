//! Header fields between callers, agents and backend servers.

use std::str::FromStr;
use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use lavenderseam_core::request::Refusal;

/// Time left for the request, in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("lavenderseam-deadline-ms");
/// The agent that a request is bound to.
pub(crate) const BINDING: HeaderName = HeaderName::from_static("lavenderseam-binding");
/// Whether a request without an answer of its own may have run.
pub(crate) const RAN: HeaderName = HeaderName::from_static("lavenderseam-ran");
/// When to come back, in milliseconds; `retry-after` holds the same rounded up to seconds.
pub(crate) const RETRY_AFTER: HeaderName = HeaderName::from_static("lavenderseam-retry-after-ms");
/// Identity of a request that may not be repeated.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Identity of one attempt, echoed in its answer.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Trace of the request.
pub(crate) const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Fields that concern one connection only.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authenticate",
];

/// Removes the fields that concern one connection only.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// A field's value, if it is present and can be parsed.
pub(crate) fn parsed<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Adds what a refusal says.
pub(crate) fn add_refusal(headers: &mut HeaderMap, refusal: &Refusal) {
    headers.insert(RAN, value(refusal.ran));
    if let Some(wait) = refusal.retry_after {
        headers.insert(header::RETRY_AFTER, value(seconds(wait)));
        headers.insert(RETRY_AFTER, value(wait.as_millis()));
    }
}

/// A value that prints as visible ASCII.
pub(crate) fn value(content: impl std::fmt::Display) -> HeaderValue {
    HeaderValue::try_from(content.to_string()).unwrap_or(HeaderValue::from_static(""))
}

fn seconds(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}
