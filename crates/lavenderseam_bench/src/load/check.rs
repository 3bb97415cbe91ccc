//! Checks that a response is complete and belongs to its request.

use bytes::Bytes;
use http::StatusCode;
use serde::Deserialize;

use super::client::Response;
use crate::stand_ins::backend::content;

/// Defect of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// The response comes from another service.
    WrongService,
    /// The response has the wrong content or length, or belongs to another request.
    InvalidContent,
}

/// JSON body of the response to a lookup or an edit.
#[derive(Deserialize)]
struct ResponseBody {
    service: String,
    /// Number of the lookup that the response belongs to.
    #[serde(default)]
    n: Option<u64>,
    /// Id of the edit that the response belongs to.
    #[serde(default)]
    id: Option<String>,
}

/// Checks the response to a lookup.
pub(crate) fn lookup(response: &Response, service: &str, n: u64) -> Result<(), ResponseError> {
    let body = parse_body(&response.body)?;
    if body.service != service {
        return Err(ResponseError::WrongService);
    }
    (body.n == Some(n))
        .then_some(())
        .ok_or(ResponseError::InvalidContent)
}

/// Checks the response to an edit.
pub(crate) fn edit(response: &Response, service: &str, id: &str) -> Result<(), ResponseError> {
    let body = parse_body(&response.body)?;
    if body.service != service {
        return Err(ResponseError::WrongService);
    }
    let is_own = body.id.as_deref() == Some(id);
    is_own.then_some(()).ok_or(ResponseError::InvalidContent)
}

/// Checks a download against the file content that the service serves, and against the hash in the
/// `x-content-hash` header if there is one.
pub(crate) fn download(
    response: &Response,
    service: &str,
    other_services: &[&str],
    bytes: usize,
) -> Result<(), ResponseError> {
    let hash = content::hash(&response.body);
    if response.body.len() == bytes && hash == content::hash(&content::file(service, bytes)) {
        let header = response.headers.get("x-content-hash");
        let agrees = header.is_none_or(|value| value.as_bytes() == hash.as_bytes());
        return agrees.then_some(()).ok_or(ResponseError::InvalidContent);
    }
    let is_of_service = |other: &&str| hash == content::hash(&content::file(other, bytes));
    if other_services.iter().any(is_of_service) {
        return Err(ResponseError::WrongService);
    }
    Err(ResponseError::InvalidContent)
}

/// Returns `true` if the backend server processed the request, `false` if it shed the request.
pub(crate) fn is_ok(response: &Response) -> bool {
    response.status == StatusCode::OK
}

/// Parses the JSON body of the response to a lookup or an edit.
fn parse_body(bytes: &Bytes) -> Result<ResponseBody, ResponseError> {
    serde_json::from_slice(bytes).map_err(|_| ResponseError::InvalidContent)
}
