//! Whether an answer is whole and belongs to its request.

use bytes::Bytes;
use http::StatusCode;
use serde::Deserialize;

use super::client::Answer;
use crate::standins::backend::content;

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It comes from another service.
    Service,
    /// Its content, length or request is wrong.
    Content,
}

/// What an answer in JSON says of itself.
#[derive(Deserialize)]
struct Said {
    service: String,
    #[serde(default)]
    n: Option<u64>,
    #[serde(default)]
    id: Option<String>,
}

/// Checks the answer to a look-up.
pub(crate) fn lookup(answer: &Answer, service: &str, n: u64) -> Result<(), Fault> {
    let said = read(&answer.body)?;
    if said.service != service {
        return Err(Fault::Service);
    }
    (said.n == Some(n)).then_some(()).ok_or(Fault::Content)
}

/// Checks the answer to an edit.
pub(crate) fn edit(answer: &Answer, service: &str, id: &str) -> Result<(), Fault> {
    let said = read(&answer.body)?;
    if said.service != service {
        return Err(Fault::Service);
    }
    let own = said.id.as_deref() == Some(id);
    own.then_some(()).ok_or(Fault::Content)
}

/// Checks a download against the content that the service has; the header must agree.
pub(crate) fn download(
    answer: &Answer,
    service: &str,
    others: &[&str],
    bytes: usize,
) -> Result<(), Fault> {
    let hash = content::hash(&answer.body);
    if answer.body.len() == bytes && hash == content::hash(&content::file(service, bytes)) {
        let header = answer.headers.get("x-content-hash");
        let agrees = header.is_none_or(|value| value.as_bytes() == hash.as_bytes());
        return agrees.then_some(()).ok_or(Fault::Content);
    }
    let foreign = |other: &&str| hash == content::hash(&content::file(other, bytes));
    if others.iter().any(foreign) {
        return Err(Fault::Service);
    }
    Err(Fault::Content)
}

/// Whether the backend server answered, rather than shed the request.
pub(crate) fn is_answered(answer: &Answer) -> bool {
    answer.status == StatusCode::OK
}

fn read(body: &Bytes) -> Result<Said, Fault> {
    serde_json::from_slice(body).map_err(|_| Fault::Content)
}
