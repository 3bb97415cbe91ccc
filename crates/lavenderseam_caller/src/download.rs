//! Downloads that are whole or fail.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Answer, Caller, Failure, Outcome, header};

/// A whole download.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Download {
    /// The answer; its length is the one announced.
    pub answer: Answer,
    /// Whether the content was checked against a hash that came with it.
    pub hash_verified: bool,
}

impl Caller {
    /// Downloads a file within a time; its length, and its hash if one comes with it, are checked.
    pub async fn download(&self, path: &str, time: Duration) -> Outcome<Download> {
        let deadline = Instant::now() + time;
        let request = self.shared.request(Method::GET, path);
        self.shared
            .repeat(deadline, |shared| {
                let request = request.clone();
                async move {
                    let head = shared.send(request, Bytes::new(), Some(deadline)).await?;
                    verified(head.collect(deadline).await?)
                }
            })
            .await
    }
}

fn verified(answer: Answer) -> Result<Download, Failure> {
    let announced: Option<String> = header::parsed(&answer.headers, &header::CONTENT_HASH);
    let Some(announced) = announced else {
        return Ok(Download {
            answer,
            hash_verified: false,
        });
    };
    if announced != format!("{:016x}", xxh3_64(&answer.body)) {
        return Err(Failure::Content);
    }
    Ok(Download {
        answer,
        hash_verified: true,
    })
}
