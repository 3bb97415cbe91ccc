//! HTTP response of the service, which a caller receives for a request.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// Complete HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}
