//! Calls over HTTP to the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;

/// Longest wait for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// An answer.
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Content.
    pub body: Bytes,
}

/// Sends one request with optional headers and content.
///
/// # Errors
///
/// Returns [`Error::Call`] if no answer comes.
pub async fn send(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Result<Answer, Error> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(body))
        .map_err(|cause| Error::call(address, path, cause))?;
    let exchange = async {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let response = client.request(request).await.map_err(|c| c.to_string())?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|cause| cause.to_string())?.to_bytes();
        Ok::<_, String>(Answer { status, body })
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange)
        .await
        .map_err(|_| Error::call(address, path, "no answer in time"))?
        .map_err(|detail| Error::call(address, path, detail))
}

/// Reads a JSON value.
///
/// # Errors
///
/// Returns [`Error::Call`] if the call fails or the answer can't be read.
pub async fn read<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, Error> {
    let answer = send(Method::GET, address, path, &[], Bytes::new()).await?;
    if answer.status != StatusCode::OK {
        return Err(Error::call(address, path, answer.status));
    }
    serde_json::from_slice(&answer.body).map_err(|cause| Error::call(address, path, cause))
}

/// Posts a JSON value.
///
/// # Errors
///
/// Returns [`Error::Call`] unless the call succeeds.
pub async fn post<T: Serialize>(address: SocketAddr, path: &str, value: &T) -> Result<(), Error> {
    let body = serde_json::to_vec(value).map_err(|cause| Error::call(address, path, cause))?;
    let headers = [("content-type", "application/json")];
    let answer = send(Method::POST, address, path, &headers, body.into()).await?;
    if !answer.status.is_success() {
        return Err(Error::call(address, path, answer.status));
    }
    Ok(())
}
