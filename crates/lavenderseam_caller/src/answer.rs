//! A whole answer.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Content.
    pub body: Bytes,
}
