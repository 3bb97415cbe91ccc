//! Answers that are held in memory.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};

/// A whole answer of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Answer {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

impl Answer {
    /// An answer from its parts.
    pub(crate) fn new(status: StatusCode, headers: &HeaderMap, body: &Bytes) -> Self {
        let field = |(name, value): (&HeaderName, &HeaderValue)| {
            (name.as_str().to_owned(), value.as_bytes().to_vec())
        };
        Self {
            status: status.as_u16(),
            headers: headers.iter().map(field).collect(),
            body: body.to_vec(),
        }
    }

    /// Size, in bytes.
    pub(crate) fn size(&self) -> usize {
        let fields = |(name, value): &(String, Vec<u8>)| name.len() + value.len();
        self.body.len() + self.headers.iter().map(fields).sum::<usize>()
    }

    /// Status.
    pub(crate) fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY)
    }

    /// The answer as a response.
    pub(crate) fn into_response(self) -> Response<Bytes> {
        let status = self.status();
        let mut response = Response::new(Bytes::from(self.body));
        *response.status_mut() = status;
        for (name, value) in self.headers {
            if let (Ok(name), Ok(value)) = (
                HeaderName::try_from(name.as_str()),
                HeaderValue::from_bytes(&value),
            ) {
                response.headers_mut().append(name, value);
            }
        }
        response
    }
}
