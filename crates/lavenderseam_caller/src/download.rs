//! Downloads whose length and hash are verified.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Caller, Failure, Outcome, Response, header};

/// Complete download.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Download {
    /// Response; the length of its body is the announced content length.
    pub response: Response,
    /// `true` if the body was verified against the hash in the response headers.
    pub hash_verified: bool,
}

impl Caller {
    /// Downloads a file within a timeout. Its length is verified, and so is its hash if the
    /// response has one.
    pub async fn download(&self, path: &str, timeout: Duration) -> Outcome<Download> {
        let deadline = Instant::now() + timeout;
        let request = self.shared.request(Method::GET, path);
        self.shared
            .retry(deadline, |shared| {
                let request = request.clone();
                async move {
                    let head = shared.send(request, Bytes::new(), Some(deadline)).await?;
                    verify_hash(head.collect(deadline).await?)
                }
            })
            .await
    }
}

/// Verifies the hash of the body, if the response has one.
fn verify_hash(answer: Response) -> Result<Download, Failure> {
    let announced: Option<String> = header::parse(&answer.headers, &header::CONTENT_HASH);
    let Some(announced) = announced else {
        return Ok(Download {
            response: answer,
            hash_verified: false,
        });
    };
    if announced != format!("{:016x}", xxh3_64(&answer.body)) {
        return Err(Failure::HashMismatch);
    }
    Ok(Download {
        response: answer,
        hash_verified: true,
    })
}
