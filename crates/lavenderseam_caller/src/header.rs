//! HTTP header fields between callers and agents.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use http::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER as RETRY_AFTER_SECONDS};

/// Remaining time of the request, in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("lavenderseam-deadline-ms");
/// Binding of a non-idempotent request to an agent.
pub(crate) const BINDING: HeaderName = HeaderName::from_static("lavenderseam-binding");
/// Whether the request may have run, in responses of an agent that has none from the backend
/// server.
pub(crate) const RAN: HeaderName = HeaderName::from_static("lavenderseam-ran");
/// Time after which a request may be retried, in milliseconds.
const RETRY_AFTER: HeaderName = HeaderName::from_static("lavenderseam-retry-after-ms");
/// Idempotency key of a non-idempotent request.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Id of one attempt, echoed in the response.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// W3C trace context of the request.
pub(crate) const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");
/// 64-bit XXH3 hash of the body, in hexadecimal.
pub(crate) const CONTENT_HASH: HeaderName = HeaderName::from_static("x-content-hash");

/// Returns the value of a field, if it is present and can be parsed.
pub(crate) fn parse<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Returns the time after which a request may be retried, if the response has it.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let milliseconds = parse(headers, &RETRY_AFTER).map(Duration::from_millis);
    milliseconds.or_else(|| parse(headers, &RETRY_AFTER_SECONDS).map(Duration::from_secs))
}

/// Converts to a header value; empty if the text is not visible ASCII.
pub(crate) fn to_value(content: impl Display) -> HeaderValue {
    HeaderValue::try_from(content.to_string()).unwrap_or(HeaderValue::from_static(""))
}
