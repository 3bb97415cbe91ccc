//! Minimal HTTP/1.1 server, and client with timeouts.

mod client;
mod server;

pub use client::{Error, Response, send_request};
pub use server::serve;

use std::rc::Rc;

use bytes::Bytes;
use http::{Method, StatusCode};

/// HTTP request with its whole body.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path, followed by the query string if there is one.
    pub path: String,
    /// Body; empty if the request has none.
    pub body: Bytes,
}

/// HTTP response of a [`Service`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// Media type of the body, for the `Content-Type` header.
    pub content_type: &'static str,
    /// Body; empty if the response has none.
    pub body: Bytes,
}

/// Handler of the HTTP requests at one address.
pub trait Service {
    /// Returns the response to a request, without blocking.
    fn handle(&self, request: &Request) -> ServiceResponse;
}

impl Request {
    /// Creates a `GET` request, which has no body.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
        }
    }
}

impl ServiceResponse {
    /// Creates a response without a body.
    #[must_use]
    pub const fn empty(status: StatusCode) -> Self {
        Self {
            status,
            content_type: "text/plain",
            body: Bytes::new(),
        }
    }

    /// Creates a response with a JSON body.
    #[must_use]
    pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            content_type: "application/json",
            body: body.into(),
        }
    }

    /// Creates a response with status 200 and a body in the Prometheus text format.
    #[must_use]
    pub fn prometheus_text(body: String) -> Self {
        Self {
            status: StatusCode::OK,
            content_type: "text/plain; version=0.0.4",
            body: body.into(),
        }
    }
}

impl<S: Service> Service for Rc<S> {
    fn handle(&self, request: &Request) -> ServiceResponse {
        self.as_ref().handle(request)
    }
}
