//! HTTP header fields exchanged between callers, agents and backend servers.

use std::str::FromStr;
use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use lavenderseam_core::request::Refusal;

/// Time left until the request's deadline, in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("lavenderseam-deadline-ms");
/// Names the agent process that alone may run a non-idempotent request.
pub(crate) const BINDING: HeaderName = HeaderName::from_static("lavenderseam-binding");
/// States whether the backend server may have run a request that the agent refused.
pub(crate) const MAY_HAVE_RUN: HeaderName = HeaderName::from_static("lavenderseam-ran");
/// Time to wait before a retry, in milliseconds; `retry-after` has it rounded up to seconds.
pub(crate) const RETRY_AFTER: HeaderName = HeaderName::from_static("lavenderseam-retry-after-ms");
/// Identifies a non-idempotent request across its retries.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Identifies one attempt of a request; the response echoes it.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// W3C trace context of the request.
pub(crate) const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Header fields that apply to a single HTTP connection and aren't forwarded (RFC 9110).
const HOP_BY_HOP_FIELDS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authenticate",
];

/// Removes the header fields that apply to a single HTTP connection.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    for name in HOP_BY_HOP_FIELDS {
        headers.remove(name);
    }
}

/// Returns the parsed value of a header field, or `None` if it is absent or invalid.
pub(crate) fn parse_field<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Adds the header fields that describe a refusal.
pub(crate) fn insert_refusal(headers: &mut HeaderMap, refusal: &Refusal) {
    headers.insert(MAY_HAVE_RUN, field_value(refusal.execution));
    if let Some(wait) = refusal.retry_after {
        headers.insert(header::RETRY_AFTER, field_value(ceil_seconds(wait)));
        headers.insert(RETRY_AFTER, field_value(wait.as_millis()));
    }
}

/// Formats a header value; the result is empty if the text isn't a valid header value.
pub(crate) fn field_value(content: impl std::fmt::Display) -> HeaderValue {
    HeaderValue::try_from(content.to_string()).unwrap_or(HeaderValue::from_static(""))
}

/// Rounds a duration up to whole seconds.
fn ceil_seconds(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}
