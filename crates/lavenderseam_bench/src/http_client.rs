//! HTTP requests to the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;

/// Time limit for one HTTP request, including its response body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// A complete HTTP response.
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

/// Sends one HTTP request and returns its complete response.
///
/// # Errors
///
/// Returns [`Error::HttpRequest`] if no complete response arrives before the timeout.
pub async fn send_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Result<Response, Error> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(body))
        .map_err(|error| Error::http(address, path, error))?;
    let request_and_read_body = async {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let response = client
            .request(request)
            .await
            .map_err(|error| error.to_string())?;
        let status = response.status();
        let headers = response.headers().clone();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        Ok::<_, String>(Response {
            status,
            headers,
            body,
        })
    };
    tokio::time::timeout(REQUEST_TIMEOUT, request_and_read_body)
        .await
        .map_err(|_| Error::http(address, path, "timed out waiting for a response"))?
        .map_err(|reason| Error::http(address, path, reason))
}

/// Requests a path with `GET` and parses the response body as JSON.
///
/// # Errors
///
/// Returns [`Error::HttpRequest`] if the request fails, its status is not 200 or its body can't be
/// parsed.
pub async fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, Error> {
    let response = send_request(Method::GET, address, path, &[], Bytes::new()).await?;
    if response.status != StatusCode::OK {
        return Err(Error::http(address, path, response.status));
    }
    serde_json::from_slice(&response.body).map_err(|error| Error::http(address, path, error))
}

/// Sends a value as JSON with `POST`.
///
/// # Errors
///
/// Returns [`Error::HttpRequest`] if the request fails or its status is not a success.
pub async fn post_json<T: Serialize>(
    address: SocketAddr,
    path: &str,
    value: &T,
) -> Result<(), Error> {
    let body = serde_json::to_vec(value).map_err(|error| Error::http(address, path, error))?;
    let headers = [("content-type", "application/json")];
    let response = send_request(Method::POST, address, path, &headers, body.into()).await?;
    if !response.status.is_success() {
        return Err(Error::http(address, path, response.status));
    }
    Ok(())
}
