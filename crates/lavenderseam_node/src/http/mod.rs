//! HTTP/1.1: small servers, and calls with a time limit.

mod client;
mod server;

pub use client::{Error, call};
pub use server::serve;

use std::rc::Rc;

use bytes::Bytes;
use http::{Method, StatusCode};

/// A request, read whole.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path, with the query if there is one.
    pub path: String,
    /// Body.
    pub body: Bytes,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Media type of the body.
    pub content: &'static str,
    /// Body.
    pub body: Bytes,
}

/// Answers requests at one address.
pub trait Service {
    /// Answers a request at once.
    fn answer(&self, request: &Request) -> Answer;
}

impl Request {
    /// A request without a body.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
        }
    }
}

impl Answer {
    /// An answer without a body.
    #[must_use]
    pub const fn empty(status: StatusCode) -> Self {
        Self {
            status,
            content: "text/plain",
            body: Bytes::new(),
        }
    }

    /// A JSON body.
    #[must_use]
    pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            content: "application/json",
            body: body.into(),
        }
    }

    /// A text body.
    #[must_use]
    pub fn text(body: String) -> Self {
        Self {
            status: StatusCode::OK,
            content: "text/plain; version=0.0.4",
            body: body.into(),
        }
    }
}

impl<S: Service> Service for Rc<S> {
    fn answer(&self, request: &Request) -> Answer {
        self.as_ref().answer(request)
    }
}
