//! Header fields between callers and agents.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use http::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER as RETRY_AFTER_SECONDS};

/// Time left for the request, in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("lavenderseam-deadline-ms");
/// The agent that a request is bound to.
pub(crate) const BINDING: HeaderName = HeaderName::from_static("lavenderseam-binding");
/// Whether a request without an answer of its own may have run.
pub(crate) const RAN: HeaderName = HeaderName::from_static("lavenderseam-ran");
/// When to come back, in milliseconds.
const RETRY_AFTER: HeaderName = HeaderName::from_static("lavenderseam-retry-after-ms");
/// Identity of a request that may not be repeated.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Identity of one attempt, echoed in its answer.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Trace of the request.
pub(crate) const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");
/// Hash of the content, xxh3 in hexadecimal.
pub(crate) const CONTENT_HASH: HeaderName = HeaderName::from_static("x-content-hash");

/// A field's value, if it is present and can be parsed.
pub(crate) fn parsed<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// When to come back, if an answer names it.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let exact = parsed(headers, &RETRY_AFTER).map(Duration::from_millis);
    exact.or_else(|| parsed(headers, &RETRY_AFTER_SECONDS).map(Duration::from_secs))
}

/// A value that prints as visible ASCII.
pub(crate) fn value(content: impl Display) -> HeaderValue {
    HeaderValue::try_from(content.to_string()).unwrap_or(HeaderValue::from_static(""))
}
