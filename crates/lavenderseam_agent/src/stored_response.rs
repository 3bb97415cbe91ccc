//! Complete backend responses that are kept in memory and sent to other agents.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};

/// A complete response of a backend server: status, header fields and body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredResponse {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

impl StoredResponse {
    /// Copies the parts of a response.
    pub(crate) fn new(status: StatusCode, headers: &HeaderMap, body: &Bytes) -> Self {
        let owned_field = |(name, value): (&HeaderName, &HeaderValue)| {
            (name.as_str().to_owned(), value.as_bytes().to_vec())
        };
        Self {
            status: status.as_u16(),
            headers: headers.iter().map(owned_field).collect(),
            body: body.to_vec(),
        }
    }

    /// Returns the size of the header fields and the body, in bytes.
    pub(crate) fn size(&self) -> usize {
        let field_size = |(name, value): &(String, Vec<u8>)| name.len() + value.len();
        self.body.len() + self.headers.iter().map(field_size).sum::<usize>()
    }

    /// Returns the response's status, or 502 if the stored number is no valid status.
    pub(crate) fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY)
    }

    /// Converts the stored copy into a response; header fields that aren't valid HTTP are left out.
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
